// Package faults injects faults into stand-ins. A Set wraps the listener and the
// handler of a stand-in and applies named faults to its connections and requests.
//
// POST /faults replaces all faults of a set, GET /faults returns them. Each fault
// has a random generator of its own, seeded by the plan: whether a fault hits its
// n-th request depends on the seed only, so a run in which requests arrive in the
// same order fails in the same places.
package faults

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Path is the path at which a stand-in serves its faults.
const Path = "/faults"

// Name is the kind of a fault.
type Name string

// Faults that hit each request with the probability Share.
const (
	Down    Name = "down"    // the connection is closed before the request runs; if all requests on all paths are hit, the port is closed
	Slow    Name = "slow"    // delays the request by DelayMS before it runs
	Silent  Name = "silent"  // the request is read but not run, and gets no response
	Refuse  Name = "refuse"  // the request is refused with Lagoonmux-Refused, which promises that it did not run, or with Bare by a 503 without it
	Lost    Name = "lost"    // the request runs, and the connection is closed without a response
	Late    Name = "late"    // the request runs, and the response is delayed by DelayMS
	Cut     Name = "cut"     // the connection is closed partway through the response
	Crossed Name = "crossed" // the response of another request is sent instead
	Ignore  Name = "ignore"  // a cancellation of the request has no effect
	Gap     Name = "gap"     // an event of the engine's cache is left out of its event feed
)

// Faults that happen once, AfterMS after they are set.
const (
	Blackhole Name = "blackhole" // open connections drop all data in both directions without being closed; new connections work
	Restart   Name = "restart"   // the stand-in loses its memory, resets its connections and starts a new epoch
	Leave     Name = "leave"     // the stand-in announces that it leaves, and is killed after DelayMS
	Kill      Name = "kill"      // as Restart, with the port closed for ForMS or, without ForMS, until the next plan
)

var perRequest = map[Name]bool{Down: true, Slow: true, Silent: true, Refuse: true, Lost: true, Late: true, Cut: true,
	Crossed: true, Ignore: true, Gap: true}

var oneTime = map[Name]bool{Blackhole: true, Restart: true, Leave: true, Kill: true}

// Fault is one fault of a plan with its parameters.
type Fault struct {
	Name    Name    `json:"name"`
	Share   float64 `json:"share,omitempty"`    // probability that a request on Path is hit; 0 means all
	Path    string  `json:"path,omitempty"`     // prefix of the paths that are hit; empty for all
	Count   int     `json:"count,omitempty"`    // number of hits after which the fault ends; 0 for no limit
	AfterMS int64   `json:"after_ms,omitempty"` // time from the plan's arrival to the beginning of the fault
	ForMS   int64   `json:"for_ms,omitempty"`   // duration of the fault; 0 for no end
	DelayMS int64   `json:"delay_ms,omitempty"` // delay of slow and late; time from the notice of leave to the kill
	Tokens  int     `json:"tokens,omitempty"`   // tokens that a stream sends before cut closes the connection
	Reason  string  `json:"reason,omitempty"`   // reason of refuse: overloaded (the default), leaving or deadline
	Bare    bool    `json:"bare,omitempty"`     // refuse: respond with a 503 that does not promise that the request did not run; leave: accept new requests until the kill
}

// Delay returns DelayMS as a duration.
func (f *Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Plan is the body of POST /faults.
type Plan struct {
	Seed   uint64  `json:"seed"`
	Faults []Fault `json:"faults"`
}

// rule is a fault in force with its random generator.
type rule struct {
	Fault
	rng   *rand.Rand
	hits  int
	begin time.Time
	end   time.Time // zero for no end
}

func (r *rule) active(now time.Time) bool {
	if now.Before(r.begin) || (!r.end.IsZero() && !now.Before(r.end)) {
		return false
	}
	return r.Count == 0 || r.hits < r.Count
}

// Set holds the faults in force of one stand-in and its open connections. Use New to
// create one. Its methods may be called from any goroutine.
type Set struct {
	mu     sync.Mutex
	seed   uint64
	rules  []*rule
	hooks  map[Name][]func(Fault)
	timers []*time.Timer
	conns  map[*conn]struct{}

	lastWithoutID response // newest response without a request ID
	lastWithID    response // newest response with a request ID

	leaving leaving
}

// response is a complete response that Crossed may send to another request.
type response struct {
	body []byte
	id   []byte // of the request
}

// New returns a set without faults.
func New() *Set {
	return &Set{hooks: make(map[Name][]func(Fault)), conns: make(map[*conn]struct{})}
}

// On registers f to be called, in a goroutine of its own, each time that the named
// one-time fault happens. Kill calls the functions registered for Restart too. On
// must be called before the set is served.
func (s *Set) On(name Name, f func(Fault)) {
	s.hooks[name] = append(s.hooks[name], f)
}

// Apply replaces the faults in force by those of the plan. If a fault of the plan is
// invalid, Apply returns an error and changes nothing.
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

// Kill makes the stand-in fail as when its VM is reclaimed: its memory is lost and
// its port is closed until the next plan is applied.
func (s *Set) Kill() {
	r := &rule{Fault: Fault{Name: Kill}, begin: time.Now()}
	s.mu.Lock()
	s.rules = append(s.rules, r)
	s.mu.Unlock()
	s.trigger(r)
}

// clear drops the faults in force. The caller holds mu.
func (s *Set) clear() {
	for _, t := range s.timers {
		t.Stop()
	}
	s.timers = nil
	s.rules = nil
}

func (f *Fault) validate() error {
	if !perRequest[f.Name] && !oneTime[f.Name] {
		return errors.Errorf("unknown fault name %q", f.Name)
	}
	if f.Share < 0 || f.Share > 1 {
		return errors.New("share must be between 0 and 1")
	}
	if f.Count < 0 || f.AfterMS < 0 || f.ForMS < 0 || f.DelayMS < 0 || f.Tokens < 0 {
		return errors.New("count, after_ms, for_ms, delay_ms and tokens must not be negative")
	}
	if f.Name == Down && f.allRequests() && f.ForMS == 0 {
		return errors.New("down for all requests requires for_ms, since it closes the port of /faults too")
	}
	return nil
}

// allRequests reports whether the fault hits every request on its path.
func (f *Fault) allRequests() bool { return f.Share == 0 || f.Share == 1 }

// closesPort reports whether the fault closes the listening port.
func (r *rule) closesPort() bool {
	return r.Name == Kill || (r.Name == Down && r.allRequests() && r.Path == "")
}

// Draw decides at random whether the named fault hits a request for path, counts the
// hit, and returns the fault's parameters.
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

// trigger executes a one-time fault or closes the port: it calls the functions
// registered by On and silences or resets the open connections.
func (s *Set) trigger(r *rule) {
	s.mu.Lock()
	r.hits++
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
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
	for _, c := range conns {
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

// portClosed reports whether a fault in force closes the port now.
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

// Status is one fault in force with its number of hits.
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
