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
	minReportInterval   = time.Second   // between reports; longer with more than maxReportsPerSecond daemons
	maxReportsPerSecond = 50            // reports that a daemon receives per second at most
	grantIntervals      = 3             // report intervals for which a grant is valid
	headroom            = 1.25          // a daemon keeps, and may get, this multiple of its demand
	minDemand           = 0.02          // fraction of its base share that each daemon keeps; demand below half of this is not reported
	minGrant            = 0.005         // smallest new grant, as a fraction of the giver's base share
	rememberedSeqs      = 16            // own reports whose time is kept, and reports within which duplicates are recognized
	silentPeerTTL       = 2 * time.Hour // a peer that is not in the membership is dropped after this time without a report
)

// Member is a daemon that shares the limits.
type Member struct {
	Name  string
	Cores int // CPU cores; 0 if unknown
}

// shares divides the limits of each customer among daemons.
//
// Each daemon has a base share in proportion to its cores. It grants what it does
// not need to daemons that reported a higher demand, for a fixed time from when
// they sent that report, and does not use a granted fraction itself until then. So
// the shares never add up to more than the limit, even if messages are lost or
// late. A daemon that receives no reports falls back to its base share.
type shares struct {
	self     Member
	seq      uint64                   // of this daemon's last report
	sentAt   map[uint64]time.Duration // time of the last reports, by seq
	peers    map[string]*peer
	given    []grant
	received []grant
}

// peer is the last report of another daemon.
type peer struct {
	cores    int
	lastSeen time.Duration      // time of the last report, or of the first SetMembers with the peer
	reported bool               // a report was received
	isMember bool               // in the list of SetMembers
	seq      uint64             // of the last report
	demands  map[string]float64 // by customer, as a fraction of its limits
}

// grant is a fraction of a customer's limits that one daemon lends to another.
type grant struct {
	customer    string
	peer        string
	id          uint64 // seq of the giver's report that contained it first
	answeredSeq uint64 // seq of the receiver's report that it responds to
	fraction    float64
	until       time.Duration // end of the grant, on this daemon's clock
	validFor    time.Duration // from when the receiver sent the report answeredSeq
}

func newShares(self Member, seq uint64) *shares {
	return &shares{self: self, seq: seq, sentAt: make(map[uint64]time.Duration), peers: make(map[string]*peer)}
}

// interval returns the time between reports.
func (s *shares) interval() time.Duration {
	scale := float64(len(s.peers)+1) / maxReportsPerSecond
	return time.Duration(float64(minReportInterval) * max(scale, 1))
}

func (s *shares) validity() time.Duration { return grantIntervals * s.interval() }

// setMembers replaces the peers by those of the membership, and keeps the reports
// of peers that stay.
func (s *shares) setMembers(now time.Duration, members []Member) {
	peers := make(map[string]*peer, len(members))
	for _, m := range members {
		if m.Name == s.self.Name {
			continue
		}
		p := s.peers[m.Name]
		if p == nil {
			p = &peer{lastSeen: now}
		}
		p.isMember = true
		if m.Cores > 0 {
			p.cores = m.Cores
		}
		if p.cores == 0 {
			p.cores = s.self.Cores
		}
		peers[m.Name] = p
	}
	s.peers = peers
}

// baseShare returns the fraction that cores are of the cores of all daemons.
func (s *shares) baseShare(cores int) float64 {
	total := s.self.Cores
	for _, p := range s.peers {
		total += p.cores
	}
	return float64(cores) / float64(max(total, 1))
}

// fraction returns this daemon's current fraction of the customer's limits.
func (s *shares) fraction(now time.Duration, customer string) float64 {
	f := s.baseShare(s.self.Cores) - sumFractions(s.given, now, customer) + sumFractions(s.received, now, customer)
	return min(max(f, 0), 1)
}

// wholeUnits returns this daemon's current share of n indivisible units, such as
// concurrent requests. Without grants the shares of all daemons add up to n.
func (s *shares) wholeUnits(now time.Duration, customer string, n int) int {
	coresBefore := 0
	total := s.self.Cores
	for name, p := range s.peers {
		total += p.cores
		if name < s.self.Name {
			coresBefore += p.cores
		}
	}
	total = max(total, 1)
	own := n*(coresBefore+s.self.Cores)/total - n*coresBefore/total
	own -= int(math.Ceil(float64(n)*sumFractions(s.given, now, customer) - 1e-9))
	own += int(math.Floor(float64(n)*sumFractions(s.received, now, customer) + 1e-9))
	return max(own, 0)
}

func sumFractions(grants []grant, now time.Duration, customer string) float64 {
	sum := 0.0
	for i := range grants {
		if grants[i].customer == customer && now < grants[i].until {
			sum += grants[i].fraction
		}
	}
	return sum
}

func dropExpired(grants []grant, now time.Duration) []grant {
	return slices.DeleteFunc(grants, func(g grant) bool { return now >= g.until })
}

// report grants what this daemon does not need to others and returns the encoded
// report for all other daemons, of which only the newest must arrive. demands
// holds the demand at this daemon by customer, as a fraction of its limits.
func (s *shares) report(now time.Duration, demands map[string]float64) ([]byte, error) {
	s.seq++
	s.sentAt[s.seq] = now
	delete(s.sentAt, s.seq-rememberedSeqs)
	s.given = dropExpired(s.given, now)
	s.received = dropExpired(s.received, now)
	s.dropSilentPeers(now)
	d := &limitspb.Demand{Daemon: s.self.Name, Cores: uint32(s.self.Cores), Seq: s.seq}
	for customer, demand := range demands {
		d.Needs = append(d.Needs, &limitspb.Need{Customer: customer, Fraction: float32(demand)})
	}
	s.extendGrants(now, demands)
	for _, customer := range s.underservedCustomers(now) {
		s.grantSpare(now, customer, demands[customer])
	}
	for i := range s.given {
		d.Grants = append(d.Grants, s.given[i].encode())
	}
	data, err := proto.Marshal(d)
	return data, errors.Wrap(err, "encode demand report")
}

// extendGrants prolongs the grants that their receivers still need, so that the
// receivers do not lose them between two grants.
func (s *shares) extendGrants(now time.Duration, demands map[string]float64) {
	base := s.baseShare(s.self.Cores)
	for i := range s.given {
		g := &s.given[i]
		p := s.peers[g.peer]
		if p == nil || !s.hasValidReport(now, p) {
			continue
		}
		spare := base - max(demands[g.customer], minDemand*base)
		wanted := p.demands[g.customer]*headroom-s.baseShare(p.cores) >= g.fraction
		if !wanted || sumFractions(s.given, now, g.customer) > spare {
			continue
		}
		g.answeredSeq = p.seq
		g.validFor = s.validity()
		g.until = max(g.until, now+g.validFor+time.Millisecond)
	}
}

func (s *shares) dropSilentPeers(now time.Duration) {
	for name, p := range s.peers {
		if !p.isMember && now-p.lastSeen > silentPeerTTL {
			delete(s.peers, name)
		}
	}
}

// underservedCustomers returns the customers whose demand at some other daemon exceeds
// that daemon's base share, sorted by name.
func (s *shares) underservedCustomers(now time.Duration) []string {
	var customers []string
	for _, p := range s.peers {
		if !s.hasValidReport(now, p) {
			continue
		}
		for customer, demand := range p.demands {
			if demand > s.baseShare(p.cores) && !slices.Contains(customers, customer) {
				customers = append(customers, customer)
			}
		}
	}
	slices.Sort(customers)
	return customers
}

func (s *shares) hasValidReport(now time.Duration, p *peer) bool {
	return p.reported && now-p.lastSeen < s.validity()
}

// grantSpare divides this daemon's unneeded share among the daemons whose demand
// exceeds their base share. Each daemon gives in proportion to what it can spare,
// so that all together give what is missing and no more.
func (s *shares) grantSpare(now time.Duration, customer string, demand float64) {
	base := s.baseShare(s.self.Cores)
	spare := base - max(demand*headroom, minDemand*base)
	free := spare - sumFractions(s.given, now, customer)
	if free <= 0 {
		return
	}
	short, allSpare := s.shortAndSpare(now, customer, spare)
	if short <= 0 {
		return
	}
	scale := spare / allSpare * min(1, allSpare/short)
	for name, p := range s.peers {
		shortfall := p.demands[customer]*headroom - s.baseShare(p.cores)
		if shortfall <= 0 || !s.hasValidReport(now, p) {
			continue
		}
		fraction := min(shortfall*scale-s.givenTo(now, customer, name), free)
		if fraction < minGrant*base {
			continue
		}
		free -= fraction
		s.given = append(s.given, grant{
			customer: customer, peer: name, id: s.seq, answeredSeq: p.seq,
			fraction: float64(float32(fraction)), validFor: s.validity(), until: now + s.validity() + time.Millisecond,
		})
	}
}

func (g *grant) encode() *limitspb.Grant {
	return &limitspb.Grant{
		Customer: g.customer, To: g.peer, Fraction: float32(g.fraction),
		Seq: g.answeredSeq, ValidMs: uint32(g.validFor.Milliseconds()), Id: g.id,
	}
}

func (s *shares) givenTo(now time.Duration, customer, name string) float64 {
	sum := 0.0
	for _, g := range s.given {
		if g.customer == customer && g.peer == name && now < g.until {
			sum += g.fraction
		}
	}
	return sum
}

// shortAndSpare returns how much the daemons with too small a base share lack for
// a customer, and how much the others can spare, both as fractions of its limits.
func (s *shares) shortAndSpare(now time.Duration, customer string, ownSpare float64) (short, spare float64) {
	spare = ownSpare
	for _, p := range s.peers {
		if !s.hasValidReport(now, p) {
			continue
		}
		base := s.baseShare(p.cores)
		surplus := base - max(p.demands[customer]*headroom, minDemand*base)
		if surplus < 0 {
			short -= surplus
		} else {
			spare += surplus
		}
	}
	return short, spare
}

// mergeReport applies a report of another daemon. A grant is valid from the time
// at which this daemon sent the report that it responds to, so that it expires
// here before the giver uses the fraction again.
func (s *shares) mergeReport(now time.Duration, data []byte) error {
	d := &limitspb.Demand{}
	if err := proto.Unmarshal(data, d); err != nil {
		return errors.Wrap(err, "decode demand report")
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
		s.acceptGrant(now, d, g)
	}
	if p.reported && p.seq-d.Seq < rememberedSeqs {
		return nil // duplicate, or older than the last report
	}
	p.cores, p.seq, p.lastSeen, p.reported = int(d.Cores), d.Seq, now, true
	p.demands = make(map[string]float64, len(d.Needs))
	for _, n := range d.Needs {
		p.demands[n.Customer] = float64(n.Fraction)
	}
	return nil
}

func (s *shares) acceptGrant(now time.Duration, d *limitspb.Demand, g *limitspb.Grant) {
	sent, ok := s.sentAt[g.Seq]
	until := sent + time.Duration(g.ValidMs)*time.Millisecond
	if g.To != s.self.Name || !ok || now >= until || g.Fraction <= 0 {
		return
	}
	for i := range s.received {
		x := &s.received[i]
		if x.peer == d.Daemon && x.id == g.Id && x.customer == g.Customer {
			x.until = max(x.until, until)
			return
		}
	}
	s.received = append(s.received, grant{customer: g.Customer, peer: d.Daemon, id: g.Id, fraction: float64(g.Fraction), until: until})
}
