package obs

// Counters counts requests by result. Each request is counted in exactly one of
// OnTime, Late, NotRun, Unknown, Cut and Gone, and may be counted in the other
// fields in addition.
type Counters struct {
	OnTime  int64 `json:"on_time"` // complete response, all latency targets met
	Late    int64 `json:"late"`    // complete response, a latency target missed
	NotRun  int64 `json:"not_run"` // error response; no upstream ran the request
	Unknown int64 `json:"unknown"` // error response; an upstream may have run the request
	Cut     int64 `json:"cut"`     // response started but not completed
	Gone    int64 `json:"gone"`    // caller closed the connection before the end

	LateFirst   int64 `json:"late_first"`   // first token later than its target
	LateBetween int64 `json:"late_between"` // more than 1 in 20 gaps between tokens longer than the target
	LateTotal   int64 `json:"late_total"`   // ended after the deadline
	Repeated    int64 `json:"repeated"`     // requests sent to upstreams more than once
	Retries     int64 `json:"retries"`      // attempts beyond the first
	Crossed     int64 `json:"crossed"`      // discarded responses that belonged to another request or attempt
	Tokens      int64 `json:"tokens"`       // tokens of the responses
}

func (c *Counters) add(d *Counters) {
	c.OnTime += d.OnTime
	c.Late += d.Late
	c.NotRun += d.NotRun
	c.Unknown += d.Unknown
	c.Cut += d.Cut
	c.Gone += d.Gone
	c.LateFirst += d.LateFirst
	c.LateBetween += d.LateBetween
	c.LateTotal += d.LateTotal
	c.Repeated += d.Repeated
	c.Retries += d.Retries
	c.Crossed += d.Crossed
	c.Tokens += d.Tokens
}

// notable reports whether a request with these counts is kept longer in the list
// of recent requests, since operators look such requests up.
func (c *Counters) notable() bool {
	return c.Late+c.NotRun+c.Unknown+c.Cut+c.Repeated+c.Crossed > 0
}

// needsLogLine reports whether a request with these counts is logged at info level.
func (c *Counters) needsLogLine() bool {
	return c.Late+c.Unknown+c.Cut+c.Repeated > 0
}
