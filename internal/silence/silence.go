// Package silence finds upstreams that stop sending while requests wait for them: VMs that lost
// power, froze or are cut off send no reset. A request that was given up, by its caller or at its
// deadline, counts as waiting until its upstream sends something.
//
// The package does no I/O and takes the boot time as an argument.
package silence

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/quarantine"
	"github.com/lagoonmux/lagoonmux/internal/roster"
)

const (
	// After is how long an upstream may send nothing on any connection while a request waits,
	// before it is checked. Engines send the first token within it, unless they are overloaded.
	After = time.Second
	// maxPatience bounds the time between two checks of an upstream that responds to checks and
	// sends nothing else.
	maxPatience = 16 * time.Second
	// recheckInterval is the time between checks of an upstream that fails them.
	recheckInterval = 400 * time.Millisecond
	// returnInterval is the time between checks whether an upstream that was reported sends
	// again, returnChecks their number.
	returnInterval = time.Second
	returnChecks   = 15
	// returnMargin is how long an upstream that sends again must keep its entry before it is
	// taken for the same incarnation: one that was restarted writes its entry after its start.
	returnMargin = 3 * time.Second
	// knownFor is how long requests that were given up, and upstreams that were reported, are
	// remembered.
	knownFor = 30 * time.Second
	// returnKnownFor is how long an upstream that was reported can be withdrawn. Evidence counts
	// for as long.
	returnKnownFor = 10 * time.Minute
	// maxWaiting bounds the requests given up that are remembered for each upstream.
	maxWaiting = 64
	// maxTickGap is the time between two ticks from which on this process itself was suspended
	// or had no processor.
	maxTickGap = 700 * time.Millisecond
)

// Request is what identifies a request in evidence and logs.
type Request struct {
	ID       string
	Service  string
	Content  uint64
	Subjects []quarantine.Subject
}

// Exchange is a request that waits for an upstream. A nil one is valid and does nothing.
type Exchange struct {
	Request
	SentAt   time.Duration
	upstream *upstream

	receivedAt atomic.Int64 // boot time of the last bytes; 0 for none
	firstAt    atomic.Int64 // of the first event; 0 for none
	events     atomic.Int32

	givenUpAt time.Duration // boot time; 0 while it is open. Guarded by Watch.mu
	reported  bool          // guarded by Watch.mu
}

// upstream is the state of one incarnation.
type upstream struct {
	info       *roster.Upstream
	receivedAt atomic.Int64 // boot time of the last bytes on any connection; 0 for none

	// Guarded by Watch.mu.
	exchanges  []*Exchange
	patience   time.Duration // see maxPatience
	checkAt    time.Duration // of the next check
	goneAt     time.Duration // when its entry was found to be missing; 0 while it is there
	reportedAt time.Duration // 0 if it was not reported
	checks     int           // since then
	returnedAt time.Duration // first bytes since then
}

// Watch holds the requests that wait. Its methods are safe for concurrent use.
type Watch struct {
	mu        sync.Mutex
	upstreams map[roster.Key]*upstream
	tickedAt  time.Duration
	resetAt   time.Duration // silence before it is not counted
}

// New returns a Watch without requests.
func New() *Watch { return &Watch{upstreams: make(map[roster.Key]*upstream)} }

// Begin records that a request is sent to an upstream.
func (w *Watch) Begin(u *roster.Upstream, r Request, now time.Duration) *Exchange {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.upstreams[u.Key()]
	if s == nil {
		s = &upstream{}
		w.upstreams[u.Key()] = s
	}
	s.info, s.patience = u, After
	x := &Exchange{Request: r, SentAt: now, upstream: s}
	s.exchanges = append(s.exchanges, x)
	return x
}

// Received records bytes of the response.
func (x *Exchange) Received(now time.Duration) {
	if x != nil {
		x.receivedAt.Store(int64(now))
		x.upstream.receivedAt.Store(int64(now))
	}
}

// Progressed records the events of the response so far, and when the first one arrived.
func (x *Exchange) Progressed(events int, firstAt time.Duration) {
	if x != nil {
		x.events.Store(int32(events))
		x.firstAt.Store(int64(firstAt))
	}
}

// Complete records that the request no longer waits: its response was complete, or its connection
// ended.
func (w *Watch) Complete(x *Exchange) {
	if x == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	x.upstream.remove(x)
}

// GiveUp records that this daemon closed the connection before the response was complete.
func (w *Watch) GiveUp(x *Exchange, now time.Duration) {
	if x == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := x.upstream
	if x.givenUpAt > 0 || !slices.Contains(s.exchanges, x) {
		return
	}
	x.givenUpAt = now
	waiting := 0
	for _, o := range s.exchanges {
		if o.givenUpAt > 0 {
			waiting++
		}
	}
	if waiting > maxWaiting {
		s.remove(s.exchanges[slices.IndexFunc(s.exchanges, func(o *Exchange) bool { return o.givenUpAt > 0 })])
	}
}

func (s *upstream) remove(x *Exchange) {
	s.exchanges = slices.DeleteFunc(s.exchanges, func(o *Exchange) bool { return o == x })
}

// LastReceived returns when an upstream last sent anything to this daemon, 0 if it is not known.
func (w *Watch) LastReceived(k roster.Key) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.upstreams[k]; s != nil {
		return time.Duration(s.receivedAt.Load())
	}
	return 0
}

// Responded records that an upstream responded to a check. Requests that were given up no longer
// wait for it.
func (w *Watch) Responded(u *roster.Upstream, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.upstreams[u.Key()]
	if s == nil {
		s = &upstream{info: u, patience: After}
		w.upstreams[u.Key()] = s
	}
	s.receivedAt.Store(int64(now))
	s.patience = min(2*s.patience, maxPatience)
}

// Actions are what a Tick asks for.
type Actions struct {
	Check    []*roster.Upstream // check whether they respond
	Withdraw []*roster.Upstream // they send again: what Take returned for them was wrong
}

// Tick returns what is to be done now. lookup returns the present entry of an upstream, nil if
// there is none. Call it several times a second.
func (w *Watch) Tick(lookup func(id string) *roster.Upstream, now time.Duration) Actions {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tickedAt > 0 && now-w.tickedAt > maxTickGap {
		w.resetAt = now
	}
	w.tickedAt = now
	var a Actions
	for k, s := range w.upstreams {
		entry := lookup(k.ID)
		known := entry != nil && entry.Key() == k
		switch {
		case known && entry.Leaving:
			delete(w.upstreams, k) // open exchanges keep a reference and are not checked
			continue
		case known:
			s.goneAt = 0
		case s.goneAt == 0:
			s.goneAt = now
		}
		s.prune(now)
		if s.reportedAt > 0 {
			if s.tickReported(known, now, &a) {
				continue
			}
		}
		if s.silent(w.resetAt, now) && now >= s.checkAt {
			s.checkAt = now + recheckInterval
			a.Check = append(a.Check, s.info)
		}
		last := time.Duration(s.receivedAt.Load())
		if len(s.exchanges) == 0 && s.reportedAt == 0 && now-last > knownFor {
			delete(w.upstreams, k)
		}
	}
	return a
}

// tickReported follows an upstream that was reported. It returns true if there is nothing else to
// do about the upstream.
func (s *upstream) tickReported(known bool, now time.Duration, a *Actions) bool {
	last := time.Duration(s.receivedAt.Load())
	switch {
	case s.returnedAt == 0 && last > s.reportedAt:
		s.returnedAt = last
	case !known && now-s.reportedAt > returnMargin, now-s.reportedAt > returnKnownFor:
		s.reportedAt, s.returnedAt, s.exchanges = 0, 0, nil
		return true
	}
	if s.returnedAt > 0 {
		if known && now-s.returnedAt >= returnMargin {
			s.reportedAt, s.returnedAt = 0, 0
			for _, x := range s.exchanges {
				x.reported = false
			}
			a.Withdraw = append(a.Withdraw, s.info)
			return false
		}
		return true
	}
	if s.checks < returnChecks && now >= s.checkAt {
		s.checks++
		s.checkAt = now + returnInterval
		a.Check = append(a.Check, s.info)
	}
	return false
}

// prune forgets requests that were given up if the upstream has sent something since, or too long
// ago.
func (s *upstream) prune(now time.Duration) {
	last := time.Duration(s.receivedAt.Load())
	s.exchanges = slices.DeleteFunc(s.exchanges, func(x *Exchange) bool {
		return x.givenUpAt > 0 && (last > x.givenUpAt || now-x.givenUpAt > knownFor)
	})
}

// silent reports whether a request waits and nothing has arrived for too long.
func (s *upstream) silent(resetAt, now time.Duration) bool {
	since := max(time.Duration(s.receivedAt.Load()), resetAt)
	return slices.ContainsFunc(s.exchanges, func(x *Exchange) bool {
		return !x.reported && now-max(since, x.SentAt) >= s.patience
	})
}

// Waiting describes a request under which an upstream fell silent.
type Waiting struct {
	Request
	End quarantine.End
	// Left is set if the upstream had sent something after its entry was removed: it left.
	Left bool
}

// Fresh is how long before a request was sent its upstream must have sent something to be known to
// have worked then.
const Fresh = 300 * time.Millisecond

// Take returns the requests that wait for an upstream that was found to be silent, and has not
// sent anything since it was found. receivedAt is when it last sent something to another daemon, 0
// if that is not known.
func (w *Watch) Take(k roster.Key, receivedAt, now time.Duration) (list []Waiting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.upstreams[k]
	if s == nil {
		return nil
	}
	last := max(time.Duration(s.receivedAt.Load()), receivedAt)
	if now-last < After/2 {
		return nil
	}
	for _, x := range s.exchanges {
		if x.reported || now-x.SentAt < After/2 || x.givenUpAt > 0 && x.givenUpAt < last {
			continue
		}
		x.reported = true
		list = append(list, Waiting{Request: x.Request, End: x.end(last), Left: s.goneAt > 0 && last > s.goneAt})
	}
	if len(list) > 0 && s.reportedAt == 0 {
		s.reportedAt, s.checks, s.returnedAt, s.checkAt = now, 0, 0, now+returnInterval
	}
	return list
}

// end describes the end of the upstream, which last sent something at a time, under the request.
func (x *Exchange) end(last time.Duration) quarantine.End {
	e := quarantine.End{SentAt: x.SentAt, At: max(last, x.SentAt), Silent: true, Doubtful: last < x.SentAt-Fresh}
	received, first := time.Duration(x.receivedAt.Load()), time.Duration(x.firstAt.Load())
	switch {
	case first > 0:
		e.Stage = quarantine.AfterEvent
		e.Progress = quarantine.Progress{Time: max(received-first, 0), Events: int(x.events.Load())}
	case received > 0:
		e.Stage = quarantine.BeforeEvent
	}
	return e
}

// Stats returns the number of requests that wait for upstreams.
func (w *Watch) Stats() (waiting int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.upstreams {
		waiting += len(s.exchanges)
	}
	return waiting
}
