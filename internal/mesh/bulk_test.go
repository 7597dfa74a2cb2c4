package mesh

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/views"
)

const (
	configTable   = "op"
	upstreamTable = "servers"
	hubMbit       = 200
	storeMbit     = 4000
	storeLatency  = 4 * time.Millisecond
	// storeEncoding is how much larger a row is in the store's responses.
	storeEncoding = 4.0 / 3
)

// applyBound returns the bound for changes to be in force in a deployment of n daemons.
func applyBound(n int) time.Duration {
	switch {
	case n <= maxDirect:
		return 2 * time.Second
	case n <= 100:
		return 3 * time.Second
	}
	return 4 * time.Second
}

// tableStore is a store behind a link of its own.
type tableStore struct {
	net  *network
	host *host

	mu      sync.Mutex
	version int64
	rows    map[string]map[string]views.Row // by table and key
	changed chan struct{}                   // closed at each change
	reads   int
	away    bool // answers nobody
}

func newTableStore(n *network) *tableStore {
	return &tableStore{net: n, host: n.addHost("store", storeMbit), rows: make(map[string]map[string]views.Row), changed: make(chan struct{})}
}

func (s *tableStore) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if s.rows[table] == nil {
		s.rows[table] = make(map[string]views.Row)
	}
	s.rows[table][key] = views.Row{Key: key, Value: value, Version: s.version}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *tableStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// storeClient is one daemon's access to the store.
type storeClient struct {
	*tableStore
	daemon *host
	cut    func() bool
}

func (c storeClient) page(ctx context.Context, table string, after int64) (views.Page, error) {
	c.mu.Lock()
	c.reads++
	p := views.Page{Version: c.version}
	size := 200.0
	for _, r := range c.rows[table] {
		if r.Version > after {
			p.Rows = append(p.Rows, r)
			size += storeEncoding * float64(len(r.Value)+100)
		}
	}
	c.mu.Unlock()
	if !sleepUnless(ctx, storeLatency) {
		return views.Page{}, ctx.Err()
	}
	window := time.Duration(netWindow / c.daemon.down.rate * float64(time.Second))
	for left := int(size); left > 0; left -= netSegment { // ends whatever ctx says, since it makes progress
		c.net.mu.Lock()
		at := c.daemon.down.carry(min(left, netSegment), c.host.up.carry(min(left, netSegment), time.Now()))
		c.net.mu.Unlock()
		time.Sleep(time.Until(at) - window)
	}
	return p, nil
}

func (c storeClient) isAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.away || c.cut != nil && c.cut()
}

func (c storeClient) List(ctx context.Context, table string) (views.Page, error) {
	if c.isAway() {
		return views.Page{}, errors.New("store is away")
	}
	return c.page(ctx, table, 0)
}

func (c storeClient) Changes(ctx context.Context, table string, after int64, wait time.Duration) (views.Page, error) {
	for end := time.Now().Add(wait); ; {
		if c.isAway() {
			return views.Page{}, errors.New("store is away")
		}
		c.mu.Lock()
		newer := false
		for _, r := range c.rows[table] {
			newer = newer || r.Version > after
		}
		changed := c.changed
		c.mu.Unlock()
		left := time.Until(end)
		if newer || left <= 0 {
			return c.page(ctx, table, after)
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-ctx.Done():
			return views.Page{}, ctx.Err()
		}
	}
}

// sleepUnless sleeps and returns false if ctx ends before.
func sleepUnless(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// bulkDaemon is a daemon of a bulkFleet.
type bulkDaemon struct {
	*Mesh
	host  *host
	views map[string]*views.View
	cut   bool // cannot reach the store
	kill  context.CancelFunc
	ended func() bool // was killed

	mu       sync.Mutex
	versions map[string][]versionAt // by table
}

// versionAt is when a view had a version.
type versionAt struct {
	version int64
	at      time.Time
}

// reached returns when the daemon had a version of a table, and whether it has it.
func (d *bulkDaemon) reached(table string, version int64) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.versions[table] {
		if v.version >= version {
			return v.at, true
		}
	}
	return time.Time{}, false
}

// bulkFleet is a deployment on a network with limited links, in a synctest bubble. One daemon
// in eight has a link of hubMbit, like the largest VMs, the others have memberMbit.
type bulkFleet struct {
	t       *testing.T
	net     *network
	store   *tableStore
	daemons []*bulkDaemon
	log     bytes.Buffer
	logMu   sync.Mutex
	ctx     context.Context
}

// runBulkFleet starts a deployment with small tables, lets it settle, and runs test.
func runBulkFleet(t *testing.T, n, zones int, memberMbit float64, test func(f *bulkFleet)) {
	newBulkFleet(t, n, zones, memberMbit, func(f *bulkFleet) {
		for _, d := range f.daemons {
			f.start(d)
		}
		time.Sleep(5 * time.Second)
		test(f)
	})
}

// newBulkFleet is like runBulkFleet and leaves it to test to start the daemons.
func newBulkFleet(t *testing.T, n, zones int, memberMbit float64, test func(f *bulkFleet)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		defer boottime.Replace(func() time.Duration { return time.Hour + time.Since(start) })()
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // until all goroutines have noticed
		}()
		f := &bulkFleet{t: t, net: newNetwork(), ctx: ctx}
		f.store = newTableStore(f.net)
		f.store.put(configTable, "config", routesText(10, 0))
		for i := range 40 {
			f.store.put(upstreamTable, fmt.Sprint("u", i), upstreamText(i, "ready"))
		}
		for i := range n {
			f.addDaemon(i, zones, memberMbit)
		}
		f.listAll()
		test(f)
	})
}

func (f *bulkFleet) addDaemon(i, zones int, memberMbit float64) {
	self := &meshpb.Daemon{Name: fmt.Sprintf("d%03d", i), Born: 1, Address: fmt.Sprint("10.0.0.1:", i+1), Zone: fmt.Sprint("z", i%zones), Size: 144}
	mbit := memberMbit
	if i/zones%8 == 0 {
		self.Size, mbit = 800, max(hubMbit, memberMbit)
	}
	d := &bulkDaemon{host: f.net.addHost(self.Address, mbit), views: make(map[string]*views.View), versions: make(map[string][]versionAt)}
	log := hclog.New(&hclog.LoggerOptions{Name: self.Name, Output: f, Level: hclog.Warn})
	source := storeClient{f.store, d.host, func() bool { return d.cut }}
	for _, table := range []string{configTable, upstreamTable} {
		d.views[table] = views.New(source, views.Config{
			Table: table, Log: log,
			MaxWait:        func() time.Duration { return 750 * time.Millisecond },
			PeersReadStore: func() bool { return d.PeersReadStore() },
			Delegated:      func() bool { return d.Delegated(table) },
			ReadDelay:      func() time.Duration { return 100 * time.Millisecond },
			OnChange:       func(rows map[string]views.Row) { d.onChange(table, rows) },
		})
	}
	d.Mesh = New(Config{
		Self: self, Views: d.views, Log: log,
		Fill:        func(*meshpb.State, Recipient, *meshpb.State, uint64) {},
		OnState:     func(*meshpb.State) {},
		LoadVersion: func(string) (uint64, int64) { return 0, 0 },
		StoreUp: func() (time.Duration, time.Duration) {
			v := d.views[upstreamTable]
			return v.UpFor(), v.ReadAge()
		},
		Answer: func(context.Context, *meshpb.Question) *meshpb.Answer { return &meshpb.Answer{Ok: true} },
		Dial:   f.net.dial(d.host),
		Listen: f.net.listen(),
	})
	f.daemons = append(f.daemons, d)
}

// Write collects the daemons' logs.
func (f *bulkFleet) Write(b []byte) (int, error) {
	f.logMu.Lock()
	defer f.logMu.Unlock()
	return f.log.Write(b)
}

func (d *bulkDaemon) onChange(table string, rows map[string]views.Row) {
	newest := int64(0)
	for _, r := range rows {
		newest = max(newest, r.Version)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions[table] = append(d.versions[table], versionAt{newest, time.Now()})
}

// listAll tells all daemons of each other, as the table of daemons does.
func (f *bulkFleet) listAll() {
	var list []*meshpb.Daemon
	for _, d := range f.daemons {
		list = append(list, d.Self)
	}
	for _, d := range f.daemons {
		d.SetListed(list)
	}
}

func (f *bulkFleet) start(d *bulkDaemon) {
	ctx, cancel := context.WithCancel(f.ctx)
	d.kill, d.ended = cancel, func() bool { return ctx.Err() != nil }
	for _, v := range d.views {
		go v.Run(ctx)
	}
	go func() { assert.Check(f.t, d.Run(ctx)) }()
}

// routesText returns a configuration of n routes, which differ as those of operators do.
func routesText(n int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 3))
	word := func(letters int) string {
		b := make([]byte, letters)
		for i := range b {
			b[i] = "abcdefghijklmnopqrstuvwxyz0123456789"[rng.IntN(36)]
		}
		return string(b)
	}
	var b bytes.Buffer
	for range n {
		fmt.Fprintf(&b, `{"name":"r-%s","host":"%s.example","prefix":"/%s/","kind":"streaming","timeoutMs":2500,"sloMs":400,"priority":0,`+
			`"service":"assistant","maxAttempts":2,"authExempt":false,"sticky":true,"resumable":true,"gapSloMs":400},`, word(7), word(6), word(8))
	}
	return b.Bytes()
}

func upstreamText(i int, state string) []byte {
	return fmt.Appendf(nil, `{"service":"assistant","address":"10.9.0.%d:8342","zone":"z1","version":"v1","slots":16,"state":%q,"seqNo":1}`, i, state)
}

// hubs returns the daemons that act as hubs.
func (f *bulkFleet) hubs() []*bulkDaemon {
	var list []*bulkDaemon
	for _, d := range f.daemons {
		if d.Role() == Hub {
			list = append(list, d)
		}
	}
	return list
}

// slowest returns how long after a time the last daemon had a version of a table, and how
// many do not have it.
func (f *bulkFleet) slowest(table string, version int64, since time.Time) (d time.Duration, missing int) {
	for _, daemon := range f.daemons {
		if daemon.ended() {
			continue
		}
		at, ok := daemon.reached(table, version)
		if !ok {
			missing++
			continue
		}
		d = max(d, at.Sub(since))
	}
	return d, missing
}

// await sleeps until all daemons have a version of a table, but not longer than a time.
func (f *bulkFleet) await(table string, version int64, most time.Duration) {
	for range most / (100 * time.Millisecond) {
		if _, missing := f.slowest(table, version, time.Now()); missing == 0 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// askers makes every member ask its hub five times a second, and returns a function that
// stops that and returns the number of questions and of those without an answer in time.
func (f *bulkFleet) askers() (stop func() (asked, failed int)) {
	ctx, cancel := context.WithCancel(f.ctx)
	var mu sync.Mutex
	var wg sync.WaitGroup
	asked, failed := 0, 0
	for i, d := range f.daemons {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			for sleepUnless(ctx, 200*time.Millisecond) {
				if d.Role() != Member {
					continue
				}
				_, err := d.AskHub(ctx, &meshpb.Question{Customer: "c", Cost: 1})
				mu.Lock()
				if asked++; err != nil && ctx.Err() == nil {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	return func() (int, int) {
		cancel()
		wg.Wait()
		return asked, failed
	}
}

// TestLargeConfigurationDelaysNothing writes a large configuration and, while it is under
// way, the leaving of an upstream. Both must be in force at all daemons within the bound of
// the deployment, and every question about a limit must be answered in time.
func TestLargeConfigurationDelaysNothing(t *testing.T) {
	for _, tt := range []struct {
		n, zones, routes int
		mbit             float64
	}{{6, 3, 10000, 10}, {69, 3, 100, 10}, {69, 3, 1400, 10}, {69, 3, 2800, 10}, {69, 3, 4000, 10}, {69, 3, 10000, 10}, {69, 3, 10000, 25}, {295, 5, 4000, 20}, {295, 5, 10000, 20}} {
		t.Run(fmt.Sprintf("%d daemons, %d routes, %g Mbit/s", tt.n, tt.routes, tt.mbit), func(t *testing.T) {
			runBulkFleet(t, tt.n, tt.zones, tt.mbit, func(f *bulkFleet) {
				stop := f.askers()
				time.Sleep(time.Second)
				began := time.Now()
				config := f.store.put(configTable, "config", routesText(tt.routes, 1))
				time.Sleep(200 * time.Millisecond)
				leaveAt := time.Now()
				leaving := f.store.put(upstreamTable, "u7", upstreamText(7, "draining"))
				f.await(configTable, config, 2*applyBound(tt.n))
				f.await(upstreamTable, leaving, 2*applyBound(tt.n))
				asked, failed := stop()
				inForce, lacking := f.slowest(configTable, config, began)
				left, unaware := f.slowest(upstreamTable, leaving, leaveAt)
				t.Logf("configuration in force after %v, lacking at %d; leaving known after %v, unknown at %d; %d of %d questions unanswered",
					inForce, lacking, left, unaware, failed, asked)
				assert.Check(t, lacking == 0 && inForce < applyBound(tt.n), "configuration in force after %v, not at %d daemons", inForce, lacking)
				assert.Check(t, unaware == 0 && left < applyBound(tt.n)/2, "leaving known after %v, not at %d daemons", left, unaware)
				assert.Check(t, failed == 0, "%d of %d questions were not answered in time", failed, asked)
			})
		})
	}
}

// TestHubsKilledDuringRead kills two of three hubs while their members read a large
// configuration. It must be in force at all others within the bound all the same.
func TestHubsKilledDuringRead(t *testing.T) {
	const n = 69
	runBulkFleet(t, n, 3, 10, func(f *bulkFleet) {
		began := time.Now()
		config := f.store.put(configTable, "config", routesText(10000, 1))
		time.Sleep(600 * time.Millisecond) // some have read it, others a part
		_, lacking := f.slowest(configTable, config, began)
		assert.Assert(t, lacking > 0, "no daemon is reading any more")
		for _, h := range f.hubs()[:2] {
			h.kill()
		}
		f.await(configTable, config, 2*applyBound(n))
		inForce, lacking := f.slowest(configTable, config, began)
		t.Logf("in force after %v", inForce)
		assert.Assert(t, lacking == 0 && inForce < applyBound(n), "in force after %v, not at %d daemons", inForce, lacking)
	})
}

// TestTableChangesFasterThanItIsRead writes a large configuration ten times a second. Every
// daemon must get ever newer versions meanwhile, and the last one in time.
func TestTableChangesFasterThanItIsRead(t *testing.T) {
	const n = 15
	runBulkFleet(t, n, 3, 10, func(f *bulkFleet) {
		began := time.Now()
		last := int64(0)
		for i := range 60 {
			last = f.store.put(configTable, "config", routesText(8000, uint64(i)))
			time.Sleep(100 * time.Millisecond)
		}
		lastAt := time.Now()
		time.Sleep(2 * applyBound(n))
		inForce, lacking := f.slowest(configTable, last, lastAt)
		assert.Assert(t, lacking == 0 && inForce < applyBound(n), "the last one is in force after %v, not at %d daemons", inForce, lacking)
		for _, d := range f.daemons {
			before := began
			for _, v := range d.versions[configTable] {
				if v.at.Before(began) {
					continue
				}
				assert.Assert(t, v.at.Sub(before) < applyBound(n), "%s had no newer version for %v", d.Self.Name, v.at.Sub(before))
				before = v.at
			}
		}
	})
}

// TestHubThatDoesNotDeliverIsBypassed lets every connection on which members read tables from
// hubs go silent, while those for States work. All members must notice, say so, and have the
// configuration in time; together they must not overload the store.
func TestHubThatDoesNotDeliverIsBypassed(t *testing.T) {
	const n = 69
	runBulkFleet(t, n, 3, 10, func(f *bulkFleet) {
		f.net.silence(2) // the first one is for States
		members := 0
		for _, d := range f.daemons {
			if d.Role() == Member {
				members++
			}
		}
		reads := f.store.readCount()
		began := time.Now()
		config := f.store.put(configTable, "config", routesText(1400, 1))
		time.Sleep(applyBound(n))
		inForce, lacking := f.slowest(configTable, config, began)
		made := f.store.readCount() - reads
		t.Logf("in force after %v; %d reads of the store in %v by %d members", inForce, made, applyBound(n), members)
		assert.Check(t, lacking == 0 && inForce < applyBound(n), "in force after %v, not at %d daemons", inForce, lacking)
		assert.Check(t, made < 6*members, "%d reads of the store", made)
		f.logMu.Lock()
		defer f.logMu.Unlock()
		assert.Check(t, strings.Count(f.log.String(), "hub bypassed: table=op") >= members*9/10, "%d members", members)
	})
}

// TestLeavingKnownAfterHubsAreKilled kills all hubs at the moment at which an upstream
// announces that it leaves. All others must know it within the bound.
func TestLeavingKnownAfterHubsAreKilled(t *testing.T) {
	for _, n := range []int{15, 69, 150} {
		runBulkFleet(t, n, 3, 10, func(f *bulkFleet) {
			time.Sleep(time.Duration(n) * time.Millisecond)
			for _, h := range f.hubs() {
				h.kill()
			}
			began := time.Now()
			leaving := f.store.put(upstreamTable, "u7", upstreamText(7, "draining"))
			f.await(upstreamTable, leaving, 2*applyBound(n))
			known, unaware := f.slowest(upstreamTable, leaving, began)
			t.Logf("%d daemons: leaving known after %v", n, known)
			assert.Check(t, unaware == 0 && known < applyBound(n), "%d daemons: leaving known after %v, not at %d", n, known, unaware)
		})
	}
}

// TestLargeConfigurationAtStart starts all daemons at once, none of them on a fast link, when
// the store has a large configuration. All must have it in the time allowed for a recovery.
func TestLargeConfigurationAtStart(t *testing.T) {
	const mbit, recovery = 10, 12 * time.Second
	for _, n := range []int{6, 69, 295} {
		newBulkFleet(t, n, 3, mbit, func(f *bulkFleet) {
			for _, d := range f.daemons {
				d.host.up.rate, d.host.down.rate = mbit*bytesPerMbit, mbit*bytesPerMbit
			}
			config := f.store.put(configTable, "config", routesText(10000, 1))
			began := time.Now()
			for _, d := range f.daemons {
				f.start(d)
			}
			f.await(configTable, config, 2*recovery)
			inForce, lacking := f.slowest(configTable, config, began)
			t.Logf("%d daemons: in force after %v", n, inForce)
			assert.Check(t, lacking == 0 && inForce < recovery, "%d daemons: in force after %v, not at %d", n, inForce, lacking)
		})
	}
}
