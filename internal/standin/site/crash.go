package site

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// crashDelay is the time from the head of the response that ends an upstream to its end.
const crashDelay = 30 * time.Millisecond

// CrashOn makes the upstream end when it begins to answer a request whose prompt has the
// segment: it sends the head of the response and, soon after, closes all connections and
// its listener. onEnd is called once, after that; nil for no call.
func (u *Upstream) CrashOn(segment string, onEnd func(u *Upstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashSegment, u.onEnd = segment, onEnd
}

// CrashOnBody makes the upstream end soon after it begins to run a request with the body,
// before the head of a response. onEnd is as for CrashOn.
func (u *Upstream) CrashOnBody(body string, onEnd func(u *Upstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashBody, u.onEnd = body, onEnd
}

// End ends the upstream as a crash does.
func (u *Upstream) End() {
	u.mu.Lock()
	ended, onEnd := !u.endedAt.IsZero(), u.onEnd
	if !ended {
		u.endedAt = time.Now()
	}
	u.mu.Unlock()
	if ended {
		return
	}
	u.Close()
	if onEnd != nil {
		onEnd(u)
	}
}

// EndedAt returns the time at which the upstream crashed, zero if it has not.
func (u *Upstream) EndedAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.endedAt
}

// HasSegment reports whether the prompt of the run has a segment.
func (r *Run) HasSegment(segment string) bool {
	return segment != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), segment+":")
}

// crashIfDue ends the upstream, and aborts the handler, if the run has the segment or the body
// that crashes it.
func (u *Upstream) crashIfDue(w http.ResponseWriter, run *Run) {
	u.mu.Lock()
	segment, body := u.crashSegment, u.crashBody
	u.mu.Unlock()
	if body != "" && run.Body == body {
		time.Sleep(crashDelay)
		u.End()
		panic(http.ErrAbortHandler)
	}
	if !run.HasSegment(segment) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Attempt-Id", run.ID)
	w.Header().Set("X-Response-Seal", Seal+"."+u.ID)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(crashDelay)
	u.End()
	panic(http.ErrAbortHandler) // without it the server would complete the response
}

// SharedFault is a fault of the first request that arrives at any of several upstreams.
type SharedFault struct {
	Fault Fault
	used  atomic.Bool
}

// SetSharedFault applies a fault to the next request, if no other upstream was first.
func (u *Upstream) SetSharedFault(f *SharedFault) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sharedFault = f
}
