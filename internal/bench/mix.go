// Package bench measures routing and admission: real daemons before stand-in
// engines under open-loop load, the policies side by side.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

const tokenBytes = 4

// Kind is one kind of request of a mix. Its prompt is the service's system
// prompt, then the text of a group, then, for a session, the session's text so
// far, then text of its own.
type Kind struct {
	Name           string
	Share          float64 // of all requests
	Customer       int     // index
	Groups         int     // number of group texts
	ZipfExponent   float64 // exponent of the groups' popularity
	GroupTokens    int     // tokens of a group text
	Sessions       int     // sessions at a time; 0 for independent requests
	Turns          int     // requests of a session
	TurnTokens     int     // tokens that a turn adds to its session
	UniqueTokens   int     // tokens of the request's own text
	ResponseTokens int     // tokens
}

// Mix is the load of one user.
type Mix struct {
	Name         string
	Customers    []string
	SystemTokens int // tokens of the system prompt
	Kinds        []Kind
	UpstreamRate float64 // requests a second that one runner sustains at the target
}

// Mixes are the loads of the two users, scaled to small engines: lengths are
// about a third of what a large model would see.
var Mixes = []Mix{
	{
		Name:         "andrade",
		Customers:    []string{"packing", "editors", "planners", "bakeries", "web"},
		SystemTokens: 96,
		UpstreamRate: 13,
		Kinds: []Kind{
			{Name: "saying", Share: 0.4, Customer: 0, Groups: 24, ZipfExponent: 0.9, GroupTokens: 160, UniqueTokens: 24, ResponseTokens: 12},
			{Name: "rewrite", Share: 0.25, Customer: 1, Groups: 40, ZipfExponent: 0.7, GroupTokens: 320, UniqueTokens: 48, ResponseTokens: 24},
			{Name: "lot", Share: 0.2, Customer: 2, Groups: 30, ZipfExponent: 0.9, GroupTokens: 240, UniqueTokens: 64, ResponseTokens: 48},
			{Name: "fortune", Share: 0.15, Customer: 3, Groups: 60, ZipfExponent: 1, GroupTokens: 128, UniqueTokens: 32, ResponseTokens: 20},
		},
	},
	{
		Name:         "neon",
		Customers:    []string{"guests", "guides", "commentary", "booking", "web"},
		SystemTokens: 64,
		UpstreamRate: 8.5,
		Kinds: []Kind{
			{Name: "question", Share: 0.5, Customer: 0, Groups: 60, ZipfExponent: 0.9, GroupTokens: 512, UniqueTokens: 24, ResponseTokens: 20},
			{Name: "script", Share: 0.15, Customer: 1, Groups: 40, ZipfExponent: 0.8, GroupTokens: 768, UniqueTokens: 64, ResponseTokens: 48},
			{Name: "commentary", Share: 0.35, Customer: 2, Groups: 12, ZipfExponent: 0.6, GroupTokens: 256, Sessions: 40, Turns: 10, TurnTokens: 48, UniqueTokens: 16, ResponseTokens: 16},
		},
	},
}

// Request is one request of a run.
type Request struct {
	At             time.Duration // since the start
	Kind           int
	Customer       int
	Prompt         string
	ResponseTokens int
}

// session is a conversation that grows with each turn.
type session struct {
	id        uint64
	turnsLeft int
}

// generator draws the requests of a mix.
type generator struct {
	mix             *Mix
	rng             *rand.Rand
	groupWeights    [][]float64 // cumulative popularity of the groups of each kind
	sessions        [][]session
	lastID          uint64
	popularityEpoch int // of the popular groups
}

func newGenerator(m *Mix, seed uint64) *generator {
	g := &generator{mix: m, rng: rand.New(rand.NewPCG(seed, 7))}
	for _, k := range m.Kinds {
		sum := 0.0
		var cumulative []float64
		for i := range k.Groups {
			sum += math.Pow(float64(i+1), -k.ZipfExponent)
			cumulative = append(cumulative, sum)
		}
		g.groupWeights = append(g.groupWeights, cumulative)
		g.sessions = append(g.sessions, make([]session, k.Sessions))
	}
	return g
}

// nextRequest returns the next request of the given kind.
func (g *generator) nextRequest(kind int) Request {
	k := &g.mix.Kinds[kind]
	group := g.pickGroup(kind)
	g.lastID++
	own := g.lastID
	var b strings.Builder
	appendText(&b, "system:"+g.mix.Name, g.mix.SystemTokens)
	if k.Sessions > 0 {
		s := &g.sessions[kind][g.rng.IntN(k.Sessions)]
		if s.turnsLeft == 0 {
			*s = session{id: own, turnsLeft: k.Turns}
		}
		appendText(&b, fmt.Sprintf("group:%d:%d", kind, s.id%uint64(k.Groups)), k.GroupTokens)
		appendText(&b, fmt.Sprintf("session:%d", s.id), (k.Turns-s.turnsLeft)*k.TurnTokens)
		s.turnsLeft--
	} else {
		appendText(&b, fmt.Sprintf("group:%d:%d:%d", kind, group, g.popularityEpoch), k.GroupTokens)
	}
	appendText(&b, fmt.Sprintf("own:%d", own), k.UniqueTokens)
	return Request{Kind: kind, Customer: k.Customer, Prompt: b.String(), ResponseTokens: k.ResponseTokens}
}

func (g *generator) pickGroup(kind int) int {
	cumulative := g.groupWeights[kind]
	x := g.rng.Float64() * cumulative[len(cumulative)-1]
	for i, c := range cumulative {
		if x < c {
			return i
		}
	}
	return 0
}

// pickKind draws a kind by its share.
func (g *generator) pickKind() int {
	x := g.rng.Float64()
	for i, k := range g.mix.Kinds {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return 0
}

// appendText appends text of the given tokens that depends on name only.
func appendText(b *strings.Builder, name string, tokens int) {
	rng := rand.New(rand.NewPCG(hash(name), 1))
	for range tokens {
		n := rng.Uint32()
		for range tokenBytes {
			b.WriteByte('a' + byte(n%26))
			n /= 26
		}
	}
}

// GenerateRequests draws the requests of a run: Poisson arrivals at rate a second for
// length. From a third on, flood times its share is added for the flooding
// customer; the popular groups change every shift, if it is above 0.
func GenerateRequests(m *Mix, s *Scenario, rate float64, length time.Duration, seed uint64) []Request {
	g := newGenerator(m, seed)
	var asks []Request
	at := time.Duration(0)
	for {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return asks
		}
		if s.ShiftInterval > 0 {
			g.popularityEpoch = int(at / s.ShiftInterval)
		}
		a := g.nextRequest(g.pickKind())
		a.At = at
		asks = append(asks, a)
		for range s.FloodFactor {
			if a.Customer == floodingCustomer {
				extra := g.nextRequest(a.Kind)
				extra.At = at
				asks = append(asks, extra)
			}
		}
	}
}
