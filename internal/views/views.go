// Package views keeps a daemon's copy of tables of the platform's store: read
// from the store's own changes, and from other daemons where these know more.
//
// A view never goes back: every row has a version, and only a higher one
// replaces it.
package views

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
)

// ErrHistoryGone says that changes after a version can no longer be read.
var ErrHistoryGone = errors.New("history of the table is gone")

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Removed bool // the row is gone; only in lists of changes
}

// Page is an answer of the store.
type Page struct {
	Rows    []Row
	Version int64 // newest version of the store
}

// Source reads a table of the store. Its methods may be called from any
// goroutine; their errors name step and peer.
type Source interface {
	// List returns all rows.
	List(ctx context.Context, table string) (Page, error)
	// Changes returns the rows changed after a version, waiting for one at most
	// for wait. It returns ErrHistoryGone where a list has to be read instead.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

const (
	// responseSlack is what an answer may take beyond the wait; a slow store's
	// answers were seen to take 60 times 4 ms.
	responseSlack = 600 * time.Millisecond
	// listTimeout bounds reading a whole table.
	listTimeout = 2 * time.Second
	// minRetry and retryMax bound the random pause after an error: a daemon is
	// back soon after the store is, and 460 daemons retry below 2,000 reads/s.
	minRetry = 100 * time.Millisecond
	maxRetry = 400 * time.Millisecond
	// delegatedPoll is the time between looks at whether others still read.
	delegatedPoll = 100 * time.Millisecond
	// maxRemovals bounds the removals that are remembered, to be told by themselves.
	maxRemovals = 1024
	// minOutage is how long nothing must have been read for entries to lapse
	// wrongly: they do after three heartbeats of 1.2 s, less one.
	minOutage = 2400 * time.Millisecond
)

// Config tells what a View keeps.
type Config struct {
	Table string
	Log   hclog.Logger
	// MaxWait returns how long the store may keep a read of changes waiting.
	MaxWait func() time.Duration
	// HoldFor keeps rows that were found gone right after an outage of the store
	// for so long, since their owners may write them again. 0 keeps none.
	HoldFor time.Duration
	// PeersReadStore tells whether another daemon has been reading the store during
	// this daemon's outage; rows that are gone then are gone.
	PeersReadStore func() bool
	// Delegated tells whether others read the table for this daemon, so that it need not;
	// nil for never.
	Delegated func() bool
	// ReadDelay returns the least time between two reads of changes.
	ReadDelay func() time.Duration
	// OnChange is called with all rows after each change, from one goroutine at a
	// time.
	OnChange func(rows map[string]Row)
}

// heldRow keeps a row that is gone.
type heldRow struct {
	until   time.Duration // boot time
	version int64         // of its removal
}

// View is a copy of one table. Its methods may be called from any goroutine.
type View struct {
	Config
	source Source

	publishMu sync.Mutex // held from the copy of the rows until they were taken in

	mu           sync.Mutex
	rows         map[string]Row
	removals     []Row // removals of late, the oldest first
	removalFloor int64 // version up to which removals are not in gone
	held         map[string]heldRow
	newest       int64         // version of the newest change known
	readTo       int64         // version up to which changes were read
	listed       bool          // the whole table was read, and all changes up to after
	readAt       time.Duration // boot time of the last answer; 0 for none
	upSince      time.Duration // boot time since which every read was answered; 0 while the store is away
	delegatedAt  time.Duration // boot time at which others last read for this daemon
}

// New returns an empty view.
func New(source Source, c Config) *View {
	zero := func() time.Duration { return 0 }
	if c.MaxWait == nil {
		c.MaxWait = zero
	}
	if c.ReadDelay == nil {
		c.ReadDelay = zero
	}
	return &View{Config: c, source: source, rows: make(map[string]Row), held: make(map[string]heldRow)}
}

// Run reads the table until ctx ends.
func (v *View) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if v.waitWhileDelegated(ctx) {
			continue
		}
		if err := v.read(ctx); err != nil && ctx.Err() == nil {
			v.markDown(err)
			sleep(ctx, minRetry+rand.N(maxRetry-minRetry))
		}
	}
}

// waitWhileDelegated waits a moment if others read the table. The whole of it is read afterwards:
// what others hold for owners that may come back is known to them only.
func (v *View) waitWhileDelegated(ctx context.Context) bool {
	v.mu.Lock()
	hasData := v.readAt > 0 || v.newest > 0
	v.mu.Unlock()
	if v.Delegated == nil || !hasData || !v.Delegated() {
		return false
	}
	v.mu.Lock()
	v.delegatedAt, v.listed = boottime.Now(), false
	v.mu.Unlock()
	sleep(ctx, delegatedPoll)
	return true
}

// read makes one call of the store and applies its answer.
func (v *View) read(ctx context.Context) error {
	v.mu.Lock()
	readTo, listed := v.readTo, v.listed
	storeDown := v.upSince == 0
	hasHeld := !storeDown && len(v.held) > 0
	maxWait := v.MaxWait()
	if storeDown || hasHeld {
		maxWait = 0 // to know at once what the store holds
	}
	v.mu.Unlock()
	if !listed {
		return v.list(ctx)
	}
	if hasHeld {
		sleep(ctx, minRetry) // until they are back or given up
	}
	sleep(ctx, v.ReadDelay())
	callCtx, cancel := context.WithTimeout(ctx, maxWait+responseSlack)
	defer cancel()
	page, err := v.source.Changes(callCtx, v.Table, readTo, maxWait)
	if errors.Is(err, ErrHistoryGone) {
		v.Log.Info("changes are gone, reading the whole table", "table", v.Table, "after", readTo)
		return v.list(ctx)
	}
	if err != nil {
		return err
	}
	v.apply(page, false)
	return nil
}

func (v *View) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	page, err := v.source.List(ctx, v.Table)
	if err != nil {
		return err
	}
	v.apply(page, true)
	return nil
}

// markDown notes that the store did not answer.
func (v *View) markDown(err error) {
	v.mu.Lock()
	upSince := v.upSince
	v.upSince = 0
	v.mu.Unlock()
	if upSince != 0 {
		v.Log.Warn("store lost", "table", v.Table, "error", err)
	}
}

// apply takes in an answer of the store; whole means that rows it lacks are gone.
func (v *View) apply(page Page, snapshot bool) {
	now := boottime.Now()
	v.mu.Lock()
	var holdUntil time.Duration
	recovered := v.upSince == 0
	outage := time.Duration(0)
	if v.readAt > 0 {
		outage = now - max(v.readAt, v.delegatedAt)
	}
	if recovered {
		if v.HoldFor > 0 && v.readAt > 0 && outage > minOutage && !v.PeersReadStore() {
			holdUntil = now + v.HoldFor
		}
		v.upSince = now
	}
	v.readAt = now
	v.readTo = max(v.readTo, page.Version)
	dirty := v.expireHeld(now)
	newest := v.newest // an answer may have been under way while a daemon told more
	for _, r := range page.Rows {
		if _, known := v.rows[r.Key]; known || r.Version > newest {
			dirty = v.put(r, holdUntil) || dirty
		}
	}
	if snapshot {
		dirty = v.removeMissing(page, holdUntil) || dirty
		v.removalFloor = max(v.removalFloor, page.Version) // others may know rows that never were here
		v.listed = true
	}
	held := len(v.held)
	v.mu.Unlock()
	if recovered {
		v.Log.Info("store reached", "table", v.Table, "after", outage, "version", page.Version, "held", held)
	}
	if dirty {
		v.publish()
	}
}

// put takes in one row and reports whether the rows changed. The caller holds mu.
func (v *View) put(r Row, holdUntil time.Duration) bool {
	old, known := v.rows[r.Key]
	if known && old.Version >= r.Version {
		return false
	}
	if !r.Removed {
		v.newest = max(v.newest, r.Version)
		delete(v.held, r.Key)
		v.rows[r.Key] = r
		return true
	}
	if !known {
		v.newest = max(v.newest, r.Version)
		return false
	}
	return v.remove(r.Key, r.Version, holdUntil)
}

// remove forgets a row, or holds it if until is set; then others are not told of
// the removal before it is in force here. The caller holds mu.
func (v *View) remove(key string, version int64, holdUntil time.Duration) bool {
	if holdUntil > 0 {
		if _, held := v.held[key]; !held {
			v.held[key] = heldRow{holdUntil, version}
		}
		return false
	}
	v.newest = max(v.newest, version)
	delete(v.rows, key)
	delete(v.held, key)
	if len(v.removals) == maxRemovals {
		v.removalFloor = v.removals[maxRemovals/2-1].Version
		v.removals = append(v.removals[:0], v.removals[maxRemovals/2:]...)
	}
	v.removals = append(v.removals, Row{Key: key, Version: version, Removed: true})
	return true
}

// removeMissing drops the rows that a whole table lacks. The caller holds mu.
func (v *View) removeMissing(page Page, holdUntil time.Duration) bool {
	present := make(map[string]bool, len(page.Rows))
	for _, r := range page.Rows {
		present[r.Key] = true
	}
	dirty := false
	for key, r := range v.rows {
		if present[key] || r.Version > page.Version {
			continue
		}
		dirty = v.remove(key, page.Version, holdUntil) || dirty
	}
	return dirty
}

// expireHeld drops rows that were held long enough. The caller holds mu.
func (v *View) expireHeld(now time.Duration) bool {
	dirty := false
	for key, h := range v.held {
		if now >= h.until {
			dirty = v.remove(key, h.version, 0) || dirty
		}
	}
	return dirty
}

// publish tells of the rows as they are now. What is told last is the newest.
func (v *View) publish() {
	v.publishMu.Lock()
	defer v.publishMu.Unlock()
	v.mu.Lock()
	rows := make(map[string]Row, len(v.rows))
	for k, r := range v.rows {
		rows[k] = r
	}
	v.mu.Unlock()
	v.OnChange(rows)
}

// Version returns the version of the newest change that the view knows.
func (v *View) Version() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newest
}

// UpFor returns how long the store has answered every read, 0 while it does not.
func (v *View) UpFor() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.upSince == 0 {
		return 0
	}
	return boottime.Now() - v.upSince
}

// ReadAge returns how long ago the store last answered, or a day if it never did.
func (v *View) ReadAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.readAt == 0 {
		return 24 * time.Hour
	}
	return boottime.Now() - v.readAt
}

// Since returns the rows that changed after a version, or all of them where that is
// too long ago, with the version of the newest change that is in force here.
func (v *View) Since(after int64) (rows []Row, newest int64, snapshot bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	snapshot = after <= v.removalFloor
	for _, r := range v.rows {
		if snapshot || r.Version > after {
			rows = append(rows, r)
		}
	}
	if !snapshot {
		for _, r := range v.removals {
			if _, present := v.rows[r.Key]; !present && r.Version > after {
				rows = append(rows, r)
			}
		}
	}
	return rows, v.newest, snapshot
}

// Merge takes in what another daemon told of its table, all of it if whole, if that
// knows a newer change than this one has in force or has read of; one that reads the
// table for this daemon also if it is as new.
func (v *View) Merge(rows []Row, newest int64, snapshot bool, peer string) {
	v.mu.Lock()
	current := max(v.newest, v.readTo)
	delegatedSnapshot := snapshot && !v.listed && newest == current
	if newest <= current && !delegatedSnapshot {
		v.mu.Unlock()
		return
	}
	for _, r := range rows {
		if _, known := v.rows[r.Key]; known || r.Version > current {
			v.put(r, 0) // one that is not known and older is gone, and held by the other
		}
	}
	if snapshot {
		v.removeMissing(Page{Rows: rows, Version: newest}, 0)
		v.removalFloor = max(v.removalFloor, newest)
	}
	v.newest = max(v.newest, newest)
	v.mu.Unlock()
	v.Log.Info("table taken from a daemon", "table", v.Table, "peer", peer, "before", current, "version", newest, "rows", len(rows), "whole", snapshot)
	v.publish()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
