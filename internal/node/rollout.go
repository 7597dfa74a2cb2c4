package node

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/proxy"
	"github.com/lagoonmux/lagoonmux/internal/rollout"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// rolloutTable is the store's table of the states of roll-outs, by service. Only the holder of
	// the fleet duty writes it.
	rolloutTable = "rollouts"
	// contactDivisor: a daemon that has not heard of the store for Bounds.RollbackAfter divided by
	// this sends nothing to a new version, so that a verdict that it does not hear of is kept.
	contactDivisor = 2
	// maxCheckAge is how old the last check of the contact may be.
	maxCheckAge = time.Second
	// maxRouteNames bounds the names of routes that are kept for reasons of verdicts.
	maxRouteNames = 512
)

// rollouts connects a rollout.Policy to the other daemons, to the store and to the proxy.
// rolloutHolder has the part of the holder of the fleet duty.
type rollouts struct {
	node   *Node
	policy *rollout.Policy

	checkedAt atomic.Int64 // boot time of the last check of the contact

	mu        sync.Mutex
	orders    map[string]rollout.Order // by key of the row
	oddOrders oddRows
	oddStates oddRows
	routes    map[uint32]string // names by hash

	canaryAttempts, canaryFailures atomic.Int64

	holder rolloutHolder
}

func newRollouts(n *Node) *rollouts {
	return &rollouts{node: n, policy: rollout.NewPolicy(), orders: make(map[string]rollout.Order),
		oddOrders: make(oddRows), oddStates: make(oddRows), routes: make(map[uint32]string)}
}

// enabled reports whether versions are rolled out by order.
func (r *rollouts) enabled() bool {
	return r.node.Rollouts.Enabled() && r.node.DecodeRollout != nil
}

// cohorts returns what the proxy chooses cohorts by, nil if roll-outs are off.
func (r *rollouts) cohorts() proxy.Cohorts {
	if !r.enabled() {
		return nil
	}
	return r
}

// Route implements proxy.Cohorts. A daemon that was suspended has not heard of verdicts: it sends
// nothing to a new version before it has checked its contact.
func (r *rollouts) Route(service, id string) roster.Cohort {
	if boottime.Now()-time.Duration(r.checkedAt.Load()) > maxCheckAge {
		return r.policy.Retry(service)
	}
	return r.policy.Route(service, id)
}

// Retry implements proxy.Cohorts.
func (r *rollouts) Retry(service string) roster.Cohort { return r.policy.Retry(service) }

// classify returns the upstreams with their cohorts.
func (r *rollouts) classify(list []*roster.Upstream) []*roster.Upstream {
	if !r.enabled() {
		return list
	}
	return r.policy.Classify(list, r.knownOrders)
}

// onOrderRows takes over the orders among the rows of the table that operators write. An order
// whose row can no longer be decoded stays in force.
func (r *rollouts) onOrderRows(rows map[string]views.Row) {
	if !r.enabled() {
		return
	}
	r.mu.Lock()
	r.oddOrders.keep(rows)
	next := make(map[string]rollout.Order)
	byService := make(map[string]rollout.Order)
	for key, row := range rows {
		o, err := r.node.DecodeRollout(key, row.Value, row.Version)
		old, known := r.orders[key]
		switch {
		case err != nil && r.oddOrders.isNew(row):
			r.node.log.Warn("cannot decode the order of a roll-out", "row", key, "entry", row.Version, "error", err)
		case err == nil && o != nil:
			next[key] = *o
			if !known || old != *o {
				r.node.log.Info("roll-out ordered", "service", o.Service, "to", o.To, "duration", o.Duration, "entry", o.Version)
			}
		}
		if err != nil && known {
			next[key] = old
		}
		if o, ok := next[key]; ok {
			byService[o.Service] = o
		}
	}
	for key, o := range r.orders {
		if _, ok := next[key]; !ok {
			r.node.log.Info("order of a roll-out withdrawn", "service", o.Service, "to", o.To, "entry", o.Version)
		}
	}
	changed := !maps.Equal(r.orders, next)
	r.orders = next
	r.mu.Unlock()
	if !changed {
		return
	}
	storeNow, _ := r.node.Clock.StoreNow()
	r.policy.SetOrders(byService, storeNow)
	r.node.roster.rebuild()
}

// onStateRows takes over the states in the store.
func (r *rollouts) onStateRows(rows map[string]views.Row) {
	states := make(map[string]rollout.State, len(rows))
	r.mu.Lock()
	r.oddStates.keep(rows)
	for service, row := range rows {
		s, err := rollout.DecodeState(row.Value)
		if err == nil {
			states[service] = s
		} else if r.oddStates.isNew(row) {
			r.node.log.Warn("cannot decode the state of a roll-out", "service", service, "entry", row.Version, "error", err)
		}
	}
	r.mu.Unlock()
	for service, s := range r.policy.SetStored(states) {
		r.logState("roll-out state read", service, s)
	}
	r.node.roster.rebuild()
}

func (r *rollouts) logState(message, service string, s rollout.State) {
	r.node.log.Info(message, "service", service, "to", s.To, "phase", string(s.Phase), "share", s.Share, "canaries", s.Canaries,
		"revision", s.Revision, "token", s.Token, "reason", s.Reason)
}

// knownOrders returns the version up to which the orders in this daemon's copy of the table are
// known, by its own reads or by what other daemons tell, and the services that have one. The
// versions are read before the rows, which may be newer.
func (r *rollouts) knownOrders() (known int64, ordered map[string]bool) {
	n := r.node
	known = n.configView.KnownVersion()
	changed := n.configView.Version()
	for _, s := range n.mesh.States() {
		if k := s.OrdersKnown; k != nil && changed >= views.MakeVersion(k.ChangedEra, k.Changed) {
			known = max(known, views.MakeVersion(k.KnownEra, k.Known))
		}
	}
	rows, _, _ := n.configView.Since(0)
	ordered = make(map[string]bool)
	for _, row := range rows {
		if row.Removed {
			continue
		}
		if o, err := n.DecodeRollout(row.Key, row.Value, row.Version); err == nil && o != nil {
			ordered[o.Service] = true
		}
	}
	return known, ordered
}

// encodeOrdersKnown tells other daemons up to which version this one knows the orders. The version
// of the newest change is read after that.
func (r *rollouts) encodeOrdersKnown() *meshpb.OrdersKnown {
	if !r.enabled() {
		return nil
	}
	k := &meshpb.OrdersKnown{}
	k.KnownEra, k.Known = views.SplitVersion(r.node.configView.KnownVersion())
	k.ChangedEra, k.Changed = views.SplitVersion(r.node.configView.Version())
	return k
}

// report returns the report of this daemon on a service, nil if its roll-out is over.
func (r *rollouts) report(service string) *rollout.Report {
	return r.policy.Report(service, func(to string) int {
		return r.node.placer.RunningHere(service, func(u *roster.Upstream) bool { return u.Software != to })
	})
}

// encode returns the reports for a State: of this daemon, and of its members unless it goes to
// its hub.
func (r *rollouts) encode(to mesh.Recipient) []*meshpb.Rollout {
	if !r.enabled() {
		return nil
	}
	var list []*meshpb.Rollout
	for _, service := range r.policy.InProgress() {
		report := r.report(service)
		if report == nil {
			continue
		}
		if to == mesh.ToNonMember {
			mergeReports(report, r.node.mesh.MemberStates())
		}
		list = append(list, mesh.EncodeRollout(report))
	}
	return list
}

// mergeReports adds the reports of other daemons. One that tells none does not act by the state.
func mergeReports(report *rollout.Report, states []*meshpb.State) {
	for _, s := range states {
		i := slices.IndexFunc(s.Rollouts, func(m *meshpb.Rollout) bool { return m.Service == report.Service })
		if i < 0 {
			report.Revision = 0
			continue
		}
		report.Merge(mesh.DecodeRollout(s.Rollouts[i]))
	}
}

// observe counts the result of an attempt.
func (r *rollouts) observe(a proxy.AttemptReport) {
	if a.Outcome == proxy.AttemptNotRun || !r.enabled() {
		return
	}
	broken := a.Outcome == proxy.AttemptBroken
	failed := broken || a.Outcome == proxy.AttemptFailed
	if a.Upstream.Cohort == roster.Canary {
		if !broken {
			r.canaryAttempts.Add(1)
		}
		if failed {
			r.canaryFailures.Add(1)
		}
		r.nameRoute(a.Route)
	}
	r.policy.Observe(rollout.Result{Upstream: a.Upstream, Route: a.Route, Failed: failed, Broken: broken, Took: a.Took, Nominal: a.Nominal})
}

// nameRoute keeps the name of a route for the reason of a verdict.
func (r *rollouts) nameRoute(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.routes) < maxRouteNames {
		r.routes[rollout.RouteHash(name)] = name
	}
}

func (r *rollouts) routeName(hash uint32) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routes[hash]
}

// inProgress returns the services whose version is being rolled out.
func (r *rollouts) inProgress() map[string]bool {
	services := make(map[string]bool)
	for _, name := range r.policy.InProgress() {
		services[name] = true
	}
	return services
}

// anyInProgress reports whether the roll-out of any service is in progress.
func (r *rollouts) anyInProgress() bool { return len(r.policy.InProgress()) > 0 }

// tick applies what follows from time and from this daemon's own counts.
func (r *rollouts) tick() {
	if !r.enabled() {
		return
	}
	now := boottime.Now()
	contact := r.contactAge(r.node.mesh.PeersReadAge()) < r.node.Rollouts.RollbackAfter/contactDivisor
	changed := r.policy.SetContact(contact)
	r.checkedAt.Store(int64(now))
	if changed {
		r.node.log.Info("contact for roll-outs", "ok", contact)
	}
	found, stopped := r.policy.Check(now)
	for service, f := range found {
		f.RouteName = r.routeName(f.Route)
		r.node.log.Warn("nothing sent to a new version, by own counts", "service", service, "evidence", f.String())
	}
	if changed || stopped || r.policy.HoldsBack() {
		r.node.roster.rebuild()
	}
}

// contactAge returns how long this daemon may have missed verdicts. The tables are read apart: a
// read of the states may hang while orders are read. peers is the age of other daemons' reads.
func (r *rollouts) contactAge(peers time.Duration) time.Duration {
	age := r.node.configView.ReadAge()
	if r.anyInProgress() { // otherwise reads of the states wait longer
		age = max(age, r.node.rolloutView.ReadAge())
	}
	return min(age, peers)
}

// writeMetrics writes the states of roll-outs and what this daemon does by them.
func (r *rollouts) writeMetrics(w io.Writer) {
	if !r.enabled() {
		return
	}
	_, _ = fmt.Fprintf(w, "lagoonmux_rollout_canary_attempts_total %d\nlagoonmux_rollout_canary_failures_total %d\nlagoonmux_rollout_verdicts_total %d\n",
		r.canaryAttempts.Load(), r.canaryFailures.Load(), r.holder.verdicts.Load())
	snapshots := r.policy.Snapshots()
	for _, service := range slices.Sorted(maps.Keys(snapshots)) {
		s := snapshots[service]
		_, _ = fmt.Fprintf(w, "lagoonmux_rollout_versions_held{service=%q} %d\n", service, s.Held)
		if s.State.Revision == 0 {
			continue
		}
		_, _ = fmt.Fprintf(w, "lagoonmux_rollout_phase{service=%q,to=%q,phase=%q} 1\nlagoonmux_rollout_share{service=%q} %g\nlagoonmux_rollout_upstreams{service=%q} %d\nlagoonmux_rollout_stopped{service=%q} %t\n",
			service, s.State.To, s.State.Phase, service, s.Share, service, s.Canaries, service, s.Stopped)
	}
}
