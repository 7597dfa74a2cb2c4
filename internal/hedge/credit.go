package hedge

import "time"

const (
	// maxRequestCredit and maxTimeCredit bound what is saved while few hedges are due. They
	// bound how many hedges one daemon sends at once.
	maxRequestCredit = 8.0             // hedges
	maxTimeCredit    = 5 * time.Second // of upstream time
)

// credit holds what hedges may still use. Each request and each attempt adds the share of it
// that hedges may take, so that the hedges of a daemon never exceed the shares of what it has
// sent since its start.
type credit struct {
	limits   Limits
	requests float64 // hedges
	time     time.Duration
}

func (c *credit) addRequest() {
	c.requests = min(c.requests+c.limits.RequestShare, maxRequestCredit)
}

func (c *credit) addTime(took time.Duration) {
	c.time = min(c.time+time.Duration(c.limits.TimeShare*float64(took)), maxTimeCredit)
}

// take uses the credit for one hedge that is expected to cost the given upstream time.
func (c *credit) take(cost time.Duration) Reason {
	switch {
	case c.requests < 1:
		return RequestLimit
	case c.time < cost:
		return TimeLimit
	}
	c.requests--
	c.time -= cost
	return Send
}

// settle replaces the expected cost of a hedge by its cost. The credit of time may fall below
// zero; no hedge is sent until it has recovered.
func (c *credit) settle(reserved, cost time.Duration, sent bool) {
	c.time = min(c.time+reserved-cost, maxTimeCredit)
	if !sent {
		c.requests = min(c.requests+1, maxRequestCredit)
	}
}
