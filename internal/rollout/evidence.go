package rollout

import (
	"math/bits"
	"time"
)

// timeBuckets is the number of times that a histogram tells apart: bucket b has those from
// 2^(b-1) to 2^b ms. The last one begins at 16 s.
const timeBuckets = 16

// Counts are the answers of one version on one route. A bad answer is a failure, or one that
// took several times as long as those of the old version.
type Counts struct {
	Failures uint32
	Times    [timeBuckets]uint32 // of answers that are no failures
}

// Answers returns the number of answers.
func (c *Counts) Answers() int {
	n := int(c.Failures)
	for _, t := range c.Times {
		n += int(t)
	}
	return n
}

func (c *Counts) add(o Counts) {
	c.Failures += o.Failures
	for b, n := range o.Times {
		c.Times[b] += n
	}
}

// since returns the answers after an earlier state. ok is false if there were more then: the
// counts of a daemon that is out of contact are missing.
func (c *Counts) since(o Counts) (d Counts, ok bool) {
	if c.Failures < o.Failures {
		return d, false
	}
	d.Failures = c.Failures - o.Failures
	for b, n := range o.Times {
		if c.Times[b] < n {
			return d, false
		}
		d.Times[b] = c.Times[b] - n
	}
	return d, true
}

// RouteCounts are the answers of both versions on one route.
type RouteCounts struct{ Old, New Counts }

// bucketOf returns the bucket of a time.
func bucketOf(d time.Duration) int {
	return min(bits.Len64(uint64(max(d.Milliseconds(), 0))), timeBuckets-1)
}

// Report is what one or more daemons tell about the roll-out of a service.
type Report struct {
	Service  string
	To       string
	Order    int64         // version of the order's row
	Revision int64         // lowest revision of the state that the daemons act by; 0 for none
	Seen     time.Duration // store's clock when the first of them saw the order; 0 if not known
	Verdict  Phase         // the order's verdict if a daemon knows it; empty otherwise
	Daemons  int           // number of daemons
	// OldRunning is the number of their requests in flight at upstreams of other versions.
	OldRunning int
	// Failing has a bit set for each upstream of the new version that failed a request: that of
	// the hash of its id, modulo 64.
	Failing uint64
	Routes  map[uint32]*RouteCounts // by hash of the route's name
}

// Merge adds a report of other daemons about the same service. Counts for another order are
// left out: their daemons act by another state.
func (r *Report) Merge(o Report) {
	r.Daemons += o.Daemons
	r.OldRunning += o.OldRunning
	if o.To != r.To || !sameRow(o.Order, r.Order) {
		r.Revision = 0
		return
	}
	r.Revision = min(r.Revision, o.Revision)
	if o.Seen > 0 && (r.Seen == 0 || o.Seen < r.Seen) {
		r.Seen = o.Seen
	}
	if o.Verdict.Final() && r.Verdict == "" {
		r.Verdict = o.Verdict
	}
	r.Failing |= o.Failing
	for route, c := range o.Routes {
		mine := r.Routes[route]
		if mine == nil {
			mine = &RouteCounts{}
			if r.Routes == nil {
				r.Routes = make(map[uint32]*RouteCounts)
			}
			r.Routes[route] = mine
		}
		mine.Old.add(c.Old)
		mine.New.add(c.New)
	}
}
