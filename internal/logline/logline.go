// Package logline parses the daemons' logs: each line is an event with key=value pairs, and may
// have a prefix that a log collector added.
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

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Line is one parsed line of a log.
type Line struct {
	Source string // prefix added by a log collector, such as the daemon's name
	At     time.Time
	Event  string            // message, such as "daemon started"
	Fields map[string]string // values without their quotes
}

var (
	linePattern  = regexp.MustCompile(`^(.*?)(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d+)?Z) \[(\w+)\]\s+([\w.]+): (.*)$`)
	fieldPattern = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// Parse parses one line. It returns false if text is not a log line of a daemon.
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

// Read returns the log lines of all files in order of time. The file name "-" stands for standard
// input. Lines that are not log lines of a daemon are skipped.
func Read(files []string) ([]Line, error) {
	var lines []Line
	for _, name := range files {
		f := os.Stdin
		if name != "-" {
			var err error
			if f, err = os.Open(name); err != nil {
				return nil, errors.Wrap(err, "open log")
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
