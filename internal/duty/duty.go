// Package duty lets one daemon at a time carry out the fleet duty: it reports
// usage and orders upstreams.
//
// The holder is named by a row of the platform's store, with a token that rises
// with each holder. A lease counts from before its renewal was sent and is
// checked against the boot clock right before each fenced call, so a holder that
// was paused does not act on a lease that has lapsed. What it reports stands in
// the row before it is sent: the next holder repeats it to the letter.
package duty

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/capacity"
	"github.com/lagoonmux/lagoonmux/internal/chart"
	"github.com/lagoonmux/lagoonmux/internal/truetime"
	"github.com/lagoonmux/lagoonmux/internal/usage"
)

// Where the lease stands in the store.
const (
	Table  = "duty"
	RowKey = "fleet"
)

const (
	// stepInterval is the time between looks at what is to be done.
	stepInterval = 200 * time.Millisecond
	// renewDivisor of the lease has passed when it is renewed.
	renewDivisor = 3
	// leaseMargin is left of a lease below which no call is begun: a call takes
	// about a hundredth of it, a slow store's up to half a second.
	leaseMargin = 300 * time.Millisecond
	// storeTimeout bounds a call of the store, cloudTimeout one of the cloud.
	storeTimeout = 800 * time.Millisecond
	cloudTimeout = time.Second
	// readInterval is the time between reads of the row by a daemon that hears of no
	// holder.
	readInterval = 500 * time.Millisecond
	// finalizeDelay is the least time after a window's end at which its counts are taken;
	// patience the time after which they are, though daemons are out of touch. Late
	// reports are due 10 s after the end.
	finalizeDelay   = 1200 * time.Millisecond
	finalizeTimeout = 6500 * time.Millisecond
	// maxPendingReports bounds the reports that wait to be sent.
	maxPendingReports = 24
	// maxOpenCountsBytes bounds the open counts in the row, which holds 64 KB at least and
	// up to 24 reports beside them. What does not fit is of the oldest windows, or of
	// a fleet so large that some of it survives.
	maxOpenCountsBytes = 32 << 10
	// retryDelay is the least time between two tries of the same call.
	retryDelay = 400 * time.Millisecond
	// refusedRetryDelay is the same after an order was refused since there are none.
	refusedRetryDelay = 3 * time.Second
	// defaultBootTime is how long an upstream is taken to boot where its service does not tell.
	defaultBootTime = 4 * time.Second
	// registrationTime is how long after it has booted an upstream may take to enter itself, and
	// its entry to be known here.
	registrationTime = 3 * time.Second
	// unavailableFor is how long a refusal of reclaimable upstreams counts: until the next try
	// has been answered.
	unavailableFor = refusedRetryDelay + time.Second
	// rejectedFor is how long nothing is ordered where the cloud rejects orders: a new
	// configuration may open the zone.
	rejectedFor = time.Minute
)

// Errors of the store and the cloud.
var (
	// ErrConflict says that the row has another version than expected.
	ErrConflict = errors.New("row was changed meanwhile")
	// ErrRefused says that the cloud has seen a higher token, or has none of what
	// was ordered.
	ErrRefused = errors.New("cloud refused")
	// ErrRejected says that the cloud will not take the call, however often it comes.
	ErrRejected = errors.New("cloud rejected the call")
)

// Store is what the duty needs of the platform's store. Its errors name step
// and peer; after one that is not ErrChanged a write may have been done, or may
// be done later if its condition still holds.
type Store interface {
	// Read returns the value and version of the row, version 0 where there is none.
	Read(ctx context.Context, table, key string) (value []byte, version int64, err error)
	// Write replaces the row of the given version and returns the new version.
	Write(ctx context.Context, table, key string, value []byte, version int64) (int64, error)
}

// Cloud takes the fenced calls.
type Cloud interface {
	Report(ctx context.Context, f Fence, r Report) error
	Order(ctx context.Context, f Fence, p capacity.Place, count int) error
}

// OrderStatus tells what became of the orders of this holder.
type OrderStatus interface {
	// Outstanding returns how many upstreams were ordered and have not come yet.
	Outstanding(have map[capacity.Place]int) map[capacity.Place]int
	// ReclaimableUnavailable tells whether reclaimable upstreams of a service were refused of late.
	ReclaimableUnavailable(service string) bool
}

// Fence names the holder of the duty in a call.
type Fence struct {
	Holder string
	Token  int64
}

// Report is the usage of one window.
type Report struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// leaseRow is the content of the row.
type leaseRow struct {
	Holder      string   `json:"holder"`
	Incarnation int64    `json:"born"`
	Token       int64    `json:"token"`
	ExpiresMS   int64    `json:"until_ms"` // by the store's clock
	EpochMS     int64    `json:"epoch_ms"` // unix time minus the store's clock
	Finalized   int64    `json:"reported"` // newest window of which the counts are settled
	Pending     []Report `json:"pending"`  // settled, and not known to have been taken
	// OpenCounts is what daemons had counted in windows that are not settled, packed.
	OpenCounts []byte `json:"counts,omitempty"`
}

// Config is what a Duty works with. The functions are called from its task.
type Config struct {
	Name          string
	Incarnation   int64
	LeaseDuration time.Duration
	Log           hclog.Logger
	Store         Store
	Cloud         Cloud
	Clock         *truetime.Clock
	Usage         *usage.Counter
	// Eligible tells whether this daemon hears of all others, as a holder has to.
	Eligible func() bool
	// HeldElsewhere tells whether another daemon in touch says that it holds the duty.
	HeldElsewhere func() bool
	// AllReachable tells whether all daemons that may have counted are in touch.
	AllReachable func() bool
	// EpochMS returns the epoch to propose: the median over the daemons in touch.
	EpochMS func() int64
	// Plan returns how many upstreams there should be, by how many there are and what
	// became of orders, where upstreams of a service can be ordered in a zone; Have
	// returns how many there are.
	Plan func(canOrder func(service, zone string) bool, have map[capacity.Place]int, orders OrderStatus) map[capacity.Place]int
	Have func() map[capacity.Place]int
	// BootTime returns how long an upstream of a service takes from its order until it
	// serves, 0 if that is not known.
	BootTime func(service string) time.Duration
	// ReportUsage tells whether usage is to be reported.
	ReportUsage bool
}

// Duty competes for the duty and carries it out. It belongs to the task that
// runs it.
type Duty struct {
	Config
	machine       *chart.Machine
	row           leaseRow
	version       int64
	expiresAt     time.Duration // boot time at which the lease lapses
	renewAt       time.Duration
	readAt        time.Duration
	dirty         bool // the row is to be written before the next renewal is due
	delivered     map[int64]bool
	retryAt       map[int64]time.Duration
	orders        *orderTracker
	rejectedUntil map[serviceZone]time.Duration // boot time until which nothing is ordered there
	token         chan int64                    // newest token while held, for Token
}

// New returns a duty that is not held.
func New(c Config) *Duty {
	d := &Duty{Config: c, machine: chart.MustLoad("duty").Start(), token: make(chan int64, 1), rejectedUntil: make(map[serviceZone]time.Duration)}
	d.token <- 0
	return d
}

// Token returns the token while this daemon holds the duty, 0 otherwise. Any
// goroutine may call it.
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

func (d *Duty) holding() bool { return d.machine.State() == "holding" }

func (d *Duty) fire(e chart.Event, step string) {
	if err := d.machine.Fire(e, step, d.row.Holder); err != nil {
		d.Log.Error("event not allowed", "error", err)
	}
}

// step does what is due.
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

// tryAcquire takes the duty if nobody holds it.
func (d *Duty) tryAcquire(ctx context.Context, now time.Duration) {
	if now < d.readAt || !d.Eligible() || d.HeldElsewhere() {
		return
	}
	d.readAt = now + readInterval + rand.N(readInterval)
	if err := d.readRow(ctx); err != nil {
		d.Log.Debug("lease not read", "error", err)
		return
	}
	storeNow, ok := d.Clock.Store()
	if !ok || storeNow.Milliseconds() <= d.row.ExpiresMS {
		return
	}
	next := d.row
	next.Holder, next.Incarnation, next.Token = d.Name, d.Incarnation, d.row.Token+1
	if next.EpochMS == 0 {
		next.EpochMS = d.EpochMS()
	}
	d.Clock.Agree(time.Duration(next.EpochMS) * time.Millisecond)
	if next.Finalized == 0 {
		next.Finalized = d.Usage.WindowNumber(d.Clock.Now()) - 1
	}
	if err := d.writeRow(ctx, next); err != nil {
		d.Log.Info("duty not taken", "token", next.Token, "error", err)
		return
	}
	d.delivered, d.retryAt, d.orders = make(map[int64]bool), make(map[int64]time.Duration), newOrderTracker(d.BootTime)
	d.fire("acquired", "take lease")
	d.fire("waited", "take lease")
	d.setToken(next.Token)
	d.Log.Info("duty taken", "token", next.Token, "reported", next.Finalized, "pending", len(next.Pending))
}

// readRow reads the row.
func (d *Duty) readRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, version, err := d.Store.Read(ctx, Table, RowKey)
	if err != nil {
		return err
	}
	var row leaseRow
	if version != 0 {
		if err := json.Unmarshal(value, &row); err != nil {
			return errors.Wrap(err, "decode lease")
		}
	}
	d.row, d.version = row, version
	if row.EpochMS != 0 {
		d.Clock.Agree(time.Duration(row.EpochMS) * time.Millisecond)
	}
	d.mergeOpenCounts(row.OpenCounts)
	return nil
}

// mergeOpenCounts takes in the counts that a row holds.
func (d *Duty) mergeOpenCounts(data []byte) {
	if len(data) == 0 {
		return
	}
	list, err := usage.Unpack(data)
	if err != nil {
		d.Log.Error("open counts not understood", "error", err)
		return
	}
	for _, t := range list {
		if t.Name != d.Name || t.Incarnation != d.Incarnation {
			d.Usage.Merge(t.Name, t.Incarnation, t.Windows)
		}
	}
}

// openCounts returns the counts of windows that are not settled: all daemons may end
// before they are.
func (d *Duty) openCounts() []byte {
	if !d.ReportUsage {
		return nil
	}
	newest := d.Usage.WindowNumber(d.Clock.Now())
	for from := d.row.Finalized; from < newest; from++ {
		list := d.Usage.After(from)
		if len(list) > 0 && list[0].Name == "" {
			list[0].Name, list[0].Incarnation = d.Name, d.Incarnation
		}
		if value, err := usage.Pack(list); err == nil && base64.StdEncoding.EncodedLen(len(value)) <= maxOpenCountsBytes {
			return value
		}
	}
	return nil
}

// writeRow replaces the row and counts the lease from before the call.
func (d *Duty) writeRow(ctx context.Context, next leaseRow) error {
	storeNow, ok := d.Clock.Store()
	if !ok {
		return errors.New("store's clock is not known")
	}
	sentAt := boottime.Now()
	next.ExpiresMS = (storeNow + d.LeaseDuration).Milliseconds()
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := d.Store.Write(ctx, Table, RowKey, value, d.version)
	if err != nil {
		return err
	}
	d.row, d.version = next, version
	d.expiresAt = sentAt + d.LeaseDuration - leaseMargin
	d.renewAt = sentAt + d.LeaseDuration/renewDivisor
	return nil
}

// renew writes the row again. After an error it reads first: the write may
// have been done.
func (d *Duty) renew(ctx context.Context) {
	next := d.row
	next.Pending, next.OpenCounts = d.undelivered(), d.openCounts()
	err := d.writeRow(ctx, next)
	if err == nil {
		d.dirty = false
		return
	}
	d.Log.Warn("lease not renewed", "token", d.row.Token, "left", d.expiresAt-boottime.Now(), "error", err)
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

// undelivered returns the reports that are not known to have been taken.
func (d *Duty) undelivered() []Report {
	var list []Report
	for _, r := range d.row.Pending {
		if !d.delivered[r.Window] {
			list = append(list, r)
		}
	}
	return list
}

func (d *Duty) lose(reason string) {
	d.Log.Warn("duty lost", "token", d.row.Token, "reason", reason)
	d.fire("lost", "hold lease")
	d.setToken(0)
	d.readAt = 0
}

// release gives the duty up, so that another daemon can take it at once.
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

// fence returns how a call names its holder, if the lease still covers it and no
// renewal is due, which a slow call would hold up.
func (d *Duty) fence() (Fence, bool) {
	now := boottime.Now()
	return Fence{d.Name, d.row.Token}, d.holding() && now < d.expiresAt && now < d.renewAt
}
