package losses

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/logline"
)

// Cause is why requests of a kind were not answered in time.
type Cause struct {
	Kind   string // of the request: once, repeatable, stream
	Reason string
	Count  int
	Peaks  string // seconds in which most of them ended
}

const (
	// startupWindow is how long after a daemon's start what is late there counts as late
	// after a start.
	startupWindow = 2 * time.Second
	// maxPeaks are named for each cause.
	maxPeaks = 3
)

// Causes counts, from the logs of all daemons, the requests that were owed an answer and
// not answered in time, by reason.
func Causes(lines []logline.Line, start time.Time) []Cause {
	type key struct{ kind, reason string }
	counts := make(map[key]map[int]int)
	started := make(map[string]time.Time)
	for _, l := range lines {
		if l.Event == "daemon started" {
			started[l.Fields["name"]] = l.At
		}
		if l.Event != "request" {
			continue
		}
		reason := classify(l, started[daemonName(l)])
		if reason == "" {
			continue
		}
		k := key{l.Fields["kind"], reason}
		if counts[k] == nil {
			counts[k] = make(map[int]int)
		}
		counts[k][int(l.At.Sub(start).Seconds())]++
	}
	var list []Cause
	for k, perSecond := range counts {
		total := 0
		for _, c := range perSecond {
			total += c
		}
		list = append(list, Cause{k.kind, k.reason, total, peakSeconds(perSecond)})
	}
	slices.SortFunc(list, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// daemonName returns the daemon that wrote a line: collectors put its name last before it.
func daemonName(l logline.Line) string {
	words := strings.Fields(l.Source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// peakSeconds names the seconds with the highest counts.
func peakSeconds(perSecond map[int]int) string {
	type count struct{ second, n int }
	var list []count
	for s, n := range perSecond {
		list = append(list, count{s, n})
	}
	slices.SortFunc(list, func(a, b count) int { return cmp.Or(cmp.Compare(b.n, a.n), cmp.Compare(a.second, b.second)) })
	var peaks []string
	for _, c := range list[:min(maxPeaks, len(list))] {
		peaks = append(peaks, fmt.Sprintf("%d s: %d", c.second, c.n))
	}
	return strings.Join(peaks, ", ")
}

// classify returns why a request was not answered in time; empty if it was, or is not owed.
func classify(l logline.Line, started time.Time) string {
	f := l.Fields
	if !required(l) {
		return ""
	}
	switch f["status"] {
	case "200":
		return classifySuccess(l, started)
	case "500":
		return "the upstream failed, and so did each other one tried"
	}
	return classifyFailure(f)
}

func classifySuccess(l logline.Line, started time.Time) string {
	f := l.Fields
	switch {
	case f["end"] == "broken":
		return "cut in the middle of the answer"
	case f["end"] == "expired":
		return "stopped in the middle of the answer"
	case f["gone"] == "true" || f["cut"] == "true":
		return "caller left in the middle of the answer"
	case f["late"] != "true":
		return ""
	case !started.IsZero() && l.At.Sub(started) < startupWindow:
		return "late after a start"
	case strings.Contains(f["tries"], ","):
		return "late, sent to another upstream"
	case f["gap_ms"] != "0" && f["first_ms"] != "" && atoi(f["gap_ms"]) > atoi(f["first_ms"]):
		return "late, paused in the middle of the answer"
	case f["ahead"] != "0" && atoi(f["expected_ms"]) > atoi(f["first_ms"])/2:
		return "late, waited at the upstream as expected"
	}
	return "late, the upstream took longer than expected"
}

func classifyFailure(f map[string]string) string {
	reason := f["reason"]
	switch {
	case strings.HasPrefix(reason, "would wait"):
		return "turned away, the queue was too long"
	case f["gone"] == "true" || f["end"] == "gone":
		return "caller left without an answer"
	case f["end"] == "unplaced" && f["may_have_run"] != "true":
		return "no upstream takes requests"
	case f["end"] == "refused":
		return "upstreams refused"
	case f["end"] == "lost":
		return "answer lost: " + errorText(reason)
	case f["end"] == "expired":
		return "nothing came in time"
	case f["end"] == "done":
		return "the upstream answered " + f["status"]
	}
	return cmp.Or(f["end"], "status "+f["status"])
}

// errorText cuts a reason before what differs with each request: addresses and numbers.
func errorText(reason string) string {
	words := strings.Fields(reason)
	var kept []string
	for _, w := range words {
		if !strings.ContainsAny(w, "0123456789") {
			kept = append(kept, strings.TrimSuffix(w, ":"))
		}
	}
	return strings.Join(kept[max(len(kept)-4, 0):], " ")
}

func atoi(text string) int {
	n := 0
	_, _ = fmt.Sscan(text, &n)
	return n
}
