// Package logline reads the daemons' logs: one line of key=value pairs for each event,
// after whatever a collector puts before it.
package logline

import (
	"bufio"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20 // bytes

// Line is one line of a log.
type Line struct {
	Source string // what a collector wrote before the line, such as the daemon
	At     time.Time
	Event  string
	Fields map[string]string
}

var (
	linePattern  = regexp.MustCompile(`^(.*?)(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d+)?Z) \[(\w+)\]\s+([\w.]+): (.*)$`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// Parse reads one line; ok is false for one of another form.
func Parse(text string) (Line, bool) {
	m := linePattern.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, m[2])
	if err != nil {
		return Line{}, false
	}
	l := Line{Source: strings.TrimSpace(m[1]), At: at, Fields: make(map[string]string)}
	rest := m[5]
	l.Event = rest
	if first := fieldPattern.FindStringIndex(rest); first != nil {
		l.Event = strings.TrimSuffix(strings.TrimSpace(rest[:first[0]]), ":")
	}
	for _, f := range fieldPattern.FindAllStringSubmatch(rest, -1) {
		l.Fields[f[1]] = strings.Trim(f[2], `"`)
	}
	return l, true
}

// Read reads the lines of files; "-" is standard input.
func Read(files []string) ([]Line, error) {
	var lines []Line
	for _, name := range files {
		f := os.Stdin
		if name != "-" {
			var err error
			if f, err = os.Open(name); err != nil {
				return nil, errors.Wrap(err, "read log")
			}
			defer f.Close()
		}
		s := bufio.NewScanner(f)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			if l, ok := Parse(s.Text()); ok {
				lines = append(lines, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, errors.Wrapf(err, "read log %s", name)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines, nil
}
