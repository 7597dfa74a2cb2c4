package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxSentCustomers bounds the customers of one service in a Report.
	maxSentCustomers = 64
	// peerTTL is how long sums of another daemon count that were not renewed.
	peerTTL = 3 * time.Second
	// minWitnesses is the number of daemons that must see pressure before a hub tells its members.
	minWitnesses = 2
	// workUnits is the number of units of work in one ms per second. Reports contain whole units.
	workUnits = 10
)

// Source tells whose sums another daemon sends.
type Source int

// Sources.
const (
	FromPeer   Source = iota // its own and those of its group, which does not include this daemon
	FromMember               // its own; it is a member of this daemon's group
	FromHub                  // those of all daemons, including this one
)

// Recipient tells which sums to send.
type Recipient int

// Recipients.
const (
	ToPeer   Recipient = iota // this daemon's and its group's
	ToMember                  // those of all daemons
)

// CustomerReport holds the sums of one customer by class, in tenths of ms per second.
type CustomerReport struct {
	Customer      Customer
	Asked, Served [Classes]uint32
}

// AskedMS returns the work that the customer asked for, in ms per second.
func (c CustomerReport) AskedMS() float64 { return sumMS(c.Asked) }

// ServedMS returns the customer's served work, in ms per second.
func (c CustomerReport) ServedMS() float64 { return sumMS(c.Served) }

func sumMS(units [Classes]uint32) (sum float64) {
	for _, u := range units {
		sum += float64(u) / workUnits
	}
	return sum
}

// Report holds the sums of one service.
type Report struct {
	Service     string
	PressureAge time.Duration // since the service last refused or nearly refused
	Customers   []CustomerReport
}

// peerRecord holds the sums received from another daemon.
type peerRecord struct {
	record
	source    Source
	pressedAt time.Duration // when the service last refused or nearly refused there; 0 for never
}

// Merge takes in the reports of another daemon, in place of its earlier ones.
func (s *Shares) Merge(daemon string, source Source, reports []Report, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		v := s.service(r.Service, now)
		p := &peerRecord{record: record{at: now, customers: make(map[Customer]*sums, len(r.Customers))}, source: source}
		if r.PressureAge < pressureTTL {
			p.pressedAt = now - r.PressureAge
			v.press(p.pressedAt, now)
		}
		for i, c := range r.Customers {
			if i == maxSentCustomers {
				break
			}
			t := p.customer(c.Customer)
			for class := range Classes {
				t.asked[class], t.served[class] = float64(c.Asked[class])/workUnits, float64(c.Served[class])/workUnits
				if c.Asked[class] > 0 {
					v.lastAsked[class] = now
				}
			}
		}
		v.peers[daemon] = p
	}
}

// Reports returns the sums of the services that recently refused or nearly refused.
func (s *Shares) Reports(to Recipient, now time.Duration) []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Report
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		v := s.services[name]
		if !v.pressed(now) && !recent(v.ownPressedAt, now) {
			continue
		}
		out = append(out, Report{Service: name, PressureAge: v.pressureAge(to, now), Customers: encodeSums(v.sum(now, to == ToMember))})
	}
	return out
}

// pressureAge returns the age of the pressure for a report, pressureTTL for none. Peers are told only
// of that at this daemon and its group, and members only what two daemons or known loads show: a daemon
// whose VM is slow must not take the echo of its own report for the view of others.
func (v *service) pressureAge(to Recipient, now time.Duration) time.Duration {
	last, witnesses := time.Duration(0), 0
	witness := func(at time.Duration) {
		if recent(at, now) {
			last = max(last, at)
			witnesses++
		}
	}
	witness(v.ownPressedAt)
	for _, p := range v.peers {
		if p.source == FromMember || to == ToMember && p.source == FromPeer {
			witness(p.pressedAt)
		}
	}
	if witnesses == 0 || to == ToMember && witnesses < minWitnesses && !recent(v.knownPressedAt, now) {
		return pressureTTL
	}
	return max(now-last, 0)
}

// recent reports whether pressure of a time still counts.
func recent(at, now time.Duration) bool { return at > 0 && now-at <= pressureTTL }

// encodeSums returns the largest sums.
func encodeSums(all map[Customer]*sums) []CustomerReport {
	keys := slices.SortedFunc(maps.Keys(all), func(a, b Customer) int {
		return cmp.Or(cmp.Compare(total(all[b].asked), total(all[a].asked)), cmp.Compare(a, b))
	})
	list := make([]CustomerReport, min(len(keys), maxSentCustomers))
	for i := range list {
		t := all[keys[i]]
		list[i].Customer = keys[i]
		for class := range Classes {
			list[i].Asked[class] = uint32(t.asked[class]*workUnits + 0.5)
			list[i].Served[class] = uint32(t.served[class]*workUnits + 0.5)
		}
	}
	return list
}

// sum returns the sums of this daemon and its group or, if whole is set, of all daemons. The sums of
// a hub contain this daemon's as of some time ago; where this daemon's present ones are
// larger, they count instead. The result must not be changed.
func (v *service) sum(now time.Duration, whole bool) map[Customer]*sums {
	if whole && v.whole != nil && now-v.wholeAt < standingsTTL {
		return v.whole
	}
	v.local.advance(now)
	out := make(map[Customer]*sums, len(v.local.customers))
	var hub *peerRecord
	addAll(out, &v.local, 1)
	for name, p := range v.peers {
		switch {
		case now-p.at > peerTTL:
			delete(v.peers, name)
		case p.source == FromMember, whole && p.source == FromPeer:
			addAll(out, &p.record, decayFactor(p.at, now))
		case whole && (hub == nil || p.at > hub.at):
			hub = p
		}
	}
	if hub != nil {
		out = maxOf(out, hub, decayFactor(hub.at, now))
	}
	if whole {
		v.whole, v.wholeAt = out, now
	}
	return out
}

func addAll(out map[Customer]*sums, r *record, factor float64) {
	for c, t := range r.customers {
		if out[c] == nil {
			out[c] = &sums{}
		}
		out[c].add(t, factor)
	}
}

// maxOf returns, by customer, the larger of the sums of this daemon and of its hub.
func maxOf(own map[Customer]*sums, hub *peerRecord, factor float64) map[Customer]*sums {
	for c, t := range hub.customers {
		if o := own[c]; o == nil || total(o.asked) < factor*total(t.asked) {
			own[c] = &sums{}
			own[c].add(t, factor)
		}
	}
	return own
}
