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
	// Events are shown from contextBefore before the start of a request until contextAfter
	// after its end.
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

// ExplainFromLogs prints a timeline of a request from log files: its attempts, its outcome and the
// related events in the log of its daemon. Files are read as by logline.Read. It returns an error
// if no file contains the request.
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
		return errors.Errorf("none of %d log lines contains request %s", len(lines), id)
	}
	return nil
}

// printRequest prints the timeline of the request that line r logs. Times are in seconds since its
// arrival.
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

// relatedEvents returns the events that the request's daemon logged around the request. Events of
// upstreams are included only if the request was sent to that upstream; events that name no upstream,
// of the daemon itself or of services it depends on such as the store, are all included.
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

// daemonName returns the name of the daemon that wrote a line: the last word of the source. Log
// collectors may put a time before it.
func daemonName(source string) string {
	words := strings.Fields(source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// formatEvent formats an event with its fields in alphabetical order.
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
