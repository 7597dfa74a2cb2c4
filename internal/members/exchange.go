package members

import (
	"slices"
	"sort"
	"time"
)

// NewRequest returns the request of an exchange with t. An empty region, as of a
// seed, is treated as this daemon's own; all records are exchanged then.
func (g *Group) NewRequest(now time.Time, t Target) Message {
	region := t.Region
	m := g.newMessage(region)
	if region == "" {
		m.Full = true
	} else if s := g.scopeOf(region); g.digestMismatches[s] >= fullSyncMismatches && now.Sub(g.lastFullSync) >= g.config.FullSyncInterval {
		m.Full = true
		g.digestMismatches[s], g.lastFullSync = 0, now
	}
	if m.Full {
		m.Records = g.visibleRecords(region)
	}
	m.Records = g.withPeerRecord(m.Records, t.Name)
	return m
}

// HandleRequest merges the records of a request and returns the response.
func (g *Group) HandleRequest(now time.Time, m Message) Message {
	g.mergeAll(now, m.Records)
	resp := g.newMessage(m.Region)
	if m.Full {
		resp.Records = g.visibleRecords(m.Region)
	}
	resp.Records = g.withPeerRecord(resp.Records, m.From)
	g.compareDigest(m)
	return resp
}

// withPeerRecord adds the record of the peer itself to the records for that peer
// if its state there is not Live, so that the peer can refute it.
func (g *Group) withPeerRecord(records []*Record, peer string) []*Record {
	r := g.Get(Key{Daemon, peer})
	if r == nil || r.State == Live || slices.Contains(records, r) {
		return records
	}
	return append(records, r)
}

// HandleResponse merges the response of an exchange that this daemon started.
func (g *Group) HandleResponse(now time.Time, peer string, m Message) {
	g.mergeAll(now, m.Records)
	g.compareDigest(m)
	g.clearSuspicion(now, peer)
}

func (g *Group) mergeAll(now time.Time, records []*Record) {
	for _, r := range records {
		g.merge(now, *r)
	}
}

// compareDigest counts the consecutive messages in a scope whose digest differs
// from this daemon's although the sender had no records left to send.
func (g *Group) compareDigest(m Message) {
	s := g.scopeOf(m.Region)
	if m.Digest == g.digestOf(s) {
		g.digestMismatches[s] = 0
		return
	}
	if len(m.Records) == 0 {
		g.digestMismatches[s]++
	}
}

// scope is the set of records that two daemons exchange. It depends on whether
// they are in the same region.
type scope int

const (
	regional   scope = iota // daemons, upstreams and topics
	global                  // daemons, and topics without a region
	scopeCount              // number of scopes
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

func (g *Group) newMessage(region string) Message {
	return Message{
		From:       g.self.Name,
		Region:     g.self.Region,
		Generation: g.self.Generation,
		Digest:     g.digestOf(g.scopeOf(region)),
		Records:    g.takeQueued(region),
	}
}

// takeQueued returns queued records for one message to a daemon of the region, up
// to MaxMessageBytes: members before topics, the least sent first.
func (g *Group) takeQueued(region string) []*Record {
	g.pruneQueue()
	s := g.scopeOf(region)
	limit := g.maxSends(s)
	sort.SliceStable(g.sendQueue, func(i, j int) bool { return sendsBefore(g.sendQueue[i], g.sendQueue[j], s) })
	var out []*Record
	remaining := g.config.MaxMessageBytes
	for _, e := range g.sendQueue {
		if e.sendCounts[s] >= limit || !visible(e.rec, region) || e.rec.encodedSize() > remaining {
			continue
		}
		remaining -= e.rec.encodedSize()
		e.sendCounts[s]++
		out = append(out, e.rec)
	}
	return out
}

// pruneQueue removes records from the queue that were sent maxSends times in each
// scope.
func (g *Group) pruneQueue() {
	queue := g.sendQueue[:0]
	for _, e := range g.sendQueue {
		e.queued = e.sendCounts[regional] < g.maxSends(regional) ||
			g.remoteDaemons > 0 && visible(e.rec, "") && e.sendCounts[global] < g.maxSends(global)
		if e.queued {
			queue = append(queue, e)
		}
	}
	clear(g.sendQueue[len(queue):])
	g.sendQueue = queue
}

// sendsBefore reports whether a goes before b in a message of scope s.
func sendsBefore(a, b *entry, s scope) bool {
	if at, bt := a.rec.Kind == Topic, b.rec.Kind == Topic; at != bt {
		return bt
	}
	return a.sendCounts[s] < b.sendCounts[s]
}

// visible reports whether daemons of the region should get r. Records of
// upstreams, and of topics with a region, are sent only within their region.
func visible(r *Record, region string) bool {
	return r.Kind == Daemon || r.Region == "" || r.Region == region
}

// visibleRecords returns all records that daemons of the region should get.
func (g *Group) visibleRecords(region string) []*Record {
	var out []*Record
	for _, e := range g.entries {
		if visible(e.rec, region) {
			out = append(out, e.rec)
		}
	}
	return out
}
