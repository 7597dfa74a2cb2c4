package obs

import (
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

// recentRequests is the number of recent requests kept of each kind, notable and
// ordinary.
const recentRequests = 512

// Record describes one ended request and its steps.
type Record struct {
	ID           string         `json:"id"`
	Customer     string         `json:"customer"`
	Service      string         `json:"service"`
	Class        manifest.Class `json:"class"`
	Upstream     string         `json:"upstream,omitempty"` // of the last attempt
	Result       string         `json:"result"`             // JSON name of the result counter, such as "on_time"
	Status       int            `json:"status"`             // HTTP status of the response
	Attempts     int            `json:"attempts"`
	Crossed      int            `json:"crossed,omitempty"` // discarded responses that belonged to another request or attempt
	Tokens       int64          `json:"tokens"`
	Arrived      time.Time      `json:"arrived"`
	Deadline     time.Time      `json:"deadline"`
	FirstTokenMS float64        `json:"first_token_ms,omitempty"`
	TotalMS      float64        `json:"total_ms"`
	Steps        []trace.Step   `json:"steps"`
	StepsDropped int            `json:"steps_dropped,omitempty"`

	trace *trace.Trace
}

func newRecord(r *Request, now time.Time, delta *Counters, sum trace.Summary) *Record {
	c := r.Call
	rec := &Record{
		ID: c.ID, Class: c.Class, Upstream: sum.Upstream, Result: delta.result(), Status: r.Status,
		Attempts: sum.Attempts, Crossed: sum.Crossed, Tokens: delta.Tokens, Arrived: c.Arrived, Deadline: c.Deadline,
		TotalMS: toMS(now.Sub(c.Arrived)), trace: c.Trace,
	}
	if c.Customer != nil {
		rec.Customer = c.Customer.Name
	}
	if c.Service != nil {
		rec.Service = c.Service.Name
	}
	if !r.firstToken.IsZero() {
		rec.FirstTokenMS = toMS(r.firstToken.Sub(c.Arrived))
	}
	return rec
}

func toMS(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// result returns the JSON name of the result counter that is set. c holds the
// counts of one request.
func (c *Counters) result() string {
	switch {
	case c.Gone > 0:
		return "gone"
	case c.Cut > 0:
		return "cut"
	case c.NotRun > 0:
		return "not_run"
	case c.Unknown > 0:
		return "unknown"
	case c.Late > 0:
		return "late"
	default:
		return "on_time"
	}
}

// recent holds the most recent requests. Notable and ordinary requests have a ring
// each, so that ordinary requests never evict notable ones.
type recent struct {
	mu       sync.Mutex
	byID     map[string]*Record
	notable  ring
	ordinary ring
}

func newRecent() *recent { return &recent{byID: make(map[string]*Record)} }

// ring holds the most recent records of one kind.
type ring struct {
	records [recentRequests]*Record
	next    int
}

// put stores rec and returns the record that it replaces, or nil.
func (r *ring) put(rec *Record) *Record {
	old := r.records[r.next]
	r.records[r.next] = rec
	r.next = (r.next + 1) % recentRequests
	return old
}

func (r *recent) add(rec *Record, notable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target := &r.ordinary
	if notable {
		target = &r.notable
	}
	if old := target.put(rec); old != nil {
		delete(r.byID, old.ID)
	}
	r.byID[rec.ID] = rec
}

// find returns a copy of the record of a request, with its steps so far.
func (r *recent) find(id string) (*Record, bool) {
	r.mu.Lock()
	rec, ok := r.byID[id]
	r.mu.Unlock()
	if !ok {
		return nil, false
	}
	found := *rec
	found.Steps, found.StepsDropped = rec.trace.Steps()
	return &found, true
}
