package losses

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/logline"
)

// UnservableCount counts requests that, according to the logs, no system could have served.
type UnservableCount struct {
	Reason string
	Count  int
}

const (
	// minOutage is the time without a log line of any daemon, before one starts, beyond
	// which no daemon is assumed to have run.
	minOutage = 300 * time.Millisecond
	// rateWindow is the time before an outage from which the request rate during the outage
	// is estimated.
	rateWindow = 4 * time.Second
)

// CountUnservable counts the requests that no system could have served: non-repeatable requests
// and streams that failed after their upstream may have run them, and requests that arrived while no
// daemon ran or were in flight when the last one ended. The latter two appear in no log and are
// estimated from the requests of the seconds before. lines are in order of time.
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

// estimateOutage estimates how many requests arrived during an outage and how many were in flight
// at its start. The outage lasts from the last line of before until end. By Little's law, the
// number in flight is the arrival rate times the mean duration of a request.
func estimateOutage(before []logline.Line, end time.Time) (missed, inFlight int) {
	start := before[len(before)-1].At
	requests, total := 0, time.Duration(0)
	for i := len(before) - 1; i >= 0 && start.Sub(before[i].At) < rateWindow; i-- {
		if l := before[i]; l.Event == "request" && countsInScore(l) {
			requests++
			total += time.Duration(atoi(l.Fields["total_ms"])) * time.Millisecond
		}
	}
	rate := float64(requests) / rateWindow.Seconds()
	return int(rate * end.Sub(start).Seconds()), int(total.Seconds() / rateWindow.Seconds())
}

// countsInScore reports whether a request counts in the score. Requests that were rejected as invalid,
// unauthorized, for an unknown route or over the rate limit of the customer do not.
func countsInScore(l logline.Line) bool {
	switch l.Fields["status"] {
	case "400", "401", "404", "429":
		return false
	}
	return true
}
