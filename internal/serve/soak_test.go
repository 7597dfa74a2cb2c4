package serve_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/dispatch"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
	"github.com/lagoonmux/lagoonmux/internal/serve"
)

const (
	daemonCount   = 3
	faultDuration = 40 * time.Second // of the phase with faults, in the bubble's time
	settleTime    = 5 * time.Minute  // until late commits and withdrawals have taken effect
	lotTokens     = 12
)

// simulation holds what the daemons of one soak run share. It runs in a synctest bubble
// with its own clock.
type simulation struct {
	mu         sync.Mutex
	rng        *rand.Rand
	rates      faultRates
	faultsOff  bool           // end of the phase with faults
	runsByKey  map[string]int // by idempotency key
	runsByCall map[string]int // by call id
	violations []string       // of invariants
	table      *platform.MemoryTable
	objects    *platform.MemoryObjects
	lots       []*serve.Lots
	dead       []bool
}

// faultRates are the probabilities of faults, for each operation.
type faultRates struct{ down, lost, dropped, delayed, pause, refuse, cut float64 }

func (sim *simulation) chance(rate float64) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return !sim.faultsOff && sim.rng.Float64() < rate
}

func (sim *simulation) randomDuration(limit time.Duration) time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Duration(sim.rng.Int64N(int64(limit)))
}

func (sim *simulation) isDead(i int) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.dead[i]
}

func (sim *simulation) violation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// simDaemon simulates the table, the object store, the upstreams and the peers of one
// daemon. A pause in any of them simulates a pause of the daemon.
type simDaemon struct {
	*simulation
	index int
}

func (d simDaemon) pause() {
	if d.chance(d.rates.pause) {
		time.Sleep(d.randomDuration(45 * time.Second))
	}
}

func (d simDaemon) Commit(ctx context.Context, token string, writes []platform.Write) error {
	d.pause()
	defer d.pause()
	if d.isDead(d.index) || d.chance(d.rates.down) {
		return platform.ErrUnavailable
	}
	time.Sleep(d.randomDuration(20 * time.Millisecond))
	if d.chance(d.rates.dropped) {
		return platform.ErrOutcomeUnknown
	}
	if d.chance(d.rates.delayed) {
		late := d.randomDuration(time.Minute)
		go func() {
			time.Sleep(late)
			_ = d.table.Commit(context.Background(), token, writes)
		}()
		return platform.ErrOutcomeUnknown
	}
	err := d.table.Commit(ctx, token, writes)
	if d.chance(d.rates.lost) {
		return platform.ErrOutcomeUnknown
	}
	return err
}

func (d simDaemon) Get(ctx context.Context, key string) (platform.Row, error) {
	d.pause()
	if d.isDead(d.index) || d.chance(d.rates.down) {
		return platform.Row{}, platform.ErrUnavailable
	}
	return d.table.Get(ctx, key)
}

func (d simDaemon) Scan(ctx context.Context, partition, after string, limit int) ([]platform.Row, error) {
	if d.isDead(d.index) || d.chance(d.rates.down) {
		return nil, platform.ErrUnavailable
	}
	return d.table.Scan(ctx, partition, after, limit)
}

// simObjects simulates the object store of one daemon.
type simObjects struct{ simDaemon }

func (s simObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if s.isDead(s.index) || s.chance(s.rates.down) {
		return nil, platform.ErrUnavailable
	}
	return s.objects.Get(ctx, name)
}

func (s simObjects) Put(ctx context.Context, name string, data []byte) error {
	s.pause()
	if s.isDead(s.index) || s.chance(s.rates.down) {
		return platform.ErrUnavailable
	}
	return s.objects.Put(ctx, name, data)
}

func (s simObjects) Delete(ctx context.Context, name string) error {
	return s.objects.Delete(ctx, name)
}

func (d simDaemon) Stream(context.Context, *call.Call, call.Sink) error { return nil }

// Plain simulates an upstream that runs the call, refuses it, or runs it but loses the
// response. The pause before that simulates a daemon that is paused between the
// dispatching commit and the first byte.
func (d simDaemon) Plain(ctx context.Context, c *call.Call) (*call.Response, error) {
	d.pause()
	if ctx.Err() != nil || d.isDead(d.index) {
		return nil, call.NotRunError("dispatch", "u", 504, errors.New("not sent"))
	}
	if d.chance(d.rates.refuse) {
		return nil, call.NotRunError("dispatch", "u", 503, errors.New("overloaded"))
	}
	d.mu.Lock()
	d.runsByKey[c.IdempotencyKey]++
	d.runsByCall[c.ID]++
	n := d.runsByKey[c.IdempotencyKey]
	d.mu.Unlock()
	if n > 1 {
		d.violation("key %s ran %d times", c.IdempotencyKey, n)
	}
	time.Sleep(d.randomDuration(200 * time.Millisecond))
	if d.chance(d.rates.cut) {
		return nil, call.MayHaveRunError("dispatch", "u", 502, errors.New("response lost"))
	}
	return &call.Response{Status: 200, Body: []byte("for " + c.IdempotencyKey)}, nil
}

// Resume simulates a model upstream whose response may break off after any token.
func (d simDaemon) Resume(ctx context.Context, c *call.Call, partial dispatch.PartialResponse, sink call.Sink) error {
	for i := partial.Tokens; i < c.MaxTokens; i++ {
		time.Sleep(d.randomDuration(4 * time.Second))
		d.pause()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if d.chance(d.rates.cut) || d.isDead(d.index) {
			return call.MayHaveRunError("dispatch", "u", 502, errors.New("cut"))
		}
		finish := ""
		if i == c.MaxTokens-1 {
			finish = "length"
		}
		if err := sink.Token(call.Token{Index: i, Text: completion.TokenAt(c.Prompt, i), Finish: finish}); err != nil {
			return err
		}
	}
	return nil
}

// HandOver hands a lot over to a live daemon. It may return an error although the daemon
// accepted the lot.
func (d simDaemon) HandOver(ctx context.Context, _ string, body []byte) (string, error) {
	for i, l := range d.lots {
		if i == d.index || d.isDead(i) || !l.Receive(ctx, strconv.Itoa(d.index), body) {
			continue
		}
		if d.chance(d.rates.lost) {
			return strconv.Itoa(i), errors.New("response lost")
		}
		return strconv.Itoa(i), nil
	}
	return "", errors.New("no daemon accepts the lot")
}

func drawFaultRates(t *rapid.T) faultRates {
	rate := func(name string) float64 { return rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, name) }
	return faultRates{
		down: rate("down"), lost: rate("lost"), dropped: rate("dropped"), delayed: rate("delayed"),
		pause: rate("pause") / 2, refuse: rate("refuse"), cut: rate("cut"),
	}
}

// TestSoak runs the recorders and lots of three daemons with random faults, in simulated
// time, and checks the invariants of the ledger. With SOAK_SECONDS it repeats the runs
// for that many seconds.
func TestSoak(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("SOAK_SECONDS"))
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	rounds := 0
	for first := true; first || time.Now().Before(end); first = false {
		rapid.Check(t, func(rt *rapid.T) {
			r := drawFaultRates(rt)
			seed := rapid.Uint64().Draw(rt, "seed")
			sim := &simulation{rates: r, rng: rand.New(rand.NewPCG(seed, 1))}
			synctest.Test(t, func(t *testing.T) { sim.run(t) })
			rounds++
			if len(sim.violations) > 0 {
				rt.Fatalf("invariants violated with fault rates %+v seed %d: %v", r, seed, sim.violations)
			}
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("rounds=%d each_seconds=%d", rounds, int(faultDuration.Seconds()))
}

// run executes one run: a phase with faults, then one without, in which all requests must
// end.
func (sim *simulation) run(t *testing.T) {
	sim.runsByKey, sim.runsByCall = make(map[string]int), make(map[string]int)
	sim.table, sim.objects = platform.NewMemoryTable(), platform.NewMemoryObjects()
	sim.dead = make([]bool, daemonCount)
	m := manifest.NewActive(1, &manifest.Manifest{
		Services:  []manifest.Service{{Name: "fortune"}, {Name: "orders"}},
		Customers: []manifest.Customer{{Name: "bakery"}},
	})
	var current manifest.Current
	current.Advance(m)
	ctx, cancel := context.WithCancel(t.Context())
	recorders := make([]*serve.Recorder, daemonCount)
	writers := make([]*batch.Writer, daemonCount)
	var tasks, callers sync.WaitGroup
	for i := range daemonCount {
		d := simDaemon{sim, i}
		writers[i] = batch.New(d, batch.Options{Daemons: 1})
		recorders[i] = serve.NewRecorder(strconv.Itoa(i), d, simObjects{d}, writers[i], d, hclog.NewNullLogger())
		sim.lots = append(sim.lots, serve.NewLots(serve.LotsConfig{
			Daemon: strconv.Itoa(i), Table: d, Objects: simObjects{d}, Writer: writers[i], Admitter: serve.Unlimited{},
			Dispatcher: d, Manifests: &current, Peers: d, Log: hclog.NewNullLogger(),
		}))
		sim.lots[i].SetDaemons(daemonCount)
	}
	for _, l := range sim.lots {
		tasks.Go(func() { _ = l.Run(ctx) })
	}
	for key := range 6 {
		for repeat := range 3 {
			callers.Go(func() { sim.sendCall(ctx, m, recorders, fmt.Sprint("k", key), fmt.Sprint("k", key, "-", repeat)) })
		}
	}
	for n := range 4 {
		callers.Go(func() { sim.submitLot(ctx, m, n) })
	}
	tasks.Go(func() { sim.stopOneDaemon(ctx) })
	time.Sleep(faultDuration)
	sim.mu.Lock()
	sim.faultsOff = true
	sim.mu.Unlock()
	callers.Wait()
	cancel()
	tasks.Wait()
	for i := range daemonCount {
		sim.lots[i].HandOver(context.Background())
		recorders[i].Close(context.Background())
		writers[i].Close()
	}
}

// stopOneDaemon stops a random daemon at a random time, in half of the cases after it has
// handed its lots over.
func (sim *simulation) stopOneDaemon(ctx context.Context) {
	time.Sleep(sim.randomDuration(faultDuration))
	i := int(sim.randomDuration(daemonCount))
	if sim.chance(0.5) {
		sim.lots[i].HandOver(ctx)
	}
	sim.mu.Lock()
	sim.dead[i] = true
	sim.mu.Unlock()
}

// sendCall sends one call with the key to a random daemon. It checks that the result is
// correct: a response comes from the key's only run, and a call reported as not run has not
// run.
func (sim *simulation) sendCall(ctx context.Context, m *manifest.Active, recorders []*serve.Recorder, key, id string) {
	time.Sleep(sim.randomDuration(faultDuration))
	i := int(sim.randomDuration(daemonCount))
	c := &call.Call{
		ID: id, Customer: &m.Customers[0], Service: m.Service("orders"), Method: "POST", Path: "/orders",
		Body: []byte(key), IdempotencyKey: key, Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second),
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	resp, err := recorders[i].Plain(ctx, c)
	cancel()
	if sim.isDead(i) {
		return // the caller's connection broke
	}
	time.Sleep(settleTime)
	sim.mu.Lock()
	ran, keyRan := sim.runsByCall[id], sim.runsByKey[key]
	sim.mu.Unlock()
	var ce *call.Error
	switch {
	case err == nil && (string(resp.Body) != "for "+key || keyRan != 1):
		sim.violation("call %s got response %q, its key ran %d times", id, resp.Body, keyRan)
	case errors.As(err, &ce) && ce.Outcome == call.NotRun && ran > 0:
		sim.violation("call %s has outcome not-run, but ran", id)
	}
}

// submitLot submits a lot (non-repeatable if n is odd) to a random daemon and waits for
// its result.
func (sim *simulation) submitLot(ctx context.Context, m *manifest.Active, n int) {
	time.Sleep(sim.randomDuration(faultDuration))
	i := int(sim.randomDuration(daemonCount))
	key := fmt.Sprint("lot", n)
	c := &call.Call{
		Manifest: m, Customer: &m.Customers[0], Service: m.Service("fortune"), Prompt: "wedding", MaxTokens: lotTokens,
		Repeatable: true, IdempotencyKey: key, Deadline: time.Now().Add(time.Hour),
	}
	nonRepeatable := n%2 == 1
	if nonRepeatable {
		c.Service, c.Prompt, c.MaxTokens, c.Repeatable, c.Body = m.Service("orders"), "", 0, false, []byte("seat")
	}
	id, err := sim.lots[i].Accept(ctx, c)
	if err != nil || sim.isDead(i) {
		return
	}
	for waited := time.Duration(0); ; waited += time.Second {
		s, err := sim.lots[sim.liveDaemon()].Status(ctx, "bakery", id)
		switch {
		case err == nil && s.Ended():
			sim.checkResult(s, nonRepeatable, key)
			return
		case waited > 2*time.Hour:
			sim.violation("lot %s did not end: status %+v, error %v", id, s, err)
			return
		}
		time.Sleep(time.Second)
	}
}

func (sim *simulation) liveDaemon() int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for i, dead := range sim.dead {
		if !dead {
			return i
		}
	}
	return 0
}

func (sim *simulation) checkResult(s *serve.Status, nonRepeatable bool, key string) {
	switch {
	case nonRepeatable && s.Outcome == "answered" && string(s.Response.Body) != "for "+key:
		sim.violation("non-repeatable lot %s got response %q", key, s.Response.Body)
	case nonRepeatable && s.Outcome == "not-run":
		sim.violation("non-repeatable lot %s was accepted, but not run: %s", key, s.Reason)
	case !nonRepeatable && (s.Outcome != "answered" || s.Text != expectedText(lotTokens)):
		sim.violation("lot %s has a wrong result: %+v", key, s)
	}
}
