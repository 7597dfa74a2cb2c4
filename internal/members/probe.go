package members

import (
	"slices"
	"time"
)

// Target is a daemon to exchange records with. Name and Region are empty for a
// seed whose daemon is unknown.
type Target struct {
	Name    string
	Region  string
	Address string
}

// Tick begins a round: it notices this daemon's own pauses, lets suspicions
// run out and returns the daemons to exchange with.
func (g *Group) Tick(now time.Time) []Target {
	g.noticePause(now)
	g.expire(now)
	g.round++
	targets := g.nextInRing()
	if g.round%g.config.RemoteEvery == 0 {
		targets = append(targets, g.pick(1, func(r *Record) bool { return r.Region != g.self.Region && r.State < Dead })...)
	}
	if g.round%g.config.RetryEvery == 0 {
		targets = append(targets, g.pick(1, func(r *Record) bool { return r.State == Dead })...)
	}
	if len(targets) == 0 || g.round%g.config.RetryEvery == 1 {
		targets = append(targets, g.unknownSeeds()...)
	}
	return targets
}

// Urgent returns daemons that should learn news before the next round.
func (g *Group) Urgent() []Target {
	return g.pick(g.config.Confirmers, func(r *Record) bool { return r.Region == g.self.Region && r.State < Dead })
}

// Confirmers returns the daemons to ask whether they reach the named one.
func (g *Group) Confirmers(name string) []Target {
	return g.pick(g.config.Confirmers, func(r *Record) bool {
		return r.Region == g.self.Region && r.State == Live && r.Name != name
	})
}

// Silent reports that neither this daemon, over a new connection, nor any of
// the daemons it asked reaches the named one. started is when the probe began;
// a probe during which this daemon was paused itself says nothing.
func (g *Group) Silent(now time.Time, name string, started time.Time) {
	e := g.entries[Key{Daemon, name}]
	if e == nil || e.rec.Region != g.self.Region || !started.After(g.wokeAt) || now.Sub(started) > g.config.PauseGap+2*g.config.ProbeTimeout {
		return
	}
	switch {
	case e.rec.State == Live:
		g.setState(now, e.rec, Suspect)
	case e.rec.State == Leaving && e.suspectAt.IsZero():
		e.suspectAt = now
	}
}

// heard ends a local suspicion of a daemon that answered.
func (g *Group) heard(_ time.Time, name string) {
	if e := g.entries[Key{Daemon, name}]; e != nil && e.rec.State == Leaving {
		e.suspectAt = time.Time{}
	}
}

func (g *Group) setState(now time.Time, old *Record, s State) {
	next := *old
	next.State = s
	g.put(&next, now)
	g.fresh = append(g.fresh, &next)
	g.urgent = true
}

// noticePause restarts all suspicions after a gap between ticks: while this
// daemon was paused it could hear nobody.
func (g *Group) noticePause(now time.Time) {
	gap := now.Sub(g.lastTick)
	paused := !g.lastTick.IsZero() && gap > g.config.PauseGap
	g.lastTick = now
	if !paused {
		return
	}
	g.wokeAt = now
	for _, e := range g.entries {
		if !e.suspectAt.IsZero() {
			e.suspectAt = now
		}
	}
}

// expire declares dead what was suspect for long enough and forgets what has
// been dead for long.
func (g *Group) expire(now time.Time) {
	for k, e := range g.entries {
		switch {
		case k.Kind == Topic && now.Sub(e.changed) > g.config.TombstoneFor:
			delete(g.entries, k)
		case k.Kind == Daemon && !e.suspectAt.IsZero() && now.Sub(e.suspectAt) >= g.config.SuspectFor:
			e.suspectAt = time.Time{}
			g.setState(now, e.rec, Dead)
		case k.Kind == Daemon && e.rec.State >= Dead && k.Name != g.self.Name && now.Sub(e.changed) > g.config.TombstoneFor:
			g.count(e.rec, -1)
			delete(g.entries, k)
		}
	}
}

// nextInRing returns the next daemon of the region in a random order that is
// drawn anew once all had their turn.
func (g *Group) nextInRing() []Target {
	for range 2 {
		for len(g.ring) > 0 {
			name := g.ring[0]
			g.ring = g.ring[1:]
			if r := g.Get(Key{Daemon, name}); r != nil && r.State < Dead {
				return []Target{target(r)}
			}
		}
		for _, r := range g.Records(Daemon) {
			if r.Name != g.self.Name && r.Region == g.self.Region && r.State < Dead {
				g.ring = append(g.ring, r.Name)
			}
		}
		g.rng.Shuffle(len(g.ring), func(i, j int) { g.ring[i], g.ring[j] = g.ring[j], g.ring[i] })
	}
	return nil
}

// pick returns up to n random other daemons that satisfy ok.
func (g *Group) pick(n int, ok func(*Record) bool) []Target {
	var found []*Record
	for _, r := range g.Records(Daemon) {
		if r.Name != g.self.Name && ok(r) {
			found = append(found, r)
		}
	}
	g.rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	var out []Target
	for _, r := range found[:min(n, len(found))] {
		out = append(out, target(r))
	}
	return out
}

// unknownSeeds returns the seeds that belong to no known live daemon.
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

func target(r *Record) Target {
	return Target{Name: r.Name, Region: r.Region, Address: r.Address}
}
