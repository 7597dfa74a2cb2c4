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
	"github.com/lagoonmux/lagoonmux/internal/usage"
	"github.com/lagoonmux/lagoonmux/internal/wallclock"
)

// Where the lease stands in the store.
const (
	Table = "duty"
	Row   = "fleet"
)

const (
	// tick is the time between looks at what is to be done.
	tick = 200 * time.Millisecond
	// renewPart of the lease has passed when it is renewed.
	renewPart = 3
	// leaseMargin is left of a lease below which no call is begun: a call takes
	// about a hundredth of it, a slow store's up to half a second.
	leaseMargin = 300 * time.Millisecond
	// storeTimeout bounds a call of the store, cloudTimeout one of the cloud.
	storeTimeout = 800 * time.Millisecond
	cloudTimeout = time.Second
	// lookEvery is the time between reads of the row by a daemon that hears of no
	// holder.
	lookEvery = 500 * time.Millisecond
	// settle is the least time after a window's end at which its counts are taken;
	// patience the time after which they are, though daemons are out of touch. Late
	// reports are due 10 s after the end.
	settle   = 1200 * time.Millisecond
	patience = 6500 * time.Millisecond
	// maxPending bounds the reports that wait to be sent.
	maxPending = 24
	// maxOpenBytes bounds the open counts in the row, which holds 64 KB at least and
	// up to 24 reports beside them. What does not fit is of the oldest windows, or of
	// a fleet so large that some of it survives.
	maxOpenBytes = 32 << 10
	// callGap is the least time between two tries of the same call.
	callGap = 400 * time.Millisecond
	// refusedGap is the same after an order was refused since there are none.
	refusedGap = 3 * time.Second
	// usualBoot is how long an upstream is taken to boot where its service does not tell.
	usualBoot = 4 * time.Second
	// enterAfter is how long after it has booted an upstream may take to enter itself, and
	// its entry to be known here.
	enterAfter = 3 * time.Second
	// dryFor is how long a refusal of reclaimable upstreams counts: until the next try
	// has been answered.
	dryFor = refusedGap + time.Second
	// closedFor is how long nothing is ordered where the cloud rejects orders: a new
	// configuration may open the zone.
	closedFor = time.Minute
)

// Errors of the store and the cloud.
var (
	// ErrChanged says that the row has another version than expected.
	ErrChanged = errors.New("row was changed meanwhile")
	// ErrFenced says that the cloud has seen a higher token, or has none of what
	// was ordered.
	ErrFenced = errors.New("cloud refused")
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
	Order(ctx context.Context, f Fence, p capacity.Pool, count int) error
}

// Orders tells what became of the orders of this holder.
type Orders interface {
	// Due returns how many upstreams were ordered and have not come yet.
	Due(have map[capacity.Pool]int) map[capacity.Pool]int
	// Drought tells whether reclaimable upstreams of a service were refused of late.
	Drought(service string) bool
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

// lease is the content of the row.
type lease struct {
	Holder   string   `json:"holder"`
	Born     int64    `json:"born"`
	Token    int64    `json:"token"`
	UntilMS  int64    `json:"until_ms"` // by the store's clock
	EpochMS  int64    `json:"epoch_ms"` // unix time minus the store's clock
	Reported int64    `json:"reported"` // newest window of which the counts are settled
	Pending  []Report `json:"pending"`  // settled, and not known to have been taken
	// Open is what daemons had counted in windows that are not settled, packed.
	Open []byte `json:"counts,omitempty"`
}

// Config is what a Duty works with. The functions are called from its task.
type Config struct {
	Name  string
	Born  int64
	Lease time.Duration
	Log   hclog.Logger
	Store Store
	Cloud Cloud
	Clock *wallclock.Clock
	Usage *usage.Counter
	// Eligible tells whether this daemon hears of all others, as a holder has to.
	Eligible func() bool
	// Held tells whether another daemon in touch says that it holds the duty.
	Held func() bool
	// Complete tells whether all daemons that may have counted are in touch.
	Complete func() bool
	// EpochMS returns the epoch to propose: the median over the daemons in touch.
	EpochMS func() int64
	// Plan returns how many upstreams there should be, by how many there are and what
	// became of orders, where upstreams of a service can be ordered in a zone; Have
	// returns how many there are.
	Plan func(open func(service, zone string) bool, have map[capacity.Pool]int, o Orders) map[capacity.Pool]int
	Have func() map[capacity.Pool]int
	// Boot returns how long an upstream of a service takes from its order until it
	// serves, 0 if that is not known.
	Boot func(service string) time.Duration
	// Reports tells whether usage is to be reported.
	Reports bool
}

// Duty competes for the duty and carries it out. It belongs to the task that
// runs it.
type Duty struct {
	Config
	machine *chart.Machine
	row     lease
	version int64
	heldBy  time.Duration // boot time at which the lease lapses
	renewAt time.Duration
	lookAt  time.Duration
	dirty   bool // the row is to be written before the next renewal is due
	sent    map[int64]bool
	tried   map[int64]time.Duration
	orders  *orders
	closed  map[site]time.Duration // boot time until which nothing is ordered there
	token   chan int64             // newest token while held, for Token
}

// New returns a duty that is not held.
func New(c Config) *Duty {
	d := &Duty{Config: c, machine: chart.MustLoad("duty").Start(), token: make(chan int64, 1), closed: make(map[site]time.Duration)}
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
	ticker := time.NewTicker(tick)
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
		d.compete(ctx, now)
		return
	}
	if now >= d.heldBy {
		d.lose("lease lapsed")
		return
	}
	if !d.Eligible() {
		d.release()
		return
	}
	if d.Reports {
		d.settleWindows()
	}
	if now >= d.renewAt || d.dirty {
		d.renew(ctx)
	}
	if d.holding() && !d.dirty {
		d.report(ctx)
		d.order(ctx)
	}
}

// compete takes the duty if nobody holds it.
func (d *Duty) compete(ctx context.Context, now time.Duration) {
	if now < d.lookAt || !d.Eligible() || d.Held() {
		return
	}
	d.lookAt = now + lookEvery + rand.N(lookEvery)
	if err := d.read(ctx); err != nil {
		d.Log.Debug("lease not read", "error", err)
		return
	}
	store, ok := d.Clock.StoreNow()
	if !ok || store.Milliseconds() <= d.row.UntilMS {
		return
	}
	next := d.row
	next.Holder, next.Born, next.Token = d.Name, d.Born, d.row.Token+1
	if next.EpochMS == 0 {
		next.EpochMS = d.EpochMS()
	}
	d.Clock.SetEpoch(time.Duration(next.EpochMS) * time.Millisecond)
	if next.Reported == 0 {
		next.Reported = d.Usage.Number(d.Clock.Now()) - 1
	}
	if err := d.write(ctx, next); err != nil {
		d.Log.Info("duty not taken", "token", next.Token, "error", err)
		return
	}
	d.sent, d.tried, d.orders = make(map[int64]bool), make(map[int64]time.Duration), newOrders(d.Boot)
	d.fire("acquired", "take lease")
	d.fire("waited", "take lease")
	d.setToken(next.Token)
	d.Log.Info("duty taken", "token", next.Token, "reported", next.Reported, "pending", len(next.Pending))
}

// read reads the row.
func (d *Duty) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, version, err := d.Store.Read(ctx, Table, Row)
	if err != nil {
		return err
	}
	var row lease
	if version != 0 {
		if err := json.Unmarshal(value, &row); err != nil {
			return errors.Wrap(err, "decode lease")
		}
	}
	d.row, d.version = row, version
	if row.EpochMS != 0 {
		d.Clock.SetEpoch(time.Duration(row.EpochMS) * time.Millisecond)
	}
	d.learnOpen(row.Open)
	return nil
}

// learnOpen takes in the counts that a row holds.
func (d *Duty) learnOpen(data []byte) {
	if len(data) == 0 {
		return
	}
	list, err := usage.Unpack(data)
	if err != nil {
		d.Log.Error("open counts not understood", "error", err)
		return
	}
	for _, t := range list {
		if t.Name != d.Name || t.Born != d.Born {
			d.Usage.Learn(t.Name, t.Born, t.Windows)
		}
	}
}

// openCounts returns the counts of windows that are not settled: all daemons may end
// before they are.
func (d *Duty) openCounts() []byte {
	if !d.Reports {
		return nil
	}
	newest := d.Usage.Number(d.Clock.Now())
	for from := d.row.Reported; from < newest; from++ {
		list := d.Usage.Since(from)
		if len(list) > 0 && list[0].Name == "" {
			list[0].Name, list[0].Born = d.Name, d.Born
		}
		if value, err := usage.Pack(list); err == nil && base64.StdEncoding.EncodedLen(len(value)) <= maxOpenBytes {
			return value
		}
	}
	return nil
}

// write replaces the row and counts the lease from before the call.
func (d *Duty) write(ctx context.Context, next lease) error {
	store, ok := d.Clock.StoreNow()
	if !ok {
		return errors.New("store's clock is not known")
	}
	sent := boottime.Now()
	next.UntilMS = (store + d.Lease).Milliseconds()
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := d.Store.Write(ctx, Table, Row, value, d.version)
	if err != nil {
		return err
	}
	d.row, d.version = next, version
	d.heldBy = sent + d.Lease - leaseMargin
	d.renewAt = sent + d.Lease/renewPart
	return nil
}

// renew writes the row again. After an error it reads first: the write may
// have been done.
func (d *Duty) renew(ctx context.Context) {
	next := d.row
	next.Pending, next.Open = d.unsent(), d.openCounts()
	err := d.write(ctx, next)
	if err == nil {
		d.dirty = false
		return
	}
	d.Log.Warn("lease not renewed", "token", d.row.Token, "left", d.heldBy-boottime.Now(), "error", err)
	mine, token := d.row, d.row.Token
	if err := d.read(ctx); err != nil {
		d.row = mine
		return
	}
	if d.row.Token != token || d.row.Holder != d.Name || d.row.Born != d.Born {
		d.lose("another daemon holds the duty")
		return
	}
	d.row.Pending, d.row.Reported = mine.Pending, mine.Reported
	d.dirty = true
}

// unsent returns the reports that are not known to have been taken.
func (d *Duty) unsent() []Report {
	var list []Report
	for _, r := range d.row.Pending {
		if !d.sent[r.Window] {
			list = append(list, r)
		}
	}
	return list
}

func (d *Duty) lose(reason string) {
	d.Log.Warn("duty lost", "token", d.row.Token, "reason", reason)
	d.fire("lost", "hold lease")
	d.setToken(0)
	d.lookAt = 0
}

// release gives the duty up, so that another daemon can take it at once.
func (d *Duty) release() {
	if !d.holding() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	next := d.row
	next.Pending, next.Open = d.unsent(), d.openCounts()
	next.UntilMS = 0
	value, err := json.Marshal(next)
	if err == nil {
		_, err = d.Store.Write(ctx, Table, Row, value, d.version)
	}
	d.Log.Info("duty given up", "token", d.row.Token, "error", err)
	d.fire("lost", "release lease")
	d.setToken(0)
}

// fence returns how a call names its holder, if the lease still covers it and no
// renewal is due, which a slow call would hold up.
func (d *Duty) fence() (Fence, bool) {
	now := boottime.Now()
	return Fence{d.Name, d.row.Token}, d.holding() && now < d.heldBy && now < d.renewAt
}
