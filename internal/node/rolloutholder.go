package node

import (
	"context"
	"encoding/json"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/rollout"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	// decideInterval is the time between decisions of the holder of the fleet duty.
	decideInterval = 200 * time.Millisecond
	// maxDecisionAge is how old a decision may be when it is written. A holder that was suspended
	// for longer decides again, once it has read who holds the duty.
	maxDecisionAge = time.Second
	// rewriteDelay is the time after which a state is written again that the store does not have:
	// it was restored from an older copy.
	rewriteDelay = 2 * time.Second
	// rolloutWriteTimeout bounds each call to the store.
	rolloutWriteTimeout = 800 * time.Millisecond
)

// rolloutHolder is what the holder of the fleet duty keeps of roll-outs. It is used by the
// goroutine of runHolder.
type rolloutHolder struct {
	token    int64
	trackers map[string]*heldTracker
	written  map[string]writtenStatus // by service
	verdicts atomic.Int64
}

// heldTracker has the evidence for one order.
type heldTracker struct {
	state     rollout.State // any of the order
	tracker   rollout.Tracker
	writtenAt time.Duration // boot time
}

// writtenStatus is a status row that the store has.
type writtenStatus struct {
	status rollout.Status
	era    int64
}

// runHolder decides on roll-outs while this daemon holds the fleet duty, until ctx ends.
func (r *rollouts) runHolder(ctx context.Context) {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	waitedSince := boottime.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		suspended := boottime.Now()-waitedSince > maxDecisionAge
		if token := r.node.duty.Token(); token == 0 || token != r.holder.token {
			r.holder.token, r.holder.trackers, r.holder.written = token, make(map[string]*heldTracker), make(map[string]writtenStatus)
		}
		if r.holder.token != 0 && !suspended {
			for service, s := range r.policy.Snapshots() {
				if err := r.decide(ctx, service, s); err != nil {
					r.node.log.Info("roll-out not written", "service", service, "token", r.holder.token, "error", err)
				}
			}
		}
		waitedSince = boottime.Now()
	}
}

// decide decides on one service and writes what follows.
func (r *rollouts) decide(ctx context.Context, service string, s rollout.Snapshot) error {
	storeNow, ok := r.node.Clock.StoreNow()
	if !ok || s.Order == nil && s.State.Revision == 0 {
		return nil
	}
	decidedAt := boottime.Now()
	h := r.holder.trackers[service]
	if h == nil || s.State.Revision > 0 && !sameOrder(h.state, s.State) {
		h = &heldTracker{state: s.State, writtenAt: decidedAt}
		r.holder.trackers[service] = h
	}
	h.state = s.State // its order may have a later version after a restore of the store
	next := rollout.Decide(s.State, r.input(service, s, h, storeNow), r.node.Rollouts)
	missingInStore := s.Stored < s.State.Revision && decidedAt-h.writtenAt > rewriteDelay
	if next.Revision != s.State.Revision || missingInStore {
		h.writtenAt = decidedAt
		if err := r.writeState(ctx, service, s.State, next, decidedAt); err != nil {
			return err
		}
	}
	return r.writeStatus(ctx, service, next)
}

func sameOrder(a, b rollout.State) bool {
	return a.Of(rollout.Order{To: b.To, Duration: time.Duration(b.DurationMS) * time.Millisecond, Version: b.OrderVersion})
}

// input collects what the decision is made by.
func (r *rollouts) input(service string, s rollout.Snapshot, h *heldTracker, storeNow time.Duration) rollout.Input {
	in := rollout.Input{Now: storeNow, Token: r.holder.token, Order: s.Order, Era: r.node.configView.Era(), Seen: storeNow, Fleet: s.Fleet}
	total := r.report(service)
	if total == nil {
		return in
	}
	mergeReports(total, r.node.mesh.States())
	if total.Seen > 0 {
		in.Seen = min(total.Seen, storeNow)
	}
	in.Verdict = total.Verdict
	if s.State.Phase.Final() {
		in.Verdict = ""
	}
	if s.State.Revision == 0 || s.Order != nil && !s.State.Of(*s.Order) {
		return in
	}
	draining := s.State.Phase == rollout.Drain
	h.tracker.Update(total.Routes, total.Failing, time.Duration(s.State.DurationMS)*time.Millisecond, boottime.Now())
	in.Answers, in.Suspect = h.tracker.Answers(), h.tracker.Suspects()
	if in.Bad = h.tracker.Judge(s.State.Phase); in.Bad != nil {
		in.Bad.RouteName = r.routeName(in.Bad.Route)
	}
	in.Drained = draining && total.Revision >= s.State.Revision && total.OldRunning == 0
	return in
}

// writeState writes the state that follows from before. It returns an error if the store has a
// newer one, so that no status is written for a decision that was not stored.
func (r *rollouts) writeState(ctx context.Context, service string, before, next rollout.State, decidedAt time.Duration) error {
	value, version, err := r.readRow(ctx, rolloutTable, service)
	if err != nil {
		return errors.Wrap(err, "read state")
	}
	if value != nil {
		stored, err := rollout.DecodeState(value)
		switch {
		case err != nil:
			r.node.log.Warn("state of a roll-out that cannot be decoded is replaced", "service", service, "error", err)
		case stored.Token > r.holder.token && !isRestored(version, before):
			return errors.Errorf("the store has a state of token %d", stored.Token)
		case stored.Supersedes(before):
			if r.policy.Adopt(service, stored) {
				r.logState("roll-out state read", service, stored)
				r.node.roster.rebuild()
			}
			return errors.Errorf("the store has a newer state, revision %d", stored.Revision) // decided again in the next step
		}
	}
	encoded, err := next.Encode()
	if err != nil {
		return err
	}
	if age := boottime.Now() - decidedAt; age > maxDecisionAge {
		return errors.Errorf("decision is %v old", age)
	}
	if err := r.writeRow(ctx, rolloutTable, service, encoded, version); err != nil {
		return errors.Wrap(err, "write state")
	}
	r.logState("roll-out state written", service, next)
	if next.Phase.Final() && next.Phase != before.Phase {
		r.holder.verdicts.Add(1)
	}
	if r.policy.Adopt(service, next) {
		r.node.roster.rebuild()
	}
	return nil
}

// isRestored reports whether a row has a version of a later era than a state that was known before.
func isRestored(version int64, before rollout.State) bool {
	era, _ := views.SplitVersion(version)
	known, _ := views.SplitVersion(before.OrderVersion)
	return before.Revision > 0 && era > known
}

// writeStatus writes the status row of a state if the store may have another one.
func (r *rollouts) writeStatus(ctx context.Context, service string, s rollout.State) error {
	if s.Revision == 0 {
		return nil
	}
	status := s.Status()
	if !status.Phase.Final() {
		status.Phase = rollout.Canary // operators are not told which phase
	}
	era := r.node.rolloutView.Era()
	if r.holder.written[service] == (writtenStatus{status, era}) {
		return nil
	}
	encoded, err := r.node.EncodeRolloutStatus(status)
	if err != nil {
		return err
	}
	key := r.node.RolloutStatusKey(service)
	value, version, err := r.readRow(ctx, r.node.RolloutStatusTable, key)
	if err != nil {
		return errors.Wrap(err, "read status")
	}
	if !sameJSON(value, encoded) {
		if err := r.writeRow(ctx, r.node.RolloutStatusTable, key, encoded, version); err != nil {
			return errors.Wrap(err, "write status")
		}
		r.node.log.Info("roll-out status written", "service", service, "to", s.To, "phase", string(s.Phase), "token", r.holder.token)
	}
	r.holder.written[service] = writtenStatus{status, era}
	return nil
}

// sameJSON reports whether two values are the same apart from their formatting.
func sameJSON(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

func (r *rollouts) readRow(ctx context.Context, table, key string) ([]byte, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	return r.node.Store.Read(ctx, table, key)
}

func (r *rollouts) writeRow(ctx context.Context, table, key string, value []byte, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout)
	defer cancel()
	_, err := r.node.Store.Write(ctx, table, key, value, version)
	return err
}
