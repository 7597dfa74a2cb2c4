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
	// contextBefore and after bound what is shown of the time around a request.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// ExplainFromLogs tells from logs what became of a request and what its daemon knew, in
// order. It returns an error if no log holds the request.
func ExplainFromLogs(w io.Writer, id string, files []string) error {
	lines, err := logline.Read(files)
	if err != nil {
		return err
	}
	found := false
	for i := range lines {
		if l := &lines[i]; l.Event == "request" && l.Fields["id"] == id {
			found = true
			printRequest(w, l, lines)
		}
	}
	if !found {
		return errors.Errorf("no log of %d lines holds request %s", len(lines), id)
	}
	return nil
}

// printRequest prints one answer of a request.
func printRequest(w io.Writer, r *logline.Line, lines []logline.Line) {
	f := r.Fields
	total, _ := time.ParseDuration(f["total_ms"] + "ms")
	start := r.At.Add(-total)
	printAt := func(at time.Time, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%8.3f  %s\n", at.Sub(start).Seconds(), fmt.Sprintf(format, args...))
	}
	_, _ = fmt.Fprintf(w, "request %s at %s %s\n", f["id"], start.Format(time.RFC3339Nano), r.Source)
	for _, l := range relatedEvents(r, lines, start) {
		if l.At.Before(start) {
			printAt(l.At, "%s", formatEvent(l))
		}
	}
	printAt(start, "arrives: route %s, kind %s, customer %s, configuration %s", f["route"], f["kind"], cmp.Or(f["customer"], "unknown"), f["config"])
	if f["tries"] == "" {
		printAt(start, "is not sent: %s", f["reason"])
	} else {
		printAt(start, "last choice of %s usable upstreams: first event expected after %s ms, %s prompt tokens to be read", f["usable"], f["expected_ms"], f["missing"])
	}
	for i, attempt := range strings.Split(f["tries"], ",") {
		if upstream, end, ok := strings.Cut(attempt, ":"); ok {
			printAt(start, "try %d: upstream %s, %s", i+1, upstream, end)
		}
	}
	if first, err := time.ParseDuration(f["first_ms"] + "ms"); err == nil && first > 0 {
		printAt(start.Add(first), "first event or answer; longest gap afterwards %s ms", f["gap_ms"])
	}
	for _, l := range relatedEvents(r, lines, start) {
		if !l.At.Before(start) && !l.At.After(r.At) {
			printAt(l.At, "%s", formatEvent(l))
		}
	}
	printAt(r.At, "ends: status %s, %s, cut %s, caller gone %s, may have run %s", f["status"], f["end"], f["cut"], f["gone"], f["may_have_run"])
	if f["reason"] != "" {
		printAt(r.At, "reason: %s", f["reason"])
	}
	for _, l := range relatedEvents(r, lines, start) {
		if l.At.After(r.At) {
			printAt(l.At, "%s", formatEvent(l))
		}
	}
}

// relatedEvents returns the events of the request's daemon that bear on it: of the
// upstreams tried, of the daemon itself and of what it depends on.
func relatedEvents(r *logline.Line, lines []logline.Line, start time.Time) []*logline.Line {
	var list []*logline.Line
	for i := range lines {
		l := &lines[i]
		if l.Event == "request" || l.Source != r.Source && daemonName(l.Source) != daemonName(r.Source) {
			continue
		}
		if l.At.Before(start.Add(-contextBefore)) || l.At.After(r.At.Add(contextAfter)) {
			continue
		}
		if u := l.Fields["upstream"]; u != "" && !strings.Contains(r.Fields["tries"], u) {
			continue
		}
		list = append(list, l)
	}
	return list
}

// daemonName drops a number that a collector put before a source.
func daemonName(source string) string {
	words := strings.Fields(source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

func formatEvent(l *logline.Line) string {
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
