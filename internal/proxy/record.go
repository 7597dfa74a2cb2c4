package proxy

import (
	"strings"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

// Record is what became of one request, for logs and metrics.
type Record struct {
	ID             string
	Route          string
	Service        string
	Customer       string
	Kind           catalog.Kind
	ConfigVersion  int64 // version of the configuration
	Arrived        time.Time
	First          time.Time // first event or answer; zero for none
	Ended          time.Time
	Status         int
	UpstreamStatus int // status of the upstream that was not passed on; 0 for none
	RetryAfter     time.Duration
	Reason         string // why it was not answered
	End            result
	Sends          int
	MaxGap         time.Duration // longest between events
	MayHaveRun     bool
	Late           bool // answered, but not within the targets of its route
	Gone           bool // the caller had left
	Cut            bool // the answer was not passed on to its end

	// Of the last choice of an upstream.
	Chosen   string
	Expected time.Duration
	Missing  int
	Usable   int
	Home     bool
	Ahead    int
	Running  int

	// Attempts are all in order, each at its own upstream.
	Attempts []Attempt
	Resumed  bool // the answer went on at another upstream
}

// Attempt is what became of one choice of an upstream.
type Attempt struct {
	Upstream string
	End      string
	Missing  int // prompt tokens that it had to read; 0 where nothing was sent
}

// Tries tells which upstreams were tried and how that ended.
func (r *Record) Tries() string {
	list := make([]string, len(r.Attempts))
	for i, a := range r.Attempts {
		list[i] = a.Upstream + ":" + a.End
	}
	return strings.Join(list, ",")
}

func (r *Record) recordChoice(c place.Choice) {
	r.Chosen, r.Expected = c.Upstream.ID, c.Expected
	r.Missing, r.Usable = c.Missing, c.Usable
	r.Home, r.Ahead, r.Running = c.Home, c.Ahead, c.Running
}

func (r *Record) recordAttempt(c place.Choice, e result, err error) {
	a := Attempt{Upstream: c.Upstream.ID, End: e.String(), Missing: c.Missing}
	if e == unsent {
		a.Missing = 0
	}
	r.Attempts = append(r.Attempts, a)
	if err != nil {
		r.Reason = err.Error()
	}
	r.End = e
}
