package site

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// crashDelay is the time from the last bytes of the response that ends an upstream to its end.
const crashDelay = 30 * time.Millisecond

// Points at which a response ends its upstream. A point above AfterHead is the number of
// events that were sent; for other responses, it means a part of the body.
const (
	BeforeHead = -1
	AfterHead  = 0
)

// CrashOn makes the upstream end when it begins to answer a request whose prompt has the
// segment: it sends the head of the response and, soon after, closes all connections and
// its listener. onEnd is called once, after that; nil for no call.
func (u *Upstream) CrashOn(segment string, onEnd func(u *Upstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashSegment, u.crashPoint, u.onEnd = segment, AfterHead, onEnd
}

// CrashOnBody makes the upstream end soon after it begins to run a request with the body,
// before the head of a response. onEnd is as for CrashOn.
func (u *Upstream) CrashOnBody(body string, onEnd func(u *Upstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashBody, u.crashPoint, u.onEnd = body, BeforeHead, onEnd
}

// SetCrashPoint sets the point at which the upstream ends.
func (u *Upstream) SetCrashPoint(point int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashPoint = point
}

// End ends the upstream as a crash does.
func (u *Upstream) End() {
	u.mu.Lock()
	ended, onEnd, dark := !u.endedAt.IsZero(), u.onEnd, u.darkEnd
	if !ended {
		u.endedAt = time.Now()
	}
	u.mu.Unlock()
	if ended {
		return
	}
	if dark {
		u.GoDark()
	} else {
		u.Close()
	}
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
	segment, body, point, gap := u.crashSegment, u.crashBody, u.crashPoint, u.gap
	u.mu.Unlock()
	if (body == "" || run.Body != body) && !run.HasSegment(segment) {
		return
	}
	if point >= AfterHead {
		u.sendPart(w, run, point, gap)
	}
	time.Sleep(crashDelay)
	u.End()
	u.gate.wait(u.closed)
	panic(http.ErrAbortHandler) // without it the server would complete the response
}

// sendPart sends the head of a response, and as many events or a part of the body.
func (u *Upstream) sendPart(w http.ResponseWriter, run *Run, events int, gap time.Duration) {
	w.Header().Set("X-Attempt-Id", run.ID)
	w.Header().Set("X-Response-Seal", Seal+"."+u.ID)
	plain := !strings.Contains(run.Path, "/stream")
	if plain {
		w.Header().Set("Content-Length", "1000")
	} else {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	for n := run.LastEventID + 1; n <= run.LastEventID+events; n++ {
		text := Event(run.ID, n)
		if plain {
			text = "a part"
		}
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(gap)
	}
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
