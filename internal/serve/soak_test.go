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
	faultDuration = 40 * time.Second // of faults, by the bubble's clock
	settleTime    = 5 * time.Minute
	lotTokens     = 12
)

// simulation is what the daemons of one soak run share. Its clock is the bubble's.
type simulation struct {
	mu         sync.Mutex
	rng        *rand.Rand
	rates      faultRates
	faultsOff  bool
	runsByKey  map[string]int // by idempotency key
	runsByCall map[string]int // by id of the call
	violations []string       // broken invariants
	table      *platform.Memory
	objects    *platform.MemoryObjects
	lots       []*serve.Lots
	dead       []bool
}

// faultRates are shares of operations that fail.
type faultRates struct{ down, lost, dropped, delayed, pause, refuse, cut float64 }

func (w *simulation) chance(rate float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.faultsOff && w.rng.Float64() < rate
}

func (w *simulation) randomDuration(limit time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.Int64N(int64(limit)))
}

func (w *simulation) isDead(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[i]
}

func (w *simulation) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// simDaemon is the world as one daemon meets it: its table, objects, upstreams and
// peers. A pause at any of these is a pause of the daemon.
type simDaemon struct {
	*simulation
	index int
}

func (v simDaemon) pause() {
	if v.chance(v.rates.pause) {
		time.Sleep(v.randomDuration(45 * time.Second))
	}
}

func (v simDaemon) Commit(ctx context.Context, token string, writes []platform.Write) error {
	v.pause()
	defer v.pause()
	if v.isDead(v.index) || v.chance(v.rates.down) {
		return platform.ErrUnavailable
	}
	time.Sleep(v.randomDuration(20 * time.Millisecond))
	if v.chance(v.rates.dropped) {
		return platform.ErrUnknown
	}
	if v.chance(v.rates.delayed) {
		late := v.randomDuration(time.Minute)
		go func() {
			time.Sleep(late)
			_ = v.table.Commit(context.Background(), token, writes)
		}()
		return platform.ErrUnknown
	}
	err := v.table.Commit(ctx, token, writes)
	if v.chance(v.rates.lost) {
		return platform.ErrUnknown
	}
	return err
}

func (v simDaemon) Get(ctx context.Context, key string) (platform.Row, error) {
	v.pause()
	if v.isDead(v.index) || v.chance(v.rates.down) {
		return platform.Row{}, platform.ErrUnavailable
	}
	return v.table.Get(ctx, key)
}

func (v simDaemon) Scan(ctx context.Context, partition, after string, limit int) ([]platform.Row, error) {
	if v.isDead(v.index) || v.chance(v.rates.down) {
		return nil, platform.ErrUnavailable
	}
	return v.table.Scan(ctx, partition, after, limit)
}

// simObjects is the object store as a daemon meets it.
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

func (v simDaemon) Stream(context.Context, *call.Call, call.Sink) error { return nil }

// Plain is an upstream that runs the call, refuses it, or loses its answer. A
// pause before it is a daemon that is paused between commit and first byte.
func (v simDaemon) Plain(ctx context.Context, c *call.Call) (*call.Response, error) {
	v.pause()
	if ctx.Err() != nil || v.isDead(v.index) {
		return nil, call.NotRunError("dispatch", "u", 504, errors.New("not sent"))
	}
	if v.chance(v.rates.refuse) {
		return nil, call.NotRunError("dispatch", "u", 503, errors.New("overloaded"))
	}
	v.mu.Lock()
	v.runsByKey[c.IdempotencyKey]++
	v.runsByCall[c.ID]++
	n := v.runsByKey[c.IdempotencyKey]
	v.mu.Unlock()
	if n > 1 {
		v.violation("key %s ran %d times", c.IdempotencyKey, n)
	}
	time.Sleep(v.randomDuration(200 * time.Millisecond))
	if v.chance(v.rates.cut) {
		return nil, call.MayHaveRunError("dispatch", "u", 502, errors.New("answer lost"))
	}
	return &call.Response{Status: 200, Body: []byte("for " + c.IdempotencyKey)}, nil
}

// Resume is an engine that may be cut after any token.
func (v simDaemon) Resume(ctx context.Context, c *call.Call, kept dispatch.Kept, sink call.Sink) error {
	for i := kept.Tokens; i < c.MaxTokens; i++ {
		time.Sleep(v.randomDuration(4 * time.Second))
		v.pause()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if v.chance(v.rates.cut) || v.isDead(v.index) {
			return call.MayHaveRunError("dispatch", "u", 502, errors.New("cut"))
		}
		finish := ""
		if i == c.MaxTokens-1 {
			finish = "length"
		}
		if err := sink.Token(call.Token{Index: i, Text: completion.WordAt(c.Prompt, i), Finish: finish}); err != nil {
			return err
		}
	}
	return nil
}

// HandOver gives a lot to a living daemon, and may lose the answer.
func (v simDaemon) HandOver(ctx context.Context, _ string, body []byte) (string, error) {
	for i, l := range v.lots {
		if i == v.index || v.isDead(i) || !l.Receive(ctx, strconv.Itoa(v.index), body) {
			continue
		}
		if v.chance(v.rates.lost) {
			return strconv.Itoa(i), errors.New("answer lost")
		}
		return strconv.Itoa(i), nil
	}
	return "", errors.New("no daemon takes it")
}

func drawFaultRates(t *rapid.T) faultRates {
	rate := func(name string) float64 { return rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, name) }
	return faultRates{
		down: rate("down"), lost: rate("lost"), dropped: rate("dropped"), delayed: rate("delayed"),
		pause: rate("pause") / 2, refuse: rate("refuse"), cut: rate("cut"),
	}
}

// TestSoak runs three daemons' recorders and lots under drawn faults, on the
// clock of a bubble, and asserts the ledger's invariants. SOAK_SECONDS makes
// it go on for so long.
func TestSoak(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("SOAK_SECONDS"))
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	rounds := 0
	for first := true; first || time.Now().Before(end); first = false {
		rapid.Check(t, func(rt *rapid.T) {
			r := drawFaultRates(rt)
			seed := rapid.Uint64().Draw(rt, "seed")
			w := &simulation{rates: r, rng: rand.New(rand.NewPCG(seed, 1))}
			synctest.Test(t, func(t *testing.T) { w.run(t) })
			rounds++
			if len(w.violations) > 0 {
				rt.Fatalf("rates %+v seed %d: %v", r, seed, w.violations)
			}
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("rounds=%d each_seconds=%d", rounds, int(faultDuration.Seconds()))
}

// run is one run: faults for a while, then a calm in which all must settle.
func (w *simulation) run(t *testing.T) {
	w.runsByKey, w.runsByCall = make(map[string]int), make(map[string]int)
	w.table, w.objects = platform.NewMemory(), platform.NewMemoryObjects()
	w.dead = make([]bool, daemonCount)
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
		v := simDaemon{w, i}
		writers[i] = batch.New(v, batch.Options{Daemons: 1})
		recorders[i] = serve.NewRecorder(strconv.Itoa(i), v, simObjects{v}, writers[i], v, hclog.NewNullLogger())
		w.lots = append(w.lots, serve.NewLots(serve.LotsConfig{
			Daemon: strconv.Itoa(i), Table: v, Objects: simObjects{v}, Writer: writers[i], Admitter: serve.Unlimited{},
			Dispatcher: v, Manifests: &current, Peers: v, Log: hclog.NewNullLogger(),
		}))
		w.lots[i].SetDaemons(daemonCount)
	}
	for _, l := range w.lots {
		tasks.Go(func() { _ = l.Run(ctx) })
	}
	for key := range 6 {
		for repeat := range 3 {
			callers.Go(func() { w.sendCall(ctx, m, recorders, fmt.Sprint("k", key), fmt.Sprint("k", key, "-", repeat)) })
		}
	}
	for n := range 4 {
		callers.Go(func() { w.submitLot(ctx, m, n) })
	}
	tasks.Go(func() { w.stopOneDaemon(ctx) })
	time.Sleep(faultDuration)
	w.mu.Lock()
	w.faultsOff = true
	w.mu.Unlock()
	callers.Wait()
	cancel()
	tasks.Wait()
	for i := range daemonCount {
		w.lots[i].HandOver(context.Background())
		recorders[i].Close(context.Background())
		writers[i].Close()
	}
}

// stopOneDaemon kills one daemon or lets it leave, at some time.
func (w *simulation) stopOneDaemon(ctx context.Context) {
	time.Sleep(w.randomDuration(faultDuration))
	i := int(w.randomDuration(daemonCount))
	if w.chance(0.5) {
		w.lots[i].HandOver(ctx)
	}
	w.mu.Lock()
	w.dead[i] = true
	w.mu.Unlock()
}

// sendCall sends one call for key to some daemon and judges what it is told.
func (w *simulation) sendCall(ctx context.Context, m *manifest.Active, recorders []*serve.Recorder, key, id string) {
	time.Sleep(w.randomDuration(faultDuration))
	i := int(w.randomDuration(daemonCount))
	c := &call.Call{
		ID: id, Customer: &m.Customers[0], Service: m.Service("orders"), Method: "POST", Path: "/orders",
		Body: []byte(key), IdempotencyKey: key, Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second),
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	resp, err := recorders[i].Plain(ctx, c)
	cancel()
	if w.isDead(i) {
		return // the caller saw a broken connection
	}
	time.Sleep(settleTime)
	w.mu.Lock()
	ran, keyRan := w.runsByCall[id], w.runsByKey[key]
	w.mu.Unlock()
	var ce *call.Error
	switch {
	case err == nil && (string(resp.Body) != "for "+key || keyRan != 1):
		w.violation("call %s answered with %q, %d runs", id, resp.Body, keyRan)
	case errors.As(err, &ce) && ce.Outcome == call.NotRun && ran > 0:
		w.violation("call %s was told not-run and ran", id)
	}
}

// submitLot has a lot or booking accepted by some daemon and waits for its end.
func (w *simulation) submitLot(ctx context.Context, m *manifest.Active, n int) {
	time.Sleep(w.randomDuration(faultDuration))
	i := int(w.randomDuration(daemonCount))
	key := fmt.Sprint("lot", n)
	c := &call.Call{
		Manifest: m, Customer: &m.Customers[0], Service: m.Service("fortune"), Prompt: "wedding", MaxTokens: lotTokens,
		Repeatable: true, IdempotencyKey: key, Deadline: time.Now().Add(time.Hour),
	}
	booking := n%2 == 1
	if booking {
		c.Service, c.Prompt, c.MaxTokens, c.Repeatable, c.Body = m.Service("orders"), "", 0, false, []byte("seat")
	}
	id, err := w.lots[i].Accept(ctx, c)
	if err != nil || w.isDead(i) {
		return
	}
	for waited := time.Duration(0); ; waited += time.Second {
		s, err := w.lots[w.liveDaemon()].Status(ctx, "bakery", id)
		switch {
		case err == nil && s.Ended():
			w.checkResult(s, booking, key)
			return
		case waited > 2*time.Hour:
			w.violation("lot %s did not end: %+v %v", id, s, err)
			return
		}
		time.Sleep(time.Second)
	}
}

func (w *simulation) liveDaemon() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, dead := range w.dead {
		if !dead {
			return i
		}
	}
	return 0
}

func (w *simulation) checkResult(s *serve.Status, booking bool, key string) {
	switch {
	case booking && s.Outcome == "answered" && string(s.Response.Body) != "for "+key:
		w.violation("booking %s answered with %q", key, s.Response.Body)
	case booking && s.Outcome == "not-run":
		w.violation("booking %s was accepted and not run: %s", key, s.Reason)
	case !booking && (s.Outcome != "answered" || s.Text != expectedText(lotTokens)):
		w.violation("lot %s: %+v", key, s)
	}
}
