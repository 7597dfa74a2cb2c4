package ctl

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/logline"
)

const (
	// before and after bound what is shown of the time around a request.
	before = 5 * time.Second
	after  = time.Second
)

// Story tells from logs what became of a request and what its daemon knew, in
// order. It returns an error if no log holds the request.
func Story(w io.Writer, id string, files []string) error {
	lines, err := logline.Read(files)
	if err != nil {
		return err
	}
	found := false
	for i := range lines {
		if l := &lines[i]; l.Event == "request" && l.Fields["id"] == id {
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
func tell(w io.Writer, r *logline.Line, lines []logline.Line) {
	f := r.Fields
	total, _ := time.ParseDuration(f["total_ms"] + "ms")
	began := r.At.Add(-total)
	say := func(at time.Time, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%8.3f  %s\n", at.Sub(began).Seconds(), fmt.Sprintf(format, args...))
	}
	_, _ = fmt.Fprintf(w, "request %s at %s %s\n", f["id"], began.Format(time.RFC3339Nano), r.Source)
	for _, l := range around(r, lines, began) {
		if l.At.Before(began) {
			say(l.At, "%s", describe(l))
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
		if !l.At.Before(began) && !l.At.After(r.At) {
			say(l.At, "%s", describe(l))
		}
	}
	say(r.At, "ends: status %s, %s, cut %s, caller gone %s, may have run %s", f["status"], f["end"], f["cut"], f["gone"], f["may_have_run"])
	if f["reason"] != "" {
		say(r.At, "reason: %s", f["reason"])
	}
	for _, l := range around(r, lines, began) {
		if l.At.After(r.At) {
			say(l.At, "%s", describe(l))
		}
	}
}

// around returns the events of the request's daemon that bear on it: of the
// upstreams tried, of the daemon itself and of what it depends on.
func around(r *logline.Line, lines []logline.Line, began time.Time) []*logline.Line {
	var list []*logline.Line
	for i := range lines {
		l := &lines[i]
		if l.Event == "request" || l.Source != r.Source && stripTime(l.Source) != stripTime(r.Source) {
			continue
		}
		if l.At.Before(began.Add(-before)) || l.At.After(r.At.Add(after)) {
			continue
		}
		if u := l.Fields["upstream"]; u != "" && !strings.Contains(r.Fields["tries"], u) {
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

func describe(l *logline.Line) string {
	keys := make([]string, 0, len(l.Fields))
	for k := range l.Fields {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	text := "(" + l.Event
	for _, k := range keys {
		text += " " + k + "=" + l.Fields[k]
	}
	return text + ")"
}
