// Package duty elects one daemon to carry out the fleet duty: it reports usage to
// the cloud and orders upstreams.
//
// The election is a lease in a row of the platform's store, with a fencing token
// that increases with each holder. The lease time is counted from before the write
// that renews it is sent, and its end is checked against the boot clock right
// before each fenced call, so that a holder that was paused does not act on an
// expired lease.
//
// A usage window is open while its counts may still change. It becomes final when
// the holder puts its counts into the row as a report. A report is sent only after
// the store has the row, so the next holder sends exactly the same report again.
package duty

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/capacity"
	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/usage"
	"github.com/lagoonmux/lagoonmux/internal/views"
	"github.com/lagoonmux/lagoonmux/internal/wallclock"
)

// Table and RowKey locate the lease row in the store.
const (
	Table  = "duty"
	RowKey = "fleet"
)

const (
	// stepInterval is the time between calls of step.
	stepInterval = 200 * time.Millisecond
	// renewDivisor sets when the lease is renewed: after LeaseDuration/renewDivisor.
	renewDivisor = 3
	// leaseMargin is the remaining lease time below which no call is started. A call
	// takes about a hundredth of this margin, with a slow store up to half a second.
	leaseMargin = 300 * time.Millisecond
	// storeTimeout bounds a call to the store, cloudTimeout one to the cloud.
	storeTimeout = 800 * time.Millisecond
	cloudTimeout = time.Second
	// readInterval is the least time between reads of the row while no reachable daemon
	// claims to hold the duty; up to as much is added at random.
	readInterval = 500 * time.Millisecond
	// finalizeDelay is the least time from the end of a window until its counts become
	// final. It is extended while daemons are unreachable, but not beyond
	// finalizeTimeout: the report is due 10 s after the end.
	finalizeDelay   = 1200 * time.Millisecond
	finalizeTimeout = 6500 * time.Millisecond
	// maxPendingReports bounds the number of undelivered reports in the row.
	maxPendingReports = 24
	// maxOpenCountsBytes bounds the encoded counts of open windows in the row. A row can
	// hold at least 64 KB and also has up to 24 reports. Counts of the oldest windows are
	// left out first. If even the newest window does not fit, none are stored: in so
	// large a fleet some daemons survive and still have the counts.
	maxOpenCountsBytes = 32 << 10
	// retryDelay is the time before a failed call is retried.
	retryDelay = 400 * time.Millisecond
	// refusedRetryDelay is the time before an order is retried that the cloud refused for
	// lack of capacity.
	refusedRetryDelay = 3 * time.Second
	// defaultBootTime is assumed for upstreams of services that set no boot time.
	defaultBootTime = 4 * time.Second
	// registrationTime is allowed after the boot of an upstream until it has registered
	// itself and this daemon has read its entry.
	registrationTime = 3 * time.Second
	// unavailableFor is how long reclaimable upstreams count as unavailable after a
	// refusal: until the next order should have been answered.
	unavailableFor = refusedRetryDelay + time.Second
	// rejectedFor is how long no upstreams of a service are ordered in a zone after the
	// cloud rejected an order there. A new configuration may allow the zone later.
	rejectedFor = time.Minute
)

// Errors that Store and Cloud return.
var (
	// ErrConflict is returned for a write if the row has another version than expected.
	ErrConflict = errors.New("store row has another version than expected")
	// ErrRefused is returned if the cloud has seen a higher token, or has no capacity
	// for the order.
	ErrRefused = errors.New("cloud refused")
	// ErrRejected is returned if the cloud finds the call invalid, so that a retry
	// cannot succeed.
	ErrRejected = errors.New("cloud rejected the call")
)

// Store is the part of the platform's store that Duty uses. Versions are those of package
// views. Its errors name the
// operation and the peer. After an error other than ErrConflict the outcome of a
// write is unknown: it may have been applied, or may still be if the row then has
// the expected version.
type Store interface {
	// Read returns the value and version of a row. If there is no such row, the value is nil
	// and the version the one to create it with.
	Read(ctx context.Context, table, key string) (value []byte, version int64, err error)
	// Write replaces the row if it has the given version, and returns the new version.
	Write(ctx context.Context, table, key string, value []byte, version int64) (int64, error)
}

// Cloud receives the calls of the duty's holder and checks their fencing token.
type Cloud interface {
	// Report sends the usage of one window. The cloud accepts an exact repeat.
	Report(ctx context.Context, f Fence, r UsageReport) error
	// Order sets the desired number of upstreams in a pool.
	Order(ctx context.Context, f Fence, p capacity.Pool, count int) error
}

// OrderStatus reports the state of the orders that this holder has placed.
type OrderStatus interface {
	// Outstanding returns how many upstreams of each pool were ordered and have not
	// registered yet, given the present numbers.
	Outstanding(have map[capacity.Pool]int) map[capacity.Pool]int
	// ReclaimableUnavailable reports whether the cloud recently refused an order of
	// reclaimable upstreams of the service, in any zone.
	ReclaimableUnavailable(service string) bool
}

// Fence identifies the holder of the duty and its fencing token in a call.
type Fence struct {
	Holder string
	Token  int64
}

// UsageReport is the usage of one window.
type UsageReport struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// leaseRow is the value of the lease row.
type leaseRow struct {
	Holder      string        `json:"holder"`
	Incarnation int64         `json:"born"`
	Token       int64         `json:"token"`
	ExpiresMS   int64         `json:"until_ms"` // by the store's clock; 0 if the duty was given up
	EpochMS     int64         `json:"epoch_ms"` // unix time minus the store's clock
	Finalized   int64         `json:"reported"` // newest final window
	Pending     []UsageReport `json:"pending"`  // final, not known to have been accepted
	Era         int64         `json:"era"`      // of the store when the row was written
	// OpenCounts are the daemons' counts of open windows, encoded by usage.Pack.
	OpenCounts []byte `json:"counts,omitempty"`
}

// Config holds the settings and dependencies of a Duty. Its functions are called
// from the goroutine of Run.
type Config struct {
	Name          string
	Incarnation   int64 // unix nanoseconds at which this daemon started
	LeaseDuration time.Duration
	Log           hclog.Logger
	Store         Store
	Cloud         Cloud
	Clock         *wallclock.Clock
	Usage         *usage.Counter
	// Eligible reports whether this daemon gets the state of all others, which the
	// holder needs.
	Eligible func() bool
	// HeldElsewhere reports whether a reachable daemon claims to hold the duty.
	HeldElsewhere func() bool
	// FinalizedElsewhere returns the newest window that is final as far as the other daemons
	// know, 0 if they know none.
	FinalizedElsewhere func() int64
	// AllReachable reports whether all daemons that may have counted requests are
	// reachable.
	AllReachable func() bool
	// EpochMS returns the epoch that a first holder records: the median of those that
	// the reachable daemons measured, in milliseconds.
	EpochMS func() int64
	// Plan returns the desired number of upstreams of each pool. canOrder reports
	// whether upstreams of a service may be ordered in a zone, have is the result of
	// Have.
	Plan func(canOrder func(service, zone string) bool, have map[capacity.Pool]int, orders OrderStatus) map[capacity.Pool]int
	// Have returns the present number of upstreams of each pool.
	Have func() map[capacity.Pool]int
	// BootTime returns the time from the order of an upstream until it serves, 0 if
	// it is unknown.
	BootTime    func(service string) time.Duration
	ReportUsage bool // whether the holder reports usage to the cloud
}

// Duty competes for the fleet duty and carries it out while this daemon holds it.
// Apart from Token it must be used by one goroutine only.
type Duty struct {
	Config
	stateMachine  *chart.Machine
	row           leaseRow
	version       int64
	expiresAt     time.Duration           // boot time from which no more calls are made under the lease
	renewAt       time.Duration           // boot time at which the lease is to be renewed
	readAt        time.Duration           // boot time of the next read while the duty is not held
	dirty         bool                    // row differs from the stored one and must be written before any call
	delivered     map[int64]bool          // windows whose report was accepted, or given up
	retryAt       map[int64]time.Duration // boot time before which a window's report is not sent again
	orders        *orderTracker
	rejectedUntil map[serviceZone]time.Duration // boot time until which nothing is ordered there
	token         chan int64                    // of capacity 1, holds what Token returns
	finalized     atomic.Int64                  // see Finalized
}

// New returns a Duty that does not hold the lease.
func New(c Config) *Duty {
	d := &Duty{Config: c, stateMachine: chart.MustLoad("duty").Start(), token: make(chan int64, 1), rejectedUntil: make(map[serviceZone]time.Duration)}
	d.token <- 0
	return d
}

// Token returns the fencing token while this daemon holds the duty, 0 otherwise. It
// is safe for concurrent use.
func (d *Duty) Token() int64 {
	t := <-d.token
	d.token <- t
	return t
}

func (d *Duty) setToken(t int64) {
	<-d.token
	d.token <- t
}

// Run competes for the duty until ctx ends, and then gives it up.
func (d *Duty) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.release()
			return
		case <-ticker.C:
		}
		d.step(ctx, boottime.Now())
	}
}

func (d *Duty) holding() bool { return d.stateMachine.State() == "holding" }

func (d *Duty) fire(e chart.Event, step string) {
	if err := d.stateMachine.Fire(e, step, d.row.Holder); err != nil {
		d.Log.Error("state chart of the fleet duty does not allow an event", "error", err)
	}
}

// step tries to acquire the duty, or renews the lease and makes the calls that are
// due.
func (d *Duty) step(ctx context.Context, now time.Duration) {
	if !d.holding() {
		d.tryAcquire(ctx, now)
		return
	}
	if now >= d.expiresAt {
		d.lose("lease lapsed")
		return
	}
	if !d.Eligible() {
		d.release()
		return
	}
	if d.ReportUsage {
		d.finalizeWindows()
	}
	if now >= d.renewAt || d.dirty {
		d.renew(ctx)
	}
	if d.holding() && !d.dirty {
		d.sendReports(ctx)
		d.placeOrders(ctx)
	}
}

// tryAcquire acquires the lease if no other daemon holds it.
func (d *Duty) tryAcquire(ctx context.Context, now time.Duration) {
	if now < d.readAt || !d.Eligible() || d.HeldElsewhere() {
		return
	}
	d.readAt = now + readInterval + rand.N(readInterval)
	if err := d.readRow(ctx); err != nil {
		d.Log.Debug("cannot read the lease row of the fleet duty", "error", err)
		return
	}
	storeNow, ok := d.Clock.StoreNow()
	if !ok || storeNow.Milliseconds() <= d.row.ExpiresMS {
		return
	}
	next := d.row
	next.Holder, next.Incarnation, next.Token = d.Name, d.Incarnation, d.nextToken()
	if next.EpochMS == 0 {
		next.EpochMS = d.EpochMS()
	}
	d.Clock.SetEpoch(time.Duration(next.EpochMS) * time.Millisecond)
	next.Finalized = d.nextFinalized()
	if err := d.writeRow(ctx, next); err != nil {
		d.Log.Info("cannot acquire the lease of the fleet duty", "token", next.Token, "error", err)
		return
	}
	d.delivered, d.retryAt, d.orders = make(map[int64]bool), make(map[int64]time.Duration), newOrderTracker(d.BootTime)
	d.fire("acquired", "take lease")
	d.fire("waited", "take lease")
	d.setToken(next.Token)
	d.Log.Info("duty taken", "token", next.Token, "reported", next.Finalized, "pending", len(next.Pending))
}

// readRow reads the lease row, adopts its epoch and merges its open counts.
func (d *Duty) readRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, version, err := d.Store.Read(ctx, Table, RowKey)
	if err != nil {
		return err
	}
	var row leaseRow
	if value != nil {
		if err := json.Unmarshal(value, &row); err != nil {
			return errors.Wrap(err, "decode lease row")
		}
	}
	d.row, d.version = row, version
	if row.EpochMS != 0 {
		d.Clock.SetEpoch(time.Duration(row.EpochMS) * time.Millisecond)
	}
	d.mergeOpenCounts(row.OpenCounts)
	return nil
}

// writeRow replaces the lease row. The new lease time is counted from before the
// write is sent.
func (d *Duty) writeRow(ctx context.Context, next leaseRow) error {
	storeNow, ok := d.Clock.StoreNow()
	if !ok {
		return errors.New("write lease row: the store's clock has not been read yet")
	}
	sentAt := boottime.Now()
	next.ExpiresMS = (storeNow + d.LeaseDuration).Milliseconds()
	next.Era, _ = views.SplitVersion(d.version)
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode lease row")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := d.Store.Write(ctx, Table, RowKey, value, d.version)
	if err != nil {
		return err
	}
	d.row, d.version = next, version
	d.finalized.Store(next.Finalized)
	d.expiresAt = sentAt + d.LeaseDuration - leaseMargin
	d.renewAt = sentAt + d.LeaseDuration/renewDivisor
	return nil
}

// renew writes the row with a new lease time. If that fails it reads the row, as the
// write may have been applied: the duty is lost if the row names another holder or
// token, otherwise the next step writes the row again.
func (d *Duty) renew(ctx context.Context) {
	next := d.row
	next.Pending, next.OpenCounts = d.undelivered(), d.openCounts()
	err := d.writeRow(ctx, next)
	if err == nil {
		d.dirty = false
		return
	}
	d.Log.Warn("cannot renew the lease of the fleet duty", "token", d.row.Token, "left", d.expiresAt-boottime.Now(), "error", err)
	before, token := d.row, d.row.Token
	if err := d.readRow(ctx); err != nil {
		d.row = before
		return
	}
	if d.row.Token != token || d.row.Holder != d.Name || d.row.Incarnation != d.Incarnation {
		d.lose("another daemon holds the duty")
		return
	}
	d.row.Pending, d.row.Finalized = before.Pending, before.Finalized
	d.dirty = true
}

// undelivered returns the reports in the row that the cloud is not known to have
// accepted, without those that were given up.
func (d *Duty) undelivered() []UsageReport {
	var list []UsageReport
	for _, r := range d.row.Pending {
		if !d.delivered[r.Window] {
			list = append(list, r)
		}
	}
	return list
}

// lose marks the duty as lost without a write to the store.
func (d *Duty) lose(reason string) {
	d.Log.Warn("duty lost", "token", d.row.Token, "reason", reason)
	d.fire("lost", "hold lease")
	d.setToken(0)
	d.readAt = 0
}

// release gives the duty up: it writes a row with no lease time left, so that another
// daemon can acquire the duty at once.
func (d *Duty) release() {
	if !d.holding() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	next := d.row
	next.Pending, next.OpenCounts = d.undelivered(), d.openCounts()
	next.ExpiresMS = 0
	value, err := json.Marshal(next)
	if err == nil {
		_, err = d.Store.Write(ctx, Table, RowKey, value, d.version)
	}
	d.Log.Info("duty given up", "token", d.row.Token, "error", err)
	d.fire("lost", "release lease")
	d.setToken(0)
}

// fence returns the holder and token for a call. ok is false if the lease does not
// cover the call, or if a renewal is due, which a slow call would delay.
func (d *Duty) fence() (Fence, bool) {
	now := boottime.Now()
	return Fence{d.Name, d.row.Token}, d.holding() && now < d.expiresAt && now < d.renewAt
}
