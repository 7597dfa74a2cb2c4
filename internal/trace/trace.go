// Package trace records the steps of one request, so that an operator can ask
// what happened to it.
package trace

import (
	"sync"
	"time"
)

const maxSteps = 64

// Names of steps that are counted. Other names are free.
const (
	Attempt    = "attempt"     // a byte of the request may go to the peer from now on
	FirstToken = "first-token" // the first token of the answer came from the peer
	Crossed    = "crossed"     // an answer of another request or attempt was dropped
)

// Step is one thing that happened to a request.
type Step struct {
	At      time.Time `json:"at"`
	Name    string    `json:"name"`              // such as admit, pick, attempt, first-token, done
	Peer    string    `json:"peer,omitempty"`    // upstream, daemon or platform service concerned
	Attempt int       `json:"attempt,omitempty"` // 0 outside attempts
	Detail  string    `json:"detail,omitempty"`
}

// Trace is the bounded list of steps of one request. A nil Trace records
// nothing. Its methods may be called from any goroutine.
type Trace struct {
	mu      sync.Mutex
	steps   []Step
	dropped int
}

// Add appends a step; beyond the bound it only counts.
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

// Steps returns a copy of the steps and how many were dropped.
func (t *Trace) Steps() ([]Step, int) {
	if t == nil {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Step(nil), t.steps...), t.dropped
}

// Summary is what the steps of a request say of its attempts.
type Summary struct {
	Attempts int
	Crossed  int    // answers dropped
	Upstream string // of the last attempt
}

// Summary counts the steps.
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
