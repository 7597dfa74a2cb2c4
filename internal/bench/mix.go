package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

const tokenBytes = 4 // prompt bytes of one token

// Kind is one kind of request of a mix. Its prompt consists of the mix's system prompt, the text of a
// group, for a session the text of its turns so far, and text unique to the request.
type Kind struct {
	Name           string
	Share          float64 // fraction of all requests
	Customer       int     // index in Mix.Customers
	Groups         int     // number of group texts
	ZipfExponent   float64 // exponent of the Zipf distribution of the groups' popularity
	GroupTokens    int     // length of a group text
	Sessions       int     // concurrent sessions; 0 for independent requests
	Turns          int     // requests in a session
	TurnTokens     int     // length of the text that a turn adds to its session
	UniqueTokens   int     // length of the text unique to a request
	ResponseTokens int
}

// Mix is the load of one deployment.
type Mix struct {
	Name         string
	Customers    []string
	SystemTokens int // length of the system prompt
	Kinds        []Kind
	UpstreamRate float64 // requests a second that one upstream sustains within the latency target
}

// Mixes are the loads of two deployments, scaled to small engines: prompts and responses have about a
// third of the length that they have with a large model.
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

// Request is a scheduled request of a run.
type Request struct {
	At             time.Duration // send time, since the start of the run
	Kind           int           // index in Mix.Kinds
	Customer       int
	Prompt         string
	ResponseTokens int
}

// session is a conversation whose prompt grows with each turn.
type session struct {
	id        uint64
	turnsLeft int
}

// generator draws random requests of a mix.
type generator struct {
	mix             *Mix
	rng             *rand.Rand
	groupWeights    [][]float64 // cumulative popularity of the groups, by kind
	sessions        [][]session
	lastID          uint64
	popularityEpoch int // changes when other groups become popular
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

// nextRequest returns the next request of the given kind, without its send time.
func (g *generator) nextRequest(kind int) Request {
	k := &g.mix.Kinds[kind]
	group := g.pickGroup(kind)
	g.lastID++
	id := g.lastID
	var b strings.Builder
	appendText(&b, "system:"+g.mix.Name, g.mix.SystemTokens)
	if k.Sessions > 0 {
		s := &g.sessions[kind][g.rng.IntN(k.Sessions)]
		if s.turnsLeft == 0 {
			*s = session{id: id, turnsLeft: k.Turns}
		}
		appendText(&b, fmt.Sprintf("group:%d:%d", kind, s.id%uint64(k.Groups)), k.GroupTokens)
		appendText(&b, fmt.Sprintf("session:%d", s.id), (k.Turns-s.turnsLeft)*k.TurnTokens)
		s.turnsLeft--
	} else {
		appendText(&b, fmt.Sprintf("group:%d:%d:%d", kind, group, g.popularityEpoch), k.GroupTokens)
	}
	appendText(&b, fmt.Sprintf("own:%d", id), k.UniqueTokens)
	return Request{Kind: kind, Customer: k.Customer, Prompt: b.String(), ResponseTokens: k.ResponseTokens}
}

// pickGroup draws a group of the given kind by popularity.
func (g *generator) pickGroup(kind int) int {
	cumulative := g.groupWeights[kind]
	point := g.rng.Float64() * cumulative[len(cumulative)-1]
	for i, c := range cumulative {
		if point < c {
			return i
		}
	}
	return 0
}

// pickKind draws a kind by share.
func (g *generator) pickKind() int {
	point := g.rng.Float64()
	for i, k := range g.mix.Kinds {
		if point -= k.Share; point < 0 {
			return i
		}
	}
	return 0
}

// appendText appends text of the given number of tokens, which depends only on name.
func appendText(b *strings.Builder, name string, tokens int) {
	rng := rand.New(rand.NewPCG(hash(name), 1))
	for range tokens {
		letters := rng.Uint32()
		for range tokenBytes {
			b.WriteByte('a' + byte(letters%26))
			letters /= 26
		}
	}
}

// GenerateRequests draws the requests of a run: Poisson arrivals at rate a second for duration. Each
// request of the flooding customer is followed by s.FloodFactor more of its kind at the same time. The
// popular groups change every s.ShiftInterval, if it is above 0. The same seed gives the same requests.
func GenerateRequests(m *Mix, s *Scenario, rate float64, duration time.Duration, seed uint64) []Request {
	g := newGenerator(m, seed)
	var requests []Request
	at := time.Duration(0)
	for {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return requests
		}
		if s.ShiftInterval > 0 {
			g.popularityEpoch = int(at / s.ShiftInterval)
		}
		r := g.nextRequest(g.pickKind())
		r.At = at
		requests = append(requests, r)
		for range s.FloodFactor {
			if r.Customer == floodingCustomer {
				extra := g.nextRequest(r.Kind)
				extra.At = at
				requests = append(requests, extra)
			}
		}
	}
}
