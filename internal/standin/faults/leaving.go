package faults

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const leavingRetryAfter = "1" // seconds

// notice is an announced reclaim.
type notice struct {
	announced       time.Time
	stopAt          time.Time
	acceptsRequests bool // takes new work until it stops
}

// leaving keeps the notice of a stand-in.
type leaving struct {
	notice   atomic.Pointer[notice]
	lastMS   atomic.Int64 // milliseconds from a notice to the last new work
	requests atomic.Int64 // new work since notices
}

// Leave announces that the stand-in stops after d. Until then it refuses new
// work, or takes it if accepts is set.
func (s *Set) Leave(delay time.Duration, acceptRequests bool) {
	now := time.Now()
	n := &notice{announced: now, stopAt: now.Add(delay), acceptsRequests: acceptRequests}
	s.leaving.notice.Store(n)
	time.AfterFunc(delay, func() {
		if s.leaving.notice.Load() == n {
			s.Kill()
		}
	})
}

// Leaving returns when the stand-in will stop, and false if it is not leaving.
func (s *Set) Leaving() (time.Time, bool) {
	n := s.leaving.notice.Load()
	if n == nil {
		return time.Time{}, false
	}
	return n.stopAt, true
}

// RefuseLeaving is called for new work. It counts work that arrives after a
// notice, refuses it, and reports whether it did.
func (s *Set) RefuseLeaving(ctx *fasthttp.RequestCtx) bool {
	n := s.leaving.notice.Load()
	if n == nil {
		return false
	}
	s.leaving.requests.Add(1)
	s.leaving.lastMS.Store(time.Since(n.announced).Milliseconds())
	if n.acceptsRequests {
		return false
	}
	RespondRefused(ctx, ReasonLeaving, leavingRetryAfter)
	return true
}

// LeavingStats tells what new work reached a stand-in after its notices.
type LeavingStats struct {
	Requests int64 `json:"requests_after_notice"`
	LastMS   int64 `json:"last_request_after_notice_ms"`
}

// LeavingStats returns the counters so far.
func (s *Set) LeavingStats() LeavingStats {
	return LeavingStats{Requests: s.leaving.requests.Load(), LastMS: s.leaving.lastMS.Load()}
}
