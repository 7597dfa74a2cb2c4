package obs

// Counters counts requests by how they ended. A request is in exactly one of
// OnTime, Late, NotRun, Unknown, Cut and Gone; the other fields count beside.
type Counters struct {
	OnTime  int64 `json:"on_time"` // answered whole within all targets
	Late    int64 `json:"late"`    // answered whole, beyond a target
	NotRun  int64 `json:"not_run"`
	Unknown int64 `json:"unknown"`
	Cut     int64 `json:"cut"`  // begun and not ended
	Gone    int64 `json:"gone"` // the caller closed the connection

	LateFirst   int64 `json:"late_first"`   // first token beyond its target
	LateBetween int64 `json:"late_between"` // more than 1 in 20 tokens beyond the target between tokens
	LateTotal   int64 `json:"late_total"`   // end beyond the caller's patience
	Repeated    int64 `json:"repeated"`     // requests that were sent to upstreams more than once
	Retries     int64 `json:"retries"`      // attempts beyond the first
	Crossed     int64 `json:"crossed"`      // answers of other requests or attempts that were dropped
	Tokens      int64 `json:"tokens"`
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

// notable tells whether an operator may ask for such a request.
func (c *Counters) notable() bool {
	return c.Late+c.NotRun+c.Unknown+c.Cut+c.Repeated+c.Crossed > 0
}

// needsLogLine tells whether such a request gets a log line of its own.
func (c *Counters) needsLogLine() bool {
	return c.Late+c.Unknown+c.Cut+c.Repeated > 0
}
