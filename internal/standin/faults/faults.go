// Package faults makes a stand-in fail on request: a set of named faults, each
// drawn from its own seeded generator, that wraps the listener and the handler
// of a stand-in.
//
// A set is replaced whole by POST /faults and read by GET /faults. The n-th
// draw of a fault depends on the seed alone, so that a run whose requests
// arrive in the same order fails in the same places.
package faults

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Path is where a stand-in takes its faults.
const Path = "/faults"

// Name names a kind of fault.
type Name string

// Faults that are drawn for each request.
const (
	Down    Name = "down"    // with share 1 the port is closed, otherwise the connection is closed before the request runs
	Slow    Name = "slow"    // waits before the request runs
	Silent  Name = "silent"  // the request is read and nothing is ever answered; it does not run
	Refuse  Name = "refuse"  // refused by protocol, or with Bare by a status that says nothing
	Lost    Name = "lost"    // the request runs and the connection is closed instead of the answer
	Late    Name = "late"    // the request runs and the answer waits
	Cut     Name = "cut"     // the answer breaks off partway
	Crossed Name = "crossed" // the answer of another request comes instead
	Ignore  Name = "ignore"  // a cancellation has no effect
	Gap     Name = "gap"     // cache events are left out
)

// Faults that happen once, when they are set.
const (
	Blackhole Name = "blackhole" // connections that are open go silent for good; new ones work
	Restart   Name = "restart"   // memory is lost, connections close, the epoch changes
	Leave     Name = "leave"     // announces leaving, and is killed after DelayMS
	Kill      Name = "kill"      // Restart with the port closed for ForMS, or for good
)

var perRequest = map[Name]bool{Down: true, Slow: true, Silent: true, Refuse: true, Lost: true, Late: true, Cut: true,
	Crossed: true, Ignore: true, Gap: true}

var oneTime = map[Name]bool{Blackhole: true, Restart: true, Leave: true, Kill: true}

// Fault is one fault that is switched on.
type Fault struct {
	Name    Name    `json:"name"`
	Share   float64 `json:"share,omitempty"`    // of the requests concerned; 0 means all
	Path    string  `json:"path,omitempty"`     // prefix of the paths concerned; empty for all
	Count   int     `json:"count,omitempty"`    // ends after so many hits; 0 for no end
	AfterMS int64   `json:"after_ms,omitempty"` // begins after so long
	ForMS   int64   `json:"for_ms,omitempty"`   // ends after so long; 0 for no end
	DelayMS int64   `json:"delay_ms,omitempty"` // of slow and late, deadline of leave
	Tokens  int     `json:"tokens,omitempty"`   // that a cut stream sends before it breaks
	Reason  string  `json:"reason,omitempty"`   // of refuse: overloaded (the default), leaving or deadline
	Bare    bool    `json:"bare,omitempty"`     // refuse by a 503 that does not promise that nothing ran; leave without refusing new work
}

// Delay returns DelayMS as a duration.
func (f *Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Plan is the body of POST /faults.
type Plan struct {
	Seed   uint64  `json:"seed"`
	Faults []Fault `json:"faults"`
}

// rule is a fault of the plan in force with its generator.
type rule struct {
	Fault
	rng   *rand.Rand
	hits  int
	begin time.Time
	end   time.Time // zero for none
}

func (r *rule) active(now time.Time) bool {
	if now.Before(r.begin) || (!r.end.IsZero() && !now.Before(r.end)) {
		return false
	}
	return r.Count == 0 || r.hits < r.Count
}

// Set is the faults of one stand-in listener. The zero value is not usable. Its methods
// may be called from any goroutine.
type Set struct {
	mu     sync.Mutex
	seed   uint64
	rules  []*rule
	hooks  map[Name][]func(Fault)
	timers []*time.Timer
	conns  map[*conn]struct{}

	lastWithoutID response // without the id of its request
	lastWithID    response

	leaving leaving
}

// response is a whole answer, kept for Crossed.
type response struct {
	body []byte
	id   []byte // of its request
}

// New returns a set without faults.
func New() *Set {
	return &Set{hooks: make(map[Name][]func(Fault)), conns: make(map[*conn]struct{})}
}

// On calls f in its own goroutine each time that a fault which happens once is
// set. It must be called before the set is served.
func (s *Set) On(name Name, f func(Fault)) {
	s.hooks[name] = append(s.hooks[name], f)
}

// Apply replaces the faults in force. It changes nothing when the plan has an
// error.
func (s *Set) Apply(p Plan) error {
	for i := range p.Faults {
		if err := p.Faults[i].validate(); err != nil {
			return errors.Wrapf(err, "faults[%d]", i)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.clear()
	s.seed = p.Seed
	for i, f := range p.Faults {
		r := &rule{Fault: f, rng: rand.New(rand.NewPCG(p.Seed, uint64(i))), begin: now.Add(ms(f.AfterMS))}
		if f.ForMS > 0 {
			r.end = r.begin.Add(ms(f.ForMS))
		}
		s.rules = append(s.rules, r)
		if oneTime[f.Name] || r.closesPort() {
			s.timers = append(s.timers, time.AfterFunc(ms(f.AfterMS), func() { s.trigger(r) }))
		}
	}
	return nil
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Kill stops the stand-in for good, as when its VM is reclaimed. The next plan
// starts it again.
func (s *Set) Kill() {
	r := &rule{Fault: Fault{Name: Kill}, begin: time.Now()}
	s.mu.Lock()
	s.rules = append(s.rules, r)
	s.mu.Unlock()
	s.trigger(r)
}

// clear drops the plan in force. The caller holds the lock.
func (s *Set) clear() {
	for _, t := range s.timers {
		t.Stop()
	}
	s.timers = nil
	s.rules = nil
}

func (f *Fault) validate() error {
	if !perRequest[f.Name] && !oneTime[f.Name] {
		return errors.Errorf("unknown fault %q", f.Name)
	}
	if f.Share < 0 || f.Share > 1 {
		return errors.New("share must be between 0 and 1")
	}
	if f.Count < 0 || f.AfterMS < 0 || f.ForMS < 0 || f.DelayMS < 0 || f.Tokens < 0 {
		return errors.New("numbers must not be negative")
	}
	if f.Name == Down && f.allRequests() && f.ForMS == 0 {
		return errors.New("down for all requests requires for_ms, since it closes the port of /faults too")
	}
	return nil
}

// allRequests tells whether the fault concerns every request.
func (f *Fault) allRequests() bool { return f.Share == 0 || f.Share == 1 }

// closesPort tells whether the fault closes the listening port.
func (r *rule) closesPort() bool {
	return r.Name == Kill || (r.Name == Down && r.allRequests() && r.Path == "")
}

// Draw tells whether the named fault hits a request for path, and with which
// parameters.
func (s *Set) Draw(name Name, path string) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rules) == 0 {
		return Fault{}, false
	}
	now := time.Now()
	for _, r := range s.rules {
		if r.Name != name || !strings.HasPrefix(path, r.Path) || !r.active(now) {
			continue
		}
		if r.allRequests() || r.rng.Float64() < r.Share {
			r.hits++
			return r.Fault, true
		}
	}
	return Fault{}, false
}

// trigger lets a fault happen that happens once.
func (s *Set) trigger(r *rule) {
	s.mu.Lock()
	r.hits++
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	hooks := s.hooks[r.Name]
	if r.Name == Kill {
		hooks = append(hooks[:len(hooks):len(hooks)], s.hooks[Restart]...)
	}
	s.mu.Unlock()
	switch r.Name {
	case Leave:
		s.Leave(r.Delay(), r.Bare)
	case Restart, Kill:
		s.leaving.notice.Store(nil)
	}
	for _, f := range hooks {
		go f(r.Fault)
	}
	for _, c := range open {
		if c.isExempt() {
			continue
		}
		switch r.Name {
		case Blackhole:
			c.setSilent()
		case Restart, Kill, Down:
			c.reset()
		}
	}
}

// portClosed tells whether the port refuses connections now.
func (s *Set) portClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, r := range s.rules {
		if r.closesPort() && !now.Before(r.begin) && (r.end.IsZero() || now.Before(r.end)) {
			return true
		}
	}
	return false
}

// Status is one fault in force and how often it hit.
type Status struct {
	Fault
	Hits int `json:"hits"`
}

// Status returns the faults in force.
func (s *Set) Status() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Status, len(s.rules))
	for i, r := range s.rules {
		out[i] = Status{Fault: r.Fault, Hits: r.hits}
	}
	return out
}
