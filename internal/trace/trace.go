// Package trace records the steps of one request for operators who look it up
// later.
package trace

import (
	"sync"
	"time"
)

const maxSteps = 64

// Names of the steps that Summary counts. Other steps may have any name.
const (
	Attempt    = "attempt"     // an attempt began; from now on the peer may receive bytes of the request
	FirstToken = "first-token" // the first token of the response arrived from the peer
	Crossed    = "crossed"     // a response that belongs to another request or attempt was dropped
)

// Step is one event in the processing of a request.
type Step struct {
	At      time.Time `json:"at"`
	Name    string    `json:"name"`              // such as admit, pick, attempt, first-token, done
	Peer    string    `json:"peer,omitempty"`    // upstream, daemon or platform service that the step involves
	Attempt int       `json:"attempt,omitempty"` // 0 outside attempts
	Detail  string    `json:"detail,omitempty"`
}

// Trace is the list of steps of one request, limited to maxSteps. A nil Trace
// records nothing. Its methods may be called from any goroutine.
type Trace struct {
	mu      sync.Mutex
	steps   []Step
	dropped int // number of steps that did not fit
}

// Add appends a step, or counts it as dropped if the trace is full.
func (t *Trace) Add(s Step) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.steps) >= maxSteps {
		t.dropped++
		return
	}
	t.steps = append(t.steps, s)
}

// Steps returns a copy of the steps and the number of dropped ones.
func (t *Trace) Steps() ([]Step, int) {
	if t == nil {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Step(nil), t.steps...), t.dropped
}

// Summary holds what the recorded steps show about a request's attempts.
type Summary struct {
	Attempts int
	Crossed  int    // responses of other requests or attempts that were dropped
	Upstream string // of the last attempt
}

// Summary summarizes the recorded steps. Dropped steps are not counted.
func (t *Trace) Summary() Summary {
	var s Summary
	if t == nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.steps {
		switch t.steps[i].Name {
		case Attempt:
			s.Attempts++
			s.Upstream = t.steps[i].Peer
		case Crossed:
			s.Crossed++
		}
	}
	return s
}
