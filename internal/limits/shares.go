package limits

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonmux/lagoonmux/internal/limits/limitspb"
)

const (
	baseInterval    = time.Second // between reports, in a small cluster
	peersPerSecond  = 50          // reports that a daemon takes in each second
	validIntervals  = 3           // intervals for which a grant holds
	headroom        = 1.25        // a daemon keeps this multiple of its demand
	minNeed         = 0.02        // of a customer's limits, kept by every daemon
	minGrant        = 0.005
	rememberedSeqs  = 16
	forgetPeerAfter = 2 * time.Hour // of silence, where membership says nothing
)

// Member is one daemon and its size.
type Member struct {
	Name  string
	Cores int
}

// shares divides the limits of each customer among daemons.
//
// Each daemon owns a base share by its cores. It passes unused parts to
// daemons that asked for more, for a fixed time from when they asked, and does
// not use a part while it is passed on. So the parts never add up to more than
// the whole, whatever messages are lost or late. A daemon that hears nothing
// falls back to its base share.
type shares struct {
	self  Member
	seq   uint64
	sent  map[uint64]time.Duration // when a report was sent, by seq
	peers map[string]*peer
	out   []grant
	in    []grant
}

// peer is what another daemon reported last.
type peer struct {
	cores int
	seen  time.Duration
	heard bool // a report has arrived
	named bool // by membership
	seq   uint64
	needs map[string]float64
}

// grant is a part of a customer's limits that has changed hands until a time
// on this daemon's clock.
type grant struct {
	customer string
	peer     string
	id       uint64 // seq of the giver's report that carried it first
	answers  uint64 // seq of the receiver's report
	fraction float64
	until    time.Duration
	valid    time.Duration
}

func newShares(self Member, seq uint64) *shares {
	return &shares{self: self, seq: seq, sent: make(map[uint64]time.Duration), peers: make(map[string]*peer)}
}

// interval returns the time between two reports.
func (s *shares) interval() time.Duration {
	scale := float64(len(s.peers)+1) / peersPerSecond
	return time.Duration(float64(baseInterval) * max(scale, 1))
}

func (s *shares) validity() time.Duration { return validIntervals * s.interval() }

// setMembers replaces the daemons known by those of membership.
func (s *shares) setMembers(now time.Duration, members []Member) {
	known := make(map[string]*peer, len(members))
	for _, m := range members {
		if m.Name == s.self.Name {
			continue
		}
		p := s.peers[m.Name]
		if p == nil {
			p = &peer{seen: now}
		}
		p.named = true
		if m.Cores > 0 {
			p.cores = m.Cores
		}
		if p.cores == 0 {
			p.cores = s.self.Cores
		}
		known[m.Name] = p
	}
	s.peers = known
}

// base returns the share of the daemon's cores in all cores.
func (s *shares) base(cores int) float64 {
	total := s.self.Cores
	for _, p := range s.peers {
		total += p.cores
	}
	return float64(cores) / float64(max(total, 1))
}

// fraction returns the part of the customer's limits that is this daemon's now.
func (s *shares) fraction(now time.Duration, customer string) float64 {
	f := s.base(s.self.Cores) - granted(s.out, now, customer) + granted(s.in, now, customer)
	return min(max(f, 0), 1)
}

// units returns this daemon's whole part of n indivisible units. The base
// parts of all daemons add up to n.
func (s *shares) units(now time.Duration, customer string, n int) int {
	before := 0
	total := s.self.Cores
	for name, p := range s.peers {
		total += p.cores
		if name < s.self.Name {
			before += p.cores
		}
	}
	total = max(total, 1)
	own := n*(before+s.self.Cores)/total - n*before/total
	own -= int(math.Ceil(float64(n)*granted(s.out, now, customer) - 1e-9))
	own += int(math.Floor(float64(n)*granted(s.in, now, customer) + 1e-9))
	return max(own, 0)
}

func granted(list []grant, now time.Duration, customer string) float64 {
	sum := 0.0
	for i := range list {
		if list[i].customer == customer && now < list[i].until {
			sum += list[i].fraction
		}
	}
	return sum
}

func dropExpired(list []grant, now time.Duration) []grant {
	return slices.DeleteFunc(list, func(g grant) bool { return now >= g.until })
}

// report returns the message for all other daemons, of which only the newest
// need arrive, and passes on what this
// daemon does not need. needs holds the part of each customer's limits that
// its demand here amounts to.
func (s *shares) report(now time.Duration, needs map[string]float64) ([]byte, error) {
	s.seq++
	s.sent[s.seq] = now
	delete(s.sent, s.seq-rememberedSeqs)
	s.out = dropExpired(s.out, now)
	s.in = dropExpired(s.in, now)
	s.forgetSilent(now)
	d := &limitspb.Demand{Daemon: s.self.Name, Cores: uint32(s.self.Cores), Seq: s.seq}
	for customer, need := range needs {
		d.Needs = append(d.Needs, &limitspb.Need{Customer: customer, Fraction: float32(need)})
	}
	s.extend(now, needs)
	for _, customer := range s.wanted(now) {
		s.passOn(now, customer, needs[customer])
	}
	for i := range s.out {
		d.Grants = append(d.Grants, s.out[i].message())
	}
	data, err := proto.Marshal(d)
	return data, errors.Wrap(err, "encode demand")
}

// extend lets the grants that are still wanted hold for longer, so that the
// receiver is not left without them between two grants.
func (s *shares) extend(now time.Duration, needs map[string]float64) {
	base := s.base(s.self.Cores)
	for i := range s.out {
		g := &s.out[i]
		p := s.peers[g.peer]
		if p == nil || !s.fresh(now, p) {
			continue
		}
		spare := base - max(needs[g.customer], minNeed*base)
		wanted := p.needs[g.customer]*headroom-s.base(p.cores) >= g.fraction
		if !wanted || granted(s.out, now, g.customer) > spare {
			continue
		}
		g.answers = p.seq
		g.valid = s.validity()
		g.until = max(g.until, now+g.valid+time.Millisecond)
	}
}

func (s *shares) forgetSilent(now time.Duration) {
	for name, p := range s.peers {
		if !p.named && now-p.seen > forgetPeerAfter {
			delete(s.peers, name)
		}
	}
}

// wanted returns the customers of which another daemon needs more than its base.
func (s *shares) wanted(now time.Duration) []string {
	var list []string
	for _, p := range s.peers {
		if !s.fresh(now, p) {
			continue
		}
		for customer, need := range p.needs {
			if need > s.base(p.cores) && !slices.Contains(list, customer) {
				list = append(list, customer)
			}
		}
	}
	slices.Sort(list)
	return list
}

func (s *shares) fresh(now time.Duration, p *peer) bool {
	return p.heard && now-p.seen < s.validity()
}

// passOn splits this daemon's spare part among the daemons short of it. Every
// daemon with a spare part gives in proportion, so that together they give
// what is short and no more.
func (s *shares) passOn(now time.Duration, customer string, need float64) {
	base := s.base(s.self.Cores)
	spare := base - max(need*headroom, minNeed*base)
	free := spare - granted(s.out, now, customer)
	if free <= 0 {
		return
	}
	short, allSpare := s.balance(now, customer, spare)
	if short <= 0 {
		return
	}
	scale := spare / allSpare * min(1, allSpare/short)
	for name, p := range s.peers {
		missing := p.needs[customer]*headroom - s.base(p.cores)
		if missing <= 0 || !s.fresh(now, p) {
			continue
		}
		part := min(missing*scale-s.grantedTo(now, customer, name), free)
		if part < minGrant*base {
			continue
		}
		free -= part
		s.out = append(s.out, grant{
			customer: customer, peer: name, id: s.seq, answers: p.seq,
			fraction: float64(float32(part)), valid: s.validity(), until: now + s.validity() + time.Millisecond,
		})
	}
}

func (g *grant) message() *limitspb.Grant {
	return &limitspb.Grant{
		Customer: g.customer, To: g.peer, Fraction: float32(g.fraction),
		Seq: g.answers, ValidMs: uint32(g.valid.Milliseconds()), Id: g.id,
	}
}

func (s *shares) grantedTo(now time.Duration, customer, name string) float64 {
	sum := 0.0
	for _, g := range s.out {
		if g.customer == customer && g.peer == name && now < g.until {
			sum += g.fraction
		}
	}
	return sum
}

// balance returns what daemons are short of for a customer and what the others
// have to spare.
func (s *shares) balance(now time.Duration, customer string, ownSpare float64) (short, spare float64) {
	spare = ownSpare
	for _, p := range s.peers {
		if !s.fresh(now, p) {
			continue
		}
		base := s.base(p.cores)
		difference := base - max(p.needs[customer]*headroom, minNeed*base)
		if difference < 0 {
			short -= difference
		} else {
			spare += difference
		}
	}
	return short, spare
}

// observe takes in a report of another daemon. A grant holds from when this
// daemon sent the report that it answers, so that it ends here before the
// giver uses it again.
func (s *shares) observe(now time.Duration, data []byte) error {
	d := &limitspb.Demand{}
	if err := proto.Unmarshal(data, d); err != nil {
		return errors.Wrap(err, "decode demand")
	}
	if d.Daemon == s.self.Name || d.Daemon == "" || d.Cores == 0 {
		return nil
	}
	p := s.peers[d.Daemon]
	if p == nil {
		p = &peer{}
		s.peers[d.Daemon] = p
	}
	for _, g := range d.Grants {
		s.receive(now, d, g)
	}
	if p.heard && p.seq-d.Seq < rememberedSeqs {
		return nil // a second copy, or overtaken by a newer report
	}
	p.cores, p.seq, p.seen, p.heard = int(d.Cores), d.Seq, now, true
	p.needs = make(map[string]float64, len(d.Needs))
	for _, n := range d.Needs {
		p.needs[n.Customer] = float64(n.Fraction)
	}
	return nil
}

func (s *shares) receive(now time.Duration, d *limitspb.Demand, g *limitspb.Grant) {
	sent, ok := s.sent[g.Seq]
	until := sent + time.Duration(g.ValidMs)*time.Millisecond
	if g.To != s.self.Name || !ok || now >= until || g.Fraction <= 0 {
		return
	}
	for i := range s.in {
		x := &s.in[i]
		if x.peer == d.Daemon && x.id == g.Id && x.customer == g.Customer {
			x.until = max(x.until, until)
			return
		}
	}
	s.in = append(s.in, grant{customer: g.Customer, peer: d.Daemon, id: g.Id, fraction: float64(g.Fraction), until: until})
}
