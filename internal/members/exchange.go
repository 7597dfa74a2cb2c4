package members

import (
	"slices"
	"sort"
	"time"
)

// Request returns the message that starts an exchange with t. An unknown region
// counts as this daemon's own.
func (g *Group) Request(now time.Time, t Target) Message {
	region := t.Region
	m := g.message(region)
	if region == "" {
		m.Full = true
	} else if s := g.scopeOf(region); g.mismatches[s] >= syncMismatches && now.Sub(g.lastSync) >= g.config.SyncEvery {
		m.Full = true
		g.mismatches[s], g.lastSync = 0, now
	}
	if m.Full {
		m.Records = g.all(region)
	}
	m.Records = g.withDoubt(m.Records, t.Name)
	return m
}

// Receive takes in a request and returns the answer.
func (g *Group) Receive(now time.Time, m Message) Message {
	g.mergeAll(now, m.Records)
	reply := g.message(m.Region)
	if m.Full {
		reply.Records = g.all(m.Region)
	}
	reply.Records = g.withDoubt(reply.Records, m.From)
	g.compare(m)
	return reply
}

// withDoubt adds what this daemon holds of the peer itself to records meant
// for it, if it believes the peer not live, so that the peer can refute it.
func (g *Group) withDoubt(records []*Record, peer string) []*Record {
	r := g.Get(Key{Daemon, peer})
	if r == nil || r.State == Live || slices.Contains(records, r) {
		return records
	}
	return append(records, r)
}

// Answered takes in the answer to an exchange that this daemon started.
func (g *Group) Answered(now time.Time, peer string, m Message) {
	g.mergeAll(now, m.Records)
	g.compare(m)
	g.heard(now, peer)
}

func (g *Group) mergeAll(now time.Time, records []*Record) {
	for _, r := range records {
		g.merge(now, *r)
	}
}

// compare counts exchanges in a row after which the digests differ although
// nothing is left to send.
func (g *Group) compare(m Message) {
	s := g.scopeOf(m.Region)
	if m.Digest == g.digestOf(s) {
		g.mismatches[s] = 0
		return
	}
	if len(m.Records) == 0 {
		g.mismatches[s]++
	}
}

// scope tells what two daemons share.
type scope int

const (
	regional scope = iota // daemons, upstreams and topics
	global                // daemons, and topics without a region
	scopes                // number of scopes
)

func (g *Group) scopeOf(region string) scope {
	if region == "" || region == g.self.Region {
		return regional
	}
	return global
}

func (g *Group) digestOf(s scope) uint64 {
	if s == global {
		return g.digests[Daemon]
	}
	return g.digests[Daemon] ^ g.digests[Upstream]
}

func (g *Group) message(region string) Message {
	return Message{
		From:       g.self.Name,
		Region:     g.self.Region,
		Generation: g.self.Generation,
		Digest:     g.digestOf(g.scopeOf(region)),
		Records:    g.next(region),
	}
}

// next takes records from the queue for one message to a daemon of the region:
// members before topics, the least sent first.
func (g *Group) next(region string) []*Record {
	g.dropSent()
	s := g.scopeOf(region)
	limit := g.sendLimit(s)
	sort.SliceStable(g.queue, func(i, j int) bool { return before(g.queue[i], g.queue[j], s) })
	var out []*Record
	room := g.config.MessageBytes
	for _, e := range g.queue {
		if e.sent[s] >= limit || !visible(e.rec, region) || e.rec.size() > room {
			continue
		}
		room -= e.rec.size()
		e.sent[s]++
		out = append(out, e.rec)
	}
	return out
}

// dropSent takes out of the queue what was sent often enough in each scope.
func (g *Group) dropSent() {
	kept := g.queue[:0]
	for _, e := range g.queue {
		e.pending = e.sent[regional] < g.sendLimit(regional) ||
			g.remote > 0 && visible(e.rec, "") && e.sent[global] < g.sendLimit(global)
		if e.pending {
			kept = append(kept, e)
		}
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}

func before(a, b *entry, s scope) bool {
	if at, bt := a.rec.Kind == Topic, b.rec.Kind == Topic; at != bt {
		return bt
	}
	return a.sent[s] < b.sent[s]
}

// visible tells whether a daemon of the region should get r. Upstreams, and
// topics with a region, stay within theirs.
func visible(r *Record, region string) bool {
	return r.Kind == Daemon || r.Region == "" || r.Region == region
}

// all returns every lasting record that a daemon of the region should get.
func (g *Group) all(region string) []*Record {
	var out []*Record
	for _, e := range g.entries {
		if visible(e.rec, region) {
			out = append(out, e.rec)
		}
	}
	return out
}
