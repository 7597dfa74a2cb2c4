package members

import (
	"slices"
	"time"
)

// Target is a daemon to exchange records with. Name and Region are empty for a
// seed address that belongs to no known daemon.
type Target struct {
	Name    string
	Region  string
	Address string
}

// Tick starts a round: it detects pauses of this daemon, expires suspicions and
// old records, and returns the daemons to exchange records with.
func (g *Group) Tick(now time.Time) []Target {
	g.detectPause(now)
	g.expireRecords(now)
	g.round++
	targets := g.nextProbe()
	if g.round%g.config.RemoteEveryRounds == 0 {
		targets = append(targets, g.pickRandom(1, func(r *Record) bool { return r.Region != g.self.Region && r.State < Dead })...)
	}
	if g.round%g.config.RetryEveryRounds == 0 {
		targets = append(targets, g.pickRandom(1, func(r *Record) bool { return r.State == Dead })...)
	}
	if len(targets) == 0 || g.round%g.config.RetryEveryRounds == 1 {
		targets = append(targets, g.unknownSeeds()...)
	}
	return targets
}

// UrgentTargets returns the daemons to send urgent changes to before the next
// round: a few random ones of this region.
func (g *Group) UrgentTargets() []Target {
	return g.pickRandom(g.config.Confirmers, func(r *Record) bool { return r.Region == g.self.Region && r.State < Dead })
}

// Confirmers returns the daemons to ask whether they can reach the named one.
func (g *Group) Confirmers(name string) []Target {
	return g.pickRandom(g.config.Confirmers, func(r *Record) bool {
		return r.Region == g.self.Region && r.State == Live && r.Name != name
	})
}

// MarkUnreachable starts the suspicion of a daemon that neither this daemon, over
// a new connection, nor any of the daemons it asked could reach. started is when
// the probe began. A probe during which this daemon itself was paused is ignored,
// and so is a probe of a daemon in another region.
func (g *Group) MarkUnreachable(now time.Time, name string, started time.Time) {
	e := g.entries[Key{Daemon, name}]
	if e == nil || e.rec.Region != g.self.Region || !started.After(g.resumedAt) || now.Sub(started) > g.config.PauseThreshold+2*g.config.ProbeTimeout {
		return
	}
	switch {
	case e.rec.State == Live:
		g.setState(now, e.rec, Suspect)
	case e.rec.State == Leaving && e.suspectSince.IsZero():
		e.suspectSince = now
	}
}

// clearSuspicion ends this daemon's suspicion of a leaving daemon that responded.
func (g *Group) clearSuspicion(_ time.Time, name string) {
	if e := g.entries[Key{Daemon, name}]; e != nil && e.rec.State == Leaving {
		e.suspectSince = time.Time{}
	}
}

func (g *Group) setState(now time.Time, old *Record, state State) {
	next := *old
	next.State = state
	g.store(&next, now)
	g.changes = append(g.changes, &next)
	g.urgent = true
}

// detectPause restarts the timeouts of all suspicions after this daemon was
// paused, which shows as a long gap between ticks: while paused it could not
// receive anything from the others.
func (g *Group) detectPause(now time.Time) {
	gap := now.Sub(g.lastTick)
	paused := !g.lastTick.IsZero() && gap > g.config.PauseThreshold
	g.lastTick = now
	if !paused {
		return
	}
	g.resumedAt = now
	for _, e := range g.entries {
		if !e.suspectSince.IsZero() {
			e.suspectSince = now
		}
	}
}

// expireRecords marks daemons dead whose suspicion timed out, and drops dead and
// left daemons and unchanged topics after TombstoneTTL.
func (g *Group) expireRecords(now time.Time) {
	for k, e := range g.entries {
		switch {
		case k.Kind == Topic && now.Sub(e.updatedAt) > g.config.TombstoneTTL:
			delete(g.entries, k)
		case k.Kind == Daemon && !e.suspectSince.IsZero() && now.Sub(e.suspectSince) >= g.config.SuspicionTimeout:
			e.suspectSince = time.Time{}
			g.setState(now, e.rec, Dead)
		case k.Kind == Daemon && e.rec.State >= Dead && k.Name != g.self.Name && now.Sub(e.updatedAt) > g.config.TombstoneTTL:
			g.updateTotals(e.rec, -1)
			delete(g.entries, k)
		}
	}
}

// nextProbe returns the next daemon of this region to probe. The order is random
// and is shuffled again after each daemon was probed once, so each is probed
// within a bounded number of rounds.
func (g *Group) nextProbe() []Target {
	for range 2 {
		for len(g.probeOrder) > 0 {
			name := g.probeOrder[0]
			g.probeOrder = g.probeOrder[1:]
			if r := g.Get(Key{Daemon, name}); r != nil && r.State < Dead {
				return []Target{targetOf(r)}
			}
		}
		for _, r := range g.Records(Daemon) {
			if r.Name != g.self.Name && r.Region == g.self.Region && r.State < Dead {
				g.probeOrder = append(g.probeOrder, r.Name)
			}
		}
		g.rng.Shuffle(len(g.probeOrder), func(i, j int) { g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i] })
	}
	return nil
}

// pickRandom returns up to n random daemons, other than this one, that match.
func (g *Group) pickRandom(n int, match func(*Record) bool) []Target {
	var matches []*Record
	for _, r := range g.Records(Daemon) {
		if r.Name != g.self.Name && match(r) {
			matches = append(matches, r)
		}
	}
	g.rng.Shuffle(len(matches), func(i, j int) { matches[i], matches[j] = matches[j], matches[i] })
	var out []Target
	for _, r := range matches[:min(n, len(matches))] {
		out = append(out, targetOf(r))
	}
	return out
}

// unknownSeeds returns up to Confirmers seed addresses that belong to no known
// daemon, not counting dead ones.
func (g *Group) unknownSeeds() []Target {
	var known []string
	for _, r := range g.Records(Daemon) {
		if r.State < Dead {
			known = append(known, r.Address)
		}
	}
	var out []Target
	for _, a := range g.seeds {
		if !slices.Contains(known, a) && len(out) < g.config.Confirmers {
			out = append(out, Target{Address: a})
		}
	}
	g.rng.Shuffle(len(g.seeds), func(i, j int) { g.seeds[i], g.seeds[j] = g.seeds[j], g.seeds[i] })
	return out
}

func targetOf(r *Record) Target {
	return Target{Name: r.Name, Region: r.Region, Address: r.Address}
}
