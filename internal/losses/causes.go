package losses

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/logline"
)

// Cause is a reason for which requests of one kind were not answered in time.
type Cause struct {
	Kind   string // once, repeatable or stream
	Reason string
	Count  int    // requests
	Peaks  string // seconds of traffic in which most of them ended, with counts ("3 s: 12, 7 s: 4")
}

const (
	// startupWindow is the time after the start of a daemon in which late responses are
	// attributed to the start.
	startupWindow = 2 * time.Second
	// maxPeaks limits the seconds listed for each cause.
	maxPeaks = 3
)

// Causes counts in the logs of all daemons the requests that were not answered in time, by kind
// and reason, most frequent first. Requests that do not count in the score are left out (see required).
// lines are in order of time; start is the time from which seconds are counted.
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

// daemonName returns the name of the daemon that wrote a line, which is the last word that log
// collectors put before the line.
func daemonName(l logline.Line) string {
	words := strings.Fields(l.Source)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// peakSeconds formats the seconds with the highest counts.
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

// classify returns the reason for which a request was not answered in time, or an empty string
// if it was or does not count in the score. started is the start of its daemon, zero if unknown.
func classify(l logline.Line, started time.Time) string {
	f := l.Fields
	if !countsInScore(l) {
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

// classifySuccess classifies a request with status 200, whose response may still have been late
// or incomplete.
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

// classifyFailure classifies a request by the fields of its log line if its status is neither 200
// nor 500.
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

// errorText returns the last four words of a reason that contain no digits. Without addresses
// and numbers, which differ between requests, equal errors are counted together.
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

// atoi returns the number at the start of text, or 0.
func atoi(text string) int {
	n := 0
	_, _ = fmt.Sscan(text, &n)
	return n
}
