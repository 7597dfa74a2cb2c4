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
	Name     string
	Share    float64 // of all requests
	Customer int     // index
	Groups   int     // number of group texts
	Skew     float64 // exponent of the groups' popularity
	Group    int     // tokens of a group text
	Sessions int     // sessions at a time; 0 for independent requests
	Turns    int     // requests of a session
	Turn     int     // tokens that a turn adds to its session
	Own      int     // tokens of the request's own text
	Answer   int     // tokens
}

// Mix is the load of one user.
type Mix struct {
	Name      string
	Customers []string
	System    int // tokens of the system prompt
	Kinds     []Kind
	Rate      float64 // requests a second that one runner sustains at the target
}

// Mixes are the loads of the two users, scaled to small engines: lengths are
// about a third of what a large model would see.
var Mixes = []Mix{
	{
		Name:      "andrade",
		Customers: []string{"packing", "editors", "planners", "bakeries", "web"},
		System:    96,
		Rate:      13,
		Kinds: []Kind{
			{Name: "saying", Share: 0.4, Customer: 0, Groups: 24, Skew: 0.9, Group: 160, Own: 24, Answer: 12},
			{Name: "rewrite", Share: 0.25, Customer: 1, Groups: 40, Skew: 0.7, Group: 320, Own: 48, Answer: 24},
			{Name: "lot", Share: 0.2, Customer: 2, Groups: 30, Skew: 0.9, Group: 240, Own: 64, Answer: 48},
			{Name: "fortune", Share: 0.15, Customer: 3, Groups: 60, Skew: 1, Group: 128, Own: 32, Answer: 20},
		},
	},
	{
		Name:      "neon",
		Customers: []string{"guests", "guides", "commentary", "booking", "web"},
		System:    64,
		Rate:      8.5,
		Kinds: []Kind{
			{Name: "question", Share: 0.5, Customer: 0, Groups: 60, Skew: 0.9, Group: 512, Own: 24, Answer: 20},
			{Name: "script", Share: 0.15, Customer: 1, Groups: 40, Skew: 0.8, Group: 768, Own: 64, Answer: 48},
			{Name: "commentary", Share: 0.35, Customer: 2, Groups: 12, Skew: 0.6, Group: 256, Sessions: 40, Turns: 10, Turn: 48, Own: 16, Answer: 16},
		},
	},
}

// Ask is one request of a run.
type Ask struct {
	At       time.Duration // since the start
	Kind     int
	Customer int
	Prompt   string
	Answer   int
}

// session is a conversation that grows with each turn.
type session struct {
	id    uint64
	turns int
}

// generator draws the requests of a mix.
type generator struct {
	mix      *Mix
	rng      *rand.Rand
	weights  [][]float64 // cumulative popularity of the groups of each kind
	sessions [][]session
	ids      uint64
	epoch    int // of the popular groups
}

func newGenerator(m *Mix, seed uint64) *generator {
	g := &generator{mix: m, rng: rand.New(rand.NewPCG(seed, 7))}
	for _, k := range m.Kinds {
		sum := 0.0
		var cumulative []float64
		for i := range k.Groups {
			sum += math.Pow(float64(i+1), -k.Skew)
			cumulative = append(cumulative, sum)
		}
		g.weights = append(g.weights, cumulative)
		g.sessions = append(g.sessions, make([]session, k.Sessions))
	}
	return g
}

// draw returns the next request of the given kind.
func (g *generator) draw(kind int) Ask {
	k := &g.mix.Kinds[kind]
	group := g.group(kind)
	g.ids++
	own := g.ids
	var b strings.Builder
	fill(&b, "system:"+g.mix.Name, g.mix.System)
	if k.Sessions > 0 {
		s := &g.sessions[kind][g.rng.IntN(k.Sessions)]
		if s.turns == 0 {
			*s = session{id: own, turns: k.Turns}
		}
		fill(&b, fmt.Sprintf("group:%d:%d", kind, s.id%uint64(k.Groups)), k.Group)
		fill(&b, fmt.Sprintf("session:%d", s.id), (k.Turns-s.turns)*k.Turn)
		s.turns--
	} else {
		fill(&b, fmt.Sprintf("group:%d:%d:%d", kind, group, g.epoch), k.Group)
	}
	fill(&b, fmt.Sprintf("own:%d", own), k.Own)
	return Ask{Kind: kind, Customer: k.Customer, Prompt: b.String(), Answer: k.Answer}
}

func (g *generator) group(kind int) int {
	cumulative := g.weights[kind]
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

// fill appends text of the given tokens that depends on name only.
func fill(b *strings.Builder, name string, tokens int) {
	rng := rand.New(rand.NewPCG(hash(name), 1))
	for range tokens {
		n := rng.Uint32()
		for range tokenBytes {
			b.WriteByte('a' + byte(n%26))
			n /= 26
		}
	}
}

// Requests draws the requests of a run: Poisson arrivals at rate a second for
// length. From a third on, flood times its share is added for the flooding
// customer; the popular groups change every shift, if it is above 0.
func Requests(m *Mix, s *Scenario, rate float64, length time.Duration, seed uint64) []Ask {
	g := newGenerator(m, seed)
	var asks []Ask
	at := time.Duration(0)
	for {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return asks
		}
		if s.Shift > 0 {
			g.epoch = int(at / s.Shift)
		}
		a := g.draw(g.pickKind())
		a.At = at
		asks = append(asks, a)
		for range s.Flood {
			if a.Customer == floodCustomer {
				extra := g.draw(a.Kind)
				extra.At = at
				asks = append(asks, extra)
			}
		}
	}
}
