package losses

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/logline"
)

// Lost is a group of requests that nobody could have served, as far as the logs tell.
type Lost struct {
	What  string
	Count int
}

const (
	// silence of all daemons for that long before one starts means that none ran.
	silence = 300 * time.Millisecond
	// rateOver is the time before an outage over which requests are counted for it.
	rateOver = 4 * time.Second
)

// Unservable counts the requests that no system could have served: their upstream had run
// them and they may run once, or no daemon ran. What no daemon saw is worked out from the
// requests of the seconds before.
func Unservable(lines []logline.Line) []Lost {
	var failed, lost, cut, unseen, inFlight int
	for i, l := range lines {
		switch l.Event {
		case "daemon started":
			if i > 0 && l.At.Sub(lines[i-1].At) > silence {
				u, f := outage(lines[:i], l.At)
				unseen, inFlight = unseen+u, inFlight+f
			}
		case "request":
			f := l.Fields
			ran := f["may_have_run"] == "true"
			switch {
			case f["kind"] == "once" && f["status"] == "500":
				failed++
			case f["kind"] == "once" && f["end"] == "lost" && ran:
				lost++
			case f["kind"] == "stream" && (f["end"] == "broken" || f["end"] == "lost" && ran):
				cut++
			}
		}
	}
	return []Lost{
		{"may run once, the upstream failed after it ran", failed},
		{"may run once, the answer was lost", lost},
		{"streams cut by their upstream and not to be resumed, or not within the budget", cut},
		{"asked for while no daemon ran", unseen},
		{"under way when all daemons ended", inFlight},
	}
}

// outage returns how many requests were asked for during an outage that ends at end, and
// how many were under way when it began.
func outage(before []logline.Line, end time.Time) (unseen, inFlight int) {
	began := before[len(before)-1].At
	n, busy := 0, time.Duration(0)
	for i := len(before) - 1; i >= 0 && began.Sub(before[i].At) < rateOver; i-- {
		if l := before[i]; l.Event == "request" && owed(l) {
			n++
			busy += time.Duration(atoi(l.Fields["total_ms"])) * time.Millisecond
		}
	}
	rate := float64(n) / rateOver.Seconds()
	return int(rate * end.Sub(began).Seconds()), int(busy.Seconds() / rateOver.Seconds())
}

// owed tells whether a request was let in.
func owed(l logline.Line) bool {
	switch l.Fields["status"] {
	case "400", "401", "404", "429":
		return false
	}
	return true
}
