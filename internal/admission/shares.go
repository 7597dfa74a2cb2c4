package admission

import (
	"hash/fnv"
	"math"
	"sync"
	"time"
)

const (
	// Classes is the number of classes that are told apart by rank. Less urgent ones count as
	// the last.
	Classes = 4
	// shareDecay is the time constant of the sums. It is several times the delay with which
	// daemons learn of each other's sums (1.2 s in the worst case measured), since otherwise
	// the sums would mostly tell of what is over.
	shareDecay = 3 * time.Second
	// minClassFraction is the fraction of the served share of all requests that each class
	// gets at least. A class may not be served less than a quarter as often as all; the rest
	// is a margin for the delay of the sums.
	minClassFraction = 0.3
	// pressureTTL is how long a service counts as refusing after it refused or nearly refused.
	pressureTTL = 5 * time.Second
	// standingsTTL is how long computed standings are used.
	standingsTTL = 100 * time.Millisecond
	// quietTime is the time without a request after which a class counts as absent.
	quietTime = 10 * time.Second
	// settleTime is the time for which a service must have been pressed before a class counts
	// as absent: it takes that long until all daemons tell each other of the service.
	settleTime = 2500 * time.Millisecond
	// waitDecay is the time constant of the average wait. It is about as long as a queue that is
	// accepted, so that the average follows the queue.
	waitDecay = 300 * time.Millisecond
	// waitTTL is the time without a request after which the average starts to decay.
	waitTTL = time.Second
	// maxWaitWeight bounds the weight of one request in the average: at a daemon with little traffic,
	// a single slow upstream must not look like an overload.
	maxWaitWeight = 0.1
	// pressedWaitFraction is the average wait, as a fraction of the latency target, from which on a
	// service counts as nearly refusing. It is half of what the least urgent requests may wait.
	pressedWaitFraction = 0.2
	// suspectedWaitFraction is the average wait from which on daemons with hubs tell the others, who may
	// need that to act on their own. With 0.2, the daemons of one of four replays at 295 daemons left
	// more than 5 in 100 of the capacity unused.
	suspectedWaitFraction = 0.1
	// goalFraction is the average wait at which as much is admitted as is served, relative to what the
	// requests on average may wait. In replays of twice the capacity with 295 daemons and views that are
	// 0.75 s old, 0.67, 0.75 and 0.85 left 5, 4 and 3 in 100 of the capacity unused, and 0.9,
	// 1.1 and 1.3 in 100 urgent answers were late.
	goalFraction = 0.7
	// idleWaitFraction is the average wait, as a fraction of the latency target, below which upstreams have
	// room, and no customer is held to its share: what is served then may be little because
	// upstreams were away, not because they are busy.
	idleWaitFraction = 0.1
	// minRepay is the least fraction of its share that a customer gets while it makes up for what it got
	// beyond it. Without it, one that used idle capacity would get next to nothing once others come.
	minRepay = 0.5
	// advanceStep is the least time between updates of all sums of a service.
	advanceStep = 20 * time.Millisecond
	// minWork is the sum, in ms per second, below which a customer is forgotten.
	minWork = 0.05
)

// Customer is the hash of a customer's name.
type Customer uint32

// HashCustomer returns the hash of a customer's name.
func HashCustomer(name string) Customer {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return Customer(h.Sum32())
}

// Class returns the class of requests of a rank.
func Class(rank int) int { return min(max(rank, 0), Classes-1) }

// Standing is what the shares say about a request.
type Standing struct {
	Excess  float64       // fraction of its customer's requests of its class to refuse; 0 within the share
	Within  bool          // its customer is within its share, and others are not
	Starved bool          // its class is served too seldom
	Pressed bool          // the service refuses or nearly refuses requests; if it is not set, neither are the other fields
	Wait    time.Duration // expected until the upstream starts on the request
	Share   float64       // of its customer, in ms of upstream time per second; 0 for no bound
	Asked   float64       // by its customer, in ms per second
}

// sums are the work that was asked for and served, as decaying sums by class.
type sums struct{ asked, served [Classes]float64 }

func (s *sums) add(t *sums, factor float64) {
	for i := range Classes {
		s.asked[i] += factor * t.asked[i]
		s.served[i] += factor * t.served[i]
	}
}

func total(list [Classes]float64) (sum float64) {
	for _, v := range list {
		sum += v
	}
	return sum
}

// record holds the sums of the customers of one service, as of the time at.
type record struct {
	at        time.Duration
	customers map[Customer]*sums
}

// decayFactor returns the factor by which sums of a time before now have decayed.
func decayFactor(from, now time.Duration) float64 {
	return math.Exp(-max(now-from, 0).Seconds() / shareDecay.Seconds())
}

// advance makes now the time of the record.
func (r *record) advance(now time.Duration) {
	if now-r.at < advanceStep {
		return
	}
	f := decayFactor(r.at, now)
	r.at = now
	for c, s := range r.customers {
		for i := range Classes {
			s.asked[i] *= f
			s.served[i] *= f
		}
		if total(s.asked) < minWork {
			delete(r.customers, c)
		}
	}
}

func (r *record) customer(c Customer) *sums {
	s := r.customers[c]
	if s == nil {
		s = &sums{}
		r.customers[c] = s
	}
	return s
}

// service is what is known about one service.
type service struct {
	local          record
	peers          map[string]*peerRecord // by daemon
	firstAt        time.Duration          // of the first request
	pressedAt      time.Duration          // when known loads or another daemon last showed that it refuses or nearly does
	pressedFrom    time.Duration          // since when it does
	lastAsked      [Classes]time.Duration // last request of the class, at any daemon
	standings      map[Customer]*standing
	whole          map[Customer]*sums // of all daemons, as of wholeAt
	wholeAt        time.Duration
	computedAt     time.Duration
	starved        [Classes]bool
	goal           float64       // average wait that is aimed at, as a fraction of the target
	wait           waitAverage   // as far as this daemon can tell
	knownWait      waitAverage   // according to the known loads of the chosen upstreams
	ownPressedAt   time.Duration // when this daemon's average wait last was long enough to tell others
	knownPressedAt time.Duration // when the known loads showed a wait as well
	tickets        []*Ticket     // of the last ticketTTL, oldest first
	predictions    [Classes]prediction
	lastOwnWait    time.Duration // result of computeOwnWait
	ownWaitAt      time.Duration // when it was computed
	servedRate     float64       // of this daemon's requests, in ms per second
	servedAt       time.Duration // time of servedRate
}

// standing is what the shares say about one customer.
type standing struct {
	excess       [Classes]float64
	share, asked float64
}

// Shares holds what the customers of each service recently asked for and got, over all
// daemons as far as known. Work is measured in milliseconds of upstream time. Its methods
// are safe for concurrent use; now is a clock that also runs while the VM is suspended.
type Shares struct {
	mu       sync.Mutex
	services map[string]*service
	weights  map[Customer]float64
	viaHubs  bool
}

// NewShares returns shares without any sums. All customers have the weight 1.
func NewShares() *Shares { return &Shares{services: make(map[string]*service)} }

// SetWeights sets the weights of the customers' shares. Others have the weight 1.
func (s *Shares) SetWeights(weights map[Customer]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weights = weights
}

// SetViaHubs sets whether daemons exchange their loads through hubs. Only then are waits predicted from
// this daemon's own requests: the estimates are older than the queues are long. Otherwise
// requests that are late for another reason, such as a busy VM of this daemon, would count as a queue.
func (s *Shares) SetViaHubs(viaHubs bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.viaHubs = viaHubs
}

// Ask describes a request and the upstream picked for it.
type Ask struct {
	Service  string
	Customer Customer
	Rank     int           // see Request
	Work     float64       // upstream time that it needs, in ms
	Wait     time.Duration // estimated time until the chosen upstream starts on it
	Target   time.Duration // that bounds the wait; 0 for none
	Repeated bool          // the request has been counted with another upstream
}

// Ask counts a request for a service and returns what the shares say about it.
func (s *Shares) Ask(a Ask, now time.Duration) Standing {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.service(a.Service, now)
	v.local.advance(now)
	class := Class(a.Rank)
	if !a.Repeated {
		v.local.customer(a.Customer).asked[class] += a.Work / shareDecay.Seconds()
	}
	v.lastAsked[class] = now
	if a.Target <= 0 {
		return Standing{}
	}
	out := Standing{Wait: v.predictions[class].predict(a.Wait, now)}
	known, suspected := min(a.Wait, out.Wait), pressedWaitFraction
	if s.viaHubs {
		out.Wait, suspected = max(v.ownWait(now), out.Wait), suspectedWaitFraction
	} else {
		out.Wait = known
	}
	v.observe(out.Wait.Seconds()/a.Target.Seconds(), a.Wait.Seconds()/a.Target.Seconds(), suspected, now)
	if !v.pressed(now) {
		return v.unconfirmed(known)
	}
	if v.standings == nil || now-v.computedAt >= standingsTTL {
		s.compute(v, now)
	}
	out.Pressed, out.Starved = true, v.starved[class]
	if st := v.standings[a.Customer]; st != nil {
		out.Excess, out.Share, out.Asked = st.excess[class], st.share, st.asked
		out.Within = st.share > 0 && st.asked <= st.share
	}
	return out
}

// pressed reports whether the service recently refused or nearly refused requests, here or at
// another daemon.
func (v *service) pressed(now time.Duration) bool {
	return v.pressedAt > 0 && now-v.pressedAt <= pressureTTL
}

// unconfirmed returns the standing of a request whose wait is long only according to this daemon's
// own requests. Their answers are late also if this daemon's VM is slow, so only the known wait
// counts until known loads or other daemons show a queue.
func (v *service) unconfirmed(known time.Duration) Standing {
	if v.wait.fraction < pressedWaitFraction {
		return Standing{}
	}
	return Standing{Pressed: true, Wait: known}
}

// observe takes the wait of a request and its wait according to the known load of the chosen
// upstream, as fractions of the target that bounds it, into the averages. Other daemons are told of
// an average wait from suspected on.
func (v *service) observe(wait, known, suspected float64, now time.Duration) {
	v.wait.observe(wait, now)
	v.knownWait.observe(known, now)
	if v.wait.fraction >= suspected {
		v.ownPressedAt = now
	}
	if v.wait.fraction >= pressedWaitFraction && v.knownWait.fraction >= idleWaitFraction {
		v.knownPressedAt = now
		v.press(now, now)
	}
}

// waitAverage is a moving average of waits.
type waitAverage struct {
	fraction float64 // of the target
	at       time.Duration
}

func (w *waitAverage) observe(fraction float64, now time.Duration) {
	w.fraction *= decayFactor(w.at+waitTTL, now)
	weight := min(1-math.Exp(-max(now-w.at, 0).Seconds()/waitDecay.Seconds()), maxWaitWeight)
	w.fraction += weight * (fraction - w.fraction)
	w.at = now
}

// press records that the service refused or nearly refused requests at a time.
func (v *service) press(at, now time.Duration) {
	if !v.pressed(now) {
		v.pressedFrom, v.standings = now, nil
	}
	v.pressedAt = max(v.pressedAt, at)
}

// Absent reports whether no daemon has had a request of the class of a rank lately. It errs
// towards false: until all daemons have had the time to tell, no class is absent.
func (s *Shares) Absent(name string, rank int, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil || now-v.firstAt < quietTime || !v.pressed(now) || now-v.pressedFrom < settleTime {
		return false
	}
	last := v.lastAsked[Class(rank)]
	return last == 0 || now-last > quietTime
}

// Share returns the share of a customer at the last request for the service, in ms per
// second; 0 for no bound.
func (s *Shares) Share(name string, c Customer) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.services[name]; v != nil && v.standings[c] != nil {
		return v.standings[c].share
	}
	return 0
}

// service returns the record of a service. The caller holds mu.
func (s *Shares) service(name string, now time.Duration) *service {
	v := s.services[name]
	if v == nil {
		v = &service{local: record{at: now, customers: make(map[Customer]*sums)}, peers: make(map[string]*peerRecord), firstAt: now}
		s.services[name] = v
	}
	return v
}

// compute divides what the service carries among its customers. The caller holds mu.
func (s *Shares) compute(v *service, now time.Duration) {
	v.computedAt, v.standings = now, make(map[Customer]*standing)
	all := v.sum(now, true)
	var whole sums
	claims := make([]claim, 0, len(all))
	for c, t := range all {
		whole.add(t, 1)
		claims = append(claims, claim{total(t.asked), s.weight(c)})
	}
	v.goal = goalWait(whole.asked)
	level := 0.0
	if v.wait.fraction >= idleWaitFraction {
		level = fairLevel(claims, v.growth()*total(whole.served))
	}
	for c, t := range all {
		st := &standing{asked: total(t.asked)}
		if level > 0 {
			st.share = s.weight(c) * level
			// What a customer got beyond its share is made up for, since what it asked for is known late.
			st.excess = excessFractions(t.asked, st.share*min(max(st.share/max(total(t.served), minWork), minRepay), 1))
		}
		v.standings[c] = st
	}
	served := total(whole.served) / max(total(whole.asked), minWork)
	for i := range Classes {
		v.starved[i] = whole.served[i] < minClassFraction*served*whole.asked[i]
	}
}

// goalWait returns the average wait to aim at for a mix of classes, as a fraction of the latency target.
func goalWait(asked [Classes]float64) float64 {
	sum := 0.0
	for class, a := range asked {
		sum += a * maxWaitFor(class)
	}
	return goalFraction * sum / max(total(asked), minWork)
}

// growth returns how much work may be admitted relative to what is served. It falls as the queues grow;
// the square root keeps the waits from swinging, since what daemons know about queues is
// as old as the queues are long.
func (v *service) growth() float64 { return math.Sqrt(v.goal / v.wait.fraction) }

// weight returns the weight of a customer's share. The caller holds mu.
func (s *Shares) weight(c Customer) float64 {
	if w := s.weights[c]; w > 0 {
		return w
	}
	return 1
}
