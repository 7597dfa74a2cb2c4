package losses

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/logline"
)

// UnservableCount is a group of requests that nobody could have served, as far as the logs tell.
type UnservableCount struct {
	Reason string
	Count  int
}

const (
	// minOutage of all daemons for that long before one starts means that none ran.
	minOutage = 300 * time.Millisecond
	// rateWindow is the time before an outage over which requests are counted for it.
	rateWindow = 4 * time.Second
)

// CountUnservable counts the requests that no system could have served: their upstream had run
// them and they may run once, or no daemon ran. What no daemon saw is worked out from the
// requests of the seconds before.
func CountUnservable(lines []logline.Line) []UnservableCount {
	var failed, lost, cut, missed, inFlight int
	for i, l := range lines {
		switch l.Event {
		case "daemon started":
			if i > 0 && l.At.Sub(lines[i-1].At) > minOutage {
				m, f := estimateOutage(lines[:i], l.At)
				missed, inFlight = missed+m, inFlight+f
			}
		case "request":
			f := l.Fields
			mayHaveRun := f["may_have_run"] == "true"
			switch {
			case f["kind"] == "once" && f["status"] == "500":
				failed++
			case f["kind"] == "once" && f["end"] == "lost" && mayHaveRun:
				lost++
			case f["kind"] == "stream" && (f["end"] == "broken" || f["end"] == "lost" && mayHaveRun):
				cut++
			}
		}
	}
	return []UnservableCount{
		{"may run once, the upstream failed after it ran", failed},
		{"may run once, the answer was lost", lost},
		{"streams cut by their upstream and not to be resumed, or not within the budget", cut},
		{"asked for while no daemon ran", missed},
		{"under way when all daemons ended", inFlight},
	}
}

// estimateOutage returns how many requests were asked for during an outage that ends at end, and
// how many were under way when it began.
func estimateOutage(before []logline.Line, end time.Time) (missed, inFlight int) {
	start := before[len(before)-1].At
	requests, total := 0, time.Duration(0)
	for i := len(before) - 1; i >= 0 && start.Sub(before[i].At) < rateWindow; i-- {
		if l := before[i]; l.Event == "request" && required(l) {
			requests++
			total += time.Duration(atoi(l.Fields["total_ms"])) * time.Millisecond
		}
	}
	rate := float64(requests) / rateWindow.Seconds()
	return int(rate * end.Sub(start).Seconds()), int(total.Seconds() / rateWindow.Seconds())
}

// required tells whether a request was let in.
func required(l logline.Line) bool {
	switch l.Fields["status"] {
	case "400", "401", "404", "429":
		return false
	}
	return true
}
