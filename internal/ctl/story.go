package ctl

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// before and after bound what is shown of the time around a request.
	before = 5 * time.Second
	after  = time.Second
	// maxLine bounds a line of a log.
	maxLine = 1 << 20
)

// logLine is one line of a daemon's log.
type logLine struct {
	source string // what a collector wrote before the line, such as the daemon
	at     time.Time
	event  string
	fields map[string]string
}

var (
	logForm   = regexp.MustCompile(`^(.*?)(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d+)?Z) \[(\w+)\]\s+([\w.]+): (.*)$`)
	fieldForm = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)
)

// parseLog reads one line; ok is false for one of another form.
func parseLog(text string) (logLine, bool) {
	m := logForm.FindStringSubmatch(text)
	if m == nil {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, m[2])
	if err != nil {
		return logLine{}, false
	}
	l := logLine{source: strings.TrimSpace(m[1]), at: at, fields: make(map[string]string)}
	rest := m[5]
	l.event = rest
	if first := fieldForm.FindStringIndex(rest); first != nil {
		l.event = strings.TrimSuffix(strings.TrimSpace(rest[:first[0]]), ":")
	}
	for _, f := range fieldForm.FindAllStringSubmatch(rest, -1) {
		l.fields[f[1]] = strings.Trim(f[2], `"`)
	}
	return l, true
}

// readLogs reads the lines of files; "-" is standard input.
func readLogs(files []string) ([]logLine, error) {
	var list []logLine
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
		s.Buffer(nil, maxLine)
		for s.Scan() {
			if l, ok := parseLog(s.Text()); ok {
				list = append(list, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, errors.Wrapf(err, "read log %s", name)
		}
	}
	slices.SortStableFunc(list, func(a, b logLine) int { return a.at.Compare(b.at) })
	return list, nil
}

// Story tells from logs what became of a request and what its daemon knew, in
// order. It returns an error if no log holds the request.
func Story(w io.Writer, id string, files []string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	found := false
	for i := range lines {
		if l := &lines[i]; l.event == "request" && l.fields["id"] == id {
			found = true
			tell(w, l, lines)
		}
	}
	if !found {
		return errors.Errorf("no log of %d lines holds request %s", len(lines), id)
	}
	return nil
}

// tell prints one answer of a request.
func tell(w io.Writer, r *logLine, lines []logLine) {
	f := r.fields
	total, _ := time.ParseDuration(f["total_ms"] + "ms")
	began := r.at.Add(-total)
	say := func(at time.Time, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%8.3f  %s\n", at.Sub(began).Seconds(), fmt.Sprintf(format, args...))
	}
	_, _ = fmt.Fprintf(w, "request %s at %s %s\n", f["id"], began.Format(time.RFC3339Nano), r.source)
	for _, l := range around(r, lines, began) {
		if l.at.Before(began) {
			say(l.at, "%s", describe(l))
		}
	}
	say(began, "arrives: route %s, kind %s, customer %s, configuration %s", f["route"], f["kind"], cmp.Or(f["customer"], "unknown"), f["config"])
	if f["tries"] == "" {
		say(began, "is not sent: %s", f["reason"])
	} else {
		say(began, "last choice of %s usable upstreams: first event expected after %s ms, %s prompt tokens to be read", f["usable"], f["expected_ms"], f["missing"])
	}
	for i, try := range strings.Split(f["tries"], ",") {
		if upstream, end, ok := strings.Cut(try, ":"); ok {
			say(began, "try %d: upstream %s, %s", i+1, upstream, end)
		}
	}
	if first, err := time.ParseDuration(f["first_ms"] + "ms"); err == nil && first > 0 {
		say(began.Add(first), "first event or answer; longest gap afterwards %s ms", f["gap_ms"])
	}
	for _, l := range around(r, lines, began) {
		if !l.at.Before(began) && !l.at.After(r.at) {
			say(l.at, "%s", describe(l))
		}
	}
	say(r.at, "ends: status %s, %s, cut %s, caller gone %s, may have run %s", f["status"], f["end"], f["cut"], f["gone"], f["may_have_run"])
	if f["reason"] != "" {
		say(r.at, "reason: %s", f["reason"])
	}
	for _, l := range around(r, lines, began) {
		if l.at.After(r.at) {
			say(l.at, "%s", describe(l))
		}
	}
}

// around returns the events of the request's daemon that bear on it: of the
// upstreams tried, of the daemon itself and of what it depends on.
func around(r *logLine, lines []logLine, began time.Time) []*logLine {
	var list []*logLine
	for i := range lines {
		l := &lines[i]
		if l.event == "request" || l.source != r.source && stripTime(l.source) != stripTime(r.source) {
			continue
		}
		if l.at.Before(began.Add(-before)) || l.at.After(r.at.Add(after)) {
			continue
		}
		if u := l.fields["upstream"]; u != "" && !strings.Contains(r.fields["tries"], u) {
			continue
		}
		list = append(list, l)
	}
	return list
}

// stripTime drops a number that a collector put before a source.
func stripTime(source string) string {
	words := strings.Fields(source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

func describe(l *logLine) string {
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	text := "(" + l.event
	for _, k := range keys {
		text += " " + k + "=" + l.fields[k]
	}
	return text + ")"
}
