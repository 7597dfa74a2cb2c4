// Package views keeps local copies of tables of the platform's store. A view follows the
// change feed of the store and merges the copies of other daemons that are newer.
//
// Every row has a version, and only a higher version replaces a row, so that a view
// never returns to an earlier state. After a restore of the store from a copy its content is
// older, but its versions are higher; see MakeVersion.
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

// ErrHistoryGone means that the store no longer has all changes after a version.
var ErrHistoryGone = errors.New("changes of the store table are no longer available")

// ErrTooLarge means that a response of the store was longer than a daemon reads.
var ErrTooLarge = errors.New("response of the store is too large")

// Row is one row of a table.
type Row struct {
	Key     string
	Value   []byte
	Version int64
	Removed bool // the row was deleted; set only in lists of changes
}

// Page is a response of the store: all rows of a table, or those that changed.
type Page struct {
	Rows    []Row
	Version int64    // newest version of the store, not only of this table
	Era     int64    // rises each time the store is restored from a copy; 0 if the store names none
	Odd     []string // descriptions of rows that could not be read
}

// Source reads tables of the store. Its methods are safe for concurrent use; their errors
// name the operation and the server. The deadline of a call's context bounds the time until
// its response begins: a large one on a slow link may take longer while it makes progress.
type Source interface {
	// List returns all rows.
	List(ctx context.Context, table string) (Page, error)
	// Changes returns the rows that changed after a version. If there are none, it waits
	// up to wait for a change. It returns ErrHistoryGone if List must be called instead.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

const (
	// responseSlack is added to the wait of a long poll to get its timeout: a slow store
	// was seen to take 60 times 4 ms for a response.
	responseSlack = 600 * time.Millisecond
	// listTimeout bounds the time until the response to a read of all rows of a table begins.
	listTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the random pause after an error, so that a daemon
	// recovers soon after the store does and 460 daemons retry with less than 2,000
	// reads/s.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// tooLargeDelay is the pause after a response that was too large: the next one will be too,
	// and each takes seconds of a slow link.
	tooLargeDelay = 2 * time.Second
	// delegatedPoll is the interval at which Delegated is called while it returns true.
	delegatedPoll = 100 * time.Millisecond
	// maxOdd bounds the descriptions of unreadable rows that are kept so as to log each once.
	maxOdd = 64
	// maxRemovals bounds the removals that are kept for Since. A daemon that asks for
	// changes before the oldest of them gets a snapshot.
	maxRemovals = 1024
	// minOutage is the shortest outage of the store in which rows can expire although
	// their owners still run: they expire after three missed heartbeats of 1.2 s, and the
	// last heartbeat may be one interval before the outage.
	minOutage = 2400 * time.Millisecond
)

// Config configures a View. MaxWait, Delegated and ReadDelay may be nil.
type Config struct {
	Table string
	Log   hclog.Logger
	// MaxWait returns the longest wait of a long poll for changes.
	MaxWait func() time.Duration
	// HoldFor is how long rows stay in the view that were removed during an outage of
	// the store, since their owners may write them again. 0 removes them at once.
	HoldFor time.Duration
	// PeersReadStore reports whether another daemon could read the store during this
	// daemon's outage. If so, the store was up and missing rows are removed at once.
	PeersReadStore func() bool
	// Delegated reports whether another daemon reads the table for this one, which then
	// makes no reads of its own. nil means never.
	Delegated func() bool
	// ReadDelay returns the pause before each read of changes, which limits the reads
	// per second when rows change one after the other.
	ReadDelay func() time.Duration
	// OnChange is called with all rows after each change, by one goroutine at a time. The
	// last call has the newest rows.
	OnChange func(rows map[string]Row)
}

// heldRow describes a row that the store has removed but the view still holds.
type heldRow struct {
	until   time.Duration // boot time at which the view removes it
	version int64         // of the removal
}

// View is a local copy of one table. Its methods are safe for concurrent use.
type View struct {
	Config
	source Source

	publishMu sync.Mutex // held from copying the rows until OnChange returns

	mu            sync.Mutex
	rows          map[string]Row     // by key; includes held rows
	removals      []Row              // recent removals, oldest first
	removalFloor  int64              // removals up to this version may be missing in removals
	held          map[string]heldRow // by key
	newestVersion int64              // version of the newest change applied
	readTo        int64              // version up to which the store's changes were read
	listed        bool               // all rows were read, and all changes since then up to readTo
	readAt        time.Duration      // boot time of the store's last response; 0 for none
	upSince       time.Duration      // boot time of the first response since the last error; 0 while the store does not respond
	era           int64              // of the store at its last response
	eraRose       bool               // the store was restored while this view read it
	odd           map[string]bool    // descriptions of rows that could not be read, as logged
	delegatedAt   time.Duration      // boot time at which Delegated last returned true
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
			delay := minRetryDelay + rand.N(maxRetryDelay-minRetryDelay)
			if errors.Is(err, ErrTooLarge) {
				delay = tooLargeDelay
			}
			sleep(ctx, delay)
		}
	}
}

// waitWhileDelegated sleeps for delegatedPoll and returns true if another daemon reads the
// table for this one. The next read is then a full one: the other daemon may hold removed
// rows, and this view cannot distinguish them from the store's rows.
func (v *View) waitWhileDelegated(ctx context.Context) bool {
	if v.Delegated == nil || !v.HasData() || !v.Delegated() {
		return false
	}
	v.mu.Lock()
	v.delegatedAt, v.listed = boottime.Now(), false
	v.mu.Unlock()
	sleep(ctx, delegatedPoll)
	return true
}

// read makes one call to the store and applies its response.
func (v *View) read(ctx context.Context) error {
	v.mu.Lock()
	readTo, listed := v.readTo, v.listed
	storeDown := v.upSince == 0
	hasHeld := !storeDown && len(v.held) > 0
	maxWait := v.MaxWait()
	if storeDown || hasHeld {
		maxWait = 0 // the current state is needed at once
	}
	v.mu.Unlock()
	if !listed {
		return v.list(ctx)
	}
	if hasHeld {
		sleep(ctx, minRetryDelay) // interval of reads while rows are held
	}
	sleep(ctx, v.ReadDelay())
	callCtx, cancel := context.WithTimeout(ctx, maxWait+responseSlack)
	defer cancel()
	page, err := v.source.Changes(callCtx, v.Table, readTo, maxWait)
	if errors.Is(err, ErrHistoryGone) {
		v.Log.Info("changes of the store table are no longer available, reading all its rows", "table", v.Table, "after", readTo)
		return v.list(ctx)
	}
	if err != nil {
		return err
	}
	v.apply(page, false)
	return nil
}

// list reads and applies all rows.
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

// markDown records that the store failed to respond.
func (v *View) markDown(err error) {
	v.mu.Lock()
	upSince := v.upSince
	v.upSince = 0
	v.mu.Unlock()
	if upSince != 0 {
		v.Log.Warn("store lost", "table", v.Table, "error", err)
	}
}

// logOdd logs rows that could not be read, each once.
func (v *View) logOdd(odd []string) {
	for _, description := range odd {
		v.mu.Lock()
		if len(v.odd) >= maxOdd {
			v.odd = nil
		}
		if v.odd == nil {
			v.odd = make(map[string]bool)
		}
		known := v.odd[description]
		v.odd[description] = true
		v.mu.Unlock()
		if !known {
			v.Log.Warn("row of the store cannot be read, the others are used", "table", v.Table, "row", description)
		}
	}
}

// apply merges a response of the store. A snapshot has all rows, so that rows missing in it
// are removed.
func (v *View) apply(page Page, snapshot bool) {
	v.logOdd(page.Odd)
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
	before := v.era
	v.era = max(v.era, page.Era)
	restored := v.restoredSince(page.Version)
	v.eraRose = v.eraRose || restored
	if restored && v.HoldFor > 0 {
		holdUntil = now + v.HoldFor // owners write their rows again that the copy lacks
	}
	v.readAt = now
	v.readTo = max(v.readTo, page.Version)
	if snapshot {
		v.readTo = page.Version
	}
	dirty := v.expireHeld(now) || restored // owners must hear that a row of theirs may be gone, even one never read here
	newest := v.newestVersion              // an older row that is unknown here may have been removed by a newer change from a peer
	for _, r := range page.Rows {
		if _, known := v.rows[r.Key]; known || r.Version > newest {
			dirty = v.put(r, holdUntil) || dirty
		}
	}
	if snapshot {
		dirty = v.removeMissing(page, holdUntil) || dirty
		v.removalFloor = max(v.removalFloor, page.Version) // peers may have rows whose removal this view never saw
		v.listed = true
	}
	held := len(v.held)
	v.mu.Unlock()
	if page.Era > before && before > 0 {
		v.Log.Warn("store restored from a copy", "table", v.Table, "era", page.Era, "era_before", before, "version", page.Version, "newest_known", newest)
	}
	if recovered {
		v.Log.Info("store reached", "table", v.Table, "after", outage, "version", page.Version, "held", held)
	}
	if dirty {
		v.publish()
	}
}

// put applies one row and reports whether the rows changed. The caller holds mu.
func (v *View) put(r Row, holdUntil time.Duration) bool {
	old, known := v.rows[r.Key]
	if known && old.Version >= r.Version {
		return false
	}
	if !r.Removed {
		v.newestVersion = max(v.newestVersion, r.Version)
		delete(v.held, r.Key)
		v.rows[r.Key] = r
		return true
	}
	if !known {
		v.newestVersion = max(v.newestVersion, r.Version)
		return false
	}
	return v.remove(r.Key, r.Version, holdUntil)
}

// remove deletes a row and reports whether the rows changed. If holdUntil is set, the row
// is held until then, and peers do not learn of the removal earlier. The caller holds mu.
func (v *View) remove(key string, version int64, holdUntil time.Duration) bool {
	if holdUntil > 0 {
		if _, held := v.held[key]; !held {
			v.held[key] = heldRow{holdUntil, version}
		}
		return false
	}
	v.newestVersion = max(v.newestVersion, version)
	delete(v.rows, key)
	delete(v.held, key)
	if len(v.removals) == maxRemovals {
		v.removalFloor = v.removals[maxRemovals/2-1].Version
		v.removals = append(v.removals[:0], v.removals[maxRemovals/2:]...)
	}
	v.removals = append(v.removals, Row{Key: key, Version: version, Removed: true})
	return true
}

// removeMissing removes or holds the rows that a snapshot lacks, and reports whether the
// rows changed. The caller holds mu.
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

// expireHeld removes held rows whose time has passed, and reports whether the rows changed.
// The caller holds mu.
func (v *View) expireHeld(now time.Duration) bool {
	dirty := false
	for key, h := range v.held {
		if now >= h.until {
			dirty = v.remove(key, h.version, 0) || dirty
		}
	}
	return dirty
}

// publish calls OnChange with a copy of the current rows.
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

// Version returns the version of the newest change that the view has applied.
func (v *View) Version() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newestVersion
}

// KnownVersion returns the version up to which the view knows the table: that of the newest
// change applied, or that up to which the store's changes were read.
func (v *View) KnownVersion() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(v.newestVersion, v.readTo)
}

// UpFor returns the time since the first response after the last failed read, 0 while
// reads fail.
func (v *View) UpFor() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.upSince == 0 {
		return 0
	}
	return boottime.Now() - v.upSince
}

// HasData reports whether the table was read, from the store or from a daemon.
func (v *View) HasData() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.readAt > 0 || v.newestVersion > 0
}

// ReadAge returns the time since the store's last response, or 24 h if there was none.
func (v *View) ReadAge() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.readAt == 0 {
		return 24 * time.Hour
	}
	return boottime.Now() - v.readAt
}

// Since returns the rows that changed after a version and the version of the newest change
// applied. It returns all rows, with snapshot true, if removals after that version may be
// unknown.
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
	return rows, v.newestVersion, snapshot
}

// Merge applies rows that a peer returned from Since if they include a newer change than
// this view has applied or read. After a time of delegation a snapshot of the same version
// is applied too, since the peer reads the table for this daemon.
func (v *View) Merge(rows []Row, newest int64, snapshot bool, peer string) {
	v.mu.Lock()
	current := max(v.newestVersion, v.readTo)
	delegatedSnapshot := snapshot && !v.listed && newest == current
	if newest <= current && !delegatedSnapshot {
		v.mu.Unlock()
		return
	}
	for _, r := range rows {
		if _, known := v.rows[r.Key]; known || r.Version > current {
			v.put(r, 0) // an older row that is unknown here was removed, and the peer holds it
		}
	}
	if snapshot {
		v.removeMissing(Page{Rows: rows, Version: newest}, 0)
		v.removalFloor = max(v.removalFloor, newest)
	}
	v.newestVersion = max(v.newestVersion, newest)
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
