package faults

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const leavingRetryAfter = "1" // seconds

// notice announces that a stand-in's VM will be reclaimed.
type notice struct {
	announced       time.Time
	stopAt          time.Time
	acceptsRequests bool // new requests are accepted until stopAt
}

// leaving holds the notice of a stand-in and counts the requests after it.
type leaving struct {
	notice   atomic.Pointer[notice]
	lastMS   atomic.Int64 // milliseconds from the notice to the newest request after it
	requests atomic.Int64 // new requests after notices
}

// Leave announces that the stand-in is killed after delay. Until then it refuses new
// requests, or accepts them if acceptRequests is set. Restart and Kill withdraw the
// notice.
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

// Leaving returns the time at which the stand-in will be killed, and false if it is
// not leaving.
func (s *Set) Leaving() (time.Time, bool) {
	n := s.leaving.notice.Load()
	if n == nil {
		return time.Time{}, false
	}
	return n.stopAt, true
}

// RefuseLeaving is to be called for each new request. It counts the requests that
// arrive after a notice, refuses them unless the notice allows them, and reports
// whether it refused this one.
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

// LeavingStats counts the new requests that reached a stand-in after its notices.
type LeavingStats struct {
	Requests int64 `json:"requests_after_notice"`
	LastMS   int64 `json:"last_request_after_notice_ms"` // from the notice to the newest of them
}

// LeavingStats returns the counters so far.
func (s *Set) LeavingStats() LeavingStats {
	return LeavingStats{Requests: s.leaving.requests.Load(), LastMS: s.leaving.lastMS.Load()}
}
