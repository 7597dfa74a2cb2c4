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
	soakDaemons = 3
	soakSpan    = 40 * time.Second // of faults, by the bubble's clock
	soakSettle  = 5 * time.Minute
	lotTokens   = 12
)

// world is what the daemons of one soak run share. Its clock is the bubble's.
type world struct {
	mu      sync.Mutex
	rng     *rand.Rand
	rates   rates
	calm    bool
	runs    map[string]int // by idempotency key
	ranCall map[string]int // by id of the call
	faults  []string       // broken invariants
	table   *platform.Memory
	objects *platform.MemoryObjects
	lots    []*serve.Lots
	dead    []bool
}

// rates are shares of operations that fail.
type rates struct{ down, lost, dropped, delayed, pause, refuse, cut float64 }

func (w *world) hit(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.calm && w.rng.Float64() < share
}

func (w *world) span(most time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.Int64N(int64(most)))
}

func (w *world) isDead(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[i]
}

func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// view is the world as one daemon meets it: its table, objects, upstreams and
// peers. A pause at any of these is a pause of the daemon.
type view struct {
	*world
	i int
}

func (v view) pause() {
	if v.hit(v.rates.pause) {
		time.Sleep(v.span(45 * time.Second))
	}
}

func (v view) Commit(ctx context.Context, token string, writes []platform.Write) error {
	v.pause()
	defer v.pause()
	if v.isDead(v.i) || v.hit(v.rates.down) {
		return platform.ErrUnavailable
	}
	time.Sleep(v.span(20 * time.Millisecond))
	if v.hit(v.rates.dropped) {
		return platform.ErrUnknown
	}
	if v.hit(v.rates.delayed) {
		late := v.span(time.Minute)
		go func() {
			time.Sleep(late)
			_ = v.table.Commit(context.Background(), token, writes)
		}()
		return platform.ErrUnknown
	}
	err := v.table.Commit(ctx, token, writes)
	if v.hit(v.rates.lost) {
		return platform.ErrUnknown
	}
	return err
}

func (v view) Get(ctx context.Context, key string) (platform.Row, error) {
	v.pause()
	if v.isDead(v.i) || v.hit(v.rates.down) {
		return platform.Row{}, platform.ErrUnavailable
	}
	return v.table.Get(ctx, key)
}

func (v view) Scan(ctx context.Context, partition, after string, limit int) ([]platform.Row, error) {
	if v.isDead(v.i) || v.hit(v.rates.down) {
		return nil, platform.ErrUnavailable
	}
	return v.table.Scan(ctx, partition, after, limit)
}

// store is the object store as a daemon meets it.
type store struct{ view }

func (s store) Get(ctx context.Context, name string) ([]byte, error) {
	if s.isDead(s.i) || s.hit(s.rates.down) {
		return nil, platform.ErrUnavailable
	}
	return s.objects.Get(ctx, name)
}

func (s store) Put(ctx context.Context, name string, data []byte) error {
	s.pause()
	if s.isDead(s.i) || s.hit(s.rates.down) {
		return platform.ErrUnavailable
	}
	return s.objects.Put(ctx, name, data)
}

func (s store) Delete(ctx context.Context, name string) error { return s.objects.Delete(ctx, name) }

func (v view) Stream(context.Context, *call.Call, call.Sink) error { return nil }

// Plain is an upstream that runs the call, refuses it, or loses its answer. A
// pause before it is a daemon that is paused between commit and first byte.
func (v view) Plain(ctx context.Context, c *call.Call) (*call.Reply, error) {
	v.pause()
	if ctx.Err() != nil || v.isDead(v.i) {
		return nil, call.Refused("dispatch", "u", 504, errors.New("not sent"))
	}
	if v.hit(v.rates.refuse) {
		return nil, call.Refused("dispatch", "u", 503, errors.New("overloaded"))
	}
	v.mu.Lock()
	v.runs[c.IdempotencyKey]++
	v.ranCall[c.ID]++
	n := v.runs[c.IdempotencyKey]
	v.mu.Unlock()
	if n > 1 {
		v.broken("key %s ran %d times", c.IdempotencyKey, n)
	}
	time.Sleep(v.span(200 * time.Millisecond))
	if v.hit(v.rates.cut) {
		return nil, call.Lost("dispatch", "u", 502, errors.New("answer lost"))
	}
	return &call.Reply{Status: 200, Body: []byte("for " + c.IdempotencyKey)}, nil
}

// Resume is an engine that may be cut after any token.
func (v view) Resume(ctx context.Context, c *call.Call, kept dispatch.Kept, sink call.Sink) error {
	for i := kept.Tokens; i < c.MaxTokens; i++ {
		time.Sleep(v.span(4 * time.Second))
		v.pause()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if v.hit(v.rates.cut) || v.isDead(v.i) {
			return call.Lost("dispatch", "u", 502, errors.New("cut"))
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
func (v view) HandOver(ctx context.Context, _ string, body []byte) (string, error) {
	for i, l := range v.lots {
		if i == v.i || v.isDead(i) || !l.Receive(ctx, strconv.Itoa(v.i), body) {
			continue
		}
		if v.hit(v.rates.lost) {
			return strconv.Itoa(i), errors.New("answer lost")
		}
		return strconv.Itoa(i), nil
	}
	return "", errors.New("no daemon takes it")
}

func drawRates(t *rapid.T) rates {
	share := func(name string) float64 { return rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, name) }
	return rates{
		down: share("down"), lost: share("lost"), dropped: share("dropped"), delayed: share("delayed"),
		pause: share("pause") / 2, refuse: share("refuse"), cut: share("cut"),
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
			r := drawRates(rt)
			seed := rapid.Uint64().Draw(rt, "seed")
			w := &world{rates: r, rng: rand.New(rand.NewPCG(seed, 1))}
			synctest.Test(t, func(t *testing.T) { w.soak(t) })
			rounds++
			if len(w.faults) > 0 {
				rt.Fatalf("rates %+v seed %d: %v", r, seed, w.faults)
			}
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("rounds=%d each_seconds=%d", rounds, int(soakSpan.Seconds()))
}

// soak is one run: faults for a while, then a calm in which all must settle.
func (w *world) soak(t *testing.T) {
	w.runs, w.ranCall = make(map[string]int), make(map[string]int)
	w.table, w.objects = platform.NewMemory(), platform.NewMemoryObjects()
	w.dead = make([]bool, soakDaemons)
	m := manifest.NewActive(1, &manifest.Manifest{
		Services:  []manifest.Service{{Name: "fortune"}, {Name: "orders"}},
		Customers: []manifest.Customer{{Name: "bakery"}},
	})
	var current manifest.Current
	current.Advance(m)
	ctx, cancel := context.WithCancel(t.Context())
	recorders := make([]*serve.Recorder, soakDaemons)
	writers := make([]*batch.Writer, soakDaemons)
	var tasks, callers sync.WaitGroup
	for i := range soakDaemons {
		v := view{w, i}
		writers[i] = batch.New(v, batch.Options{Daemons: 1})
		recorders[i] = serve.NewRecorder(strconv.Itoa(i), v, store{v}, writers[i], v, hclog.NewNullLogger())
		w.lots = append(w.lots, serve.NewLots(serve.LotsConfig{
			Daemon: strconv.Itoa(i), Table: v, Objects: store{v}, Writer: writers[i], Admitter: serve.Unlimited{},
			Dispatcher: v, Manifests: &current, Peers: v, Log: hclog.NewNullLogger(),
		}))
		w.lots[i].SetDaemons(soakDaemons)
	}
	for _, l := range w.lots {
		tasks.Go(func() { _ = l.Run(ctx) })
	}
	for key := range 6 {
		for ask := range 3 {
			callers.Go(func() { w.ask(ctx, m, recorders, fmt.Sprint("k", key), fmt.Sprint("k", key, "-", ask)) })
		}
	}
	for n := range 4 {
		callers.Go(func() { w.offer(ctx, m, n) })
	}
	tasks.Go(func() { w.disturb(ctx) })
	time.Sleep(soakSpan)
	w.mu.Lock()
	w.calm = true
	w.mu.Unlock()
	callers.Wait()
	cancel()
	tasks.Wait()
	for i := range soakDaemons {
		w.lots[i].HandOver(context.Background())
		recorders[i].Close(context.Background())
		writers[i].Close()
	}
}

// disturb kills one daemon or lets it leave, at some time.
func (w *world) disturb(ctx context.Context) {
	time.Sleep(w.span(soakSpan))
	i := int(w.span(soakDaemons))
	if w.hit(0.5) {
		w.lots[i].HandOver(ctx)
	}
	w.mu.Lock()
	w.dead[i] = true
	w.mu.Unlock()
}

// ask sends one call for key to some daemon and judges what it is told.
func (w *world) ask(ctx context.Context, m *manifest.Active, recorders []*serve.Recorder, key, id string) {
	time.Sleep(w.span(soakSpan))
	i := int(w.span(soakDaemons))
	c := &call.Call{
		ID: id, Customer: &m.Customers[0], Service: m.Service("orders"), Method: "POST", Path: "/orders",
		Body: []byte(key), IdempotencyKey: key, Arrived: time.Now(), Deadline: time.Now().Add(5 * time.Second),
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	reply, err := recorders[i].Plain(ctx, c)
	cancel()
	if w.isDead(i) {
		return // the caller saw a broken connection
	}
	time.Sleep(soakSettle)
	w.mu.Lock()
	ran, keyRan := w.ranCall[id], w.runs[key]
	w.mu.Unlock()
	var ce *call.Error
	switch {
	case err == nil && (string(reply.Body) != "for "+key || keyRan != 1):
		w.broken("call %s answered with %q, %d runs", id, reply.Body, keyRan)
	case errors.As(err, &ce) && ce.Outcome == call.NotRun && ran > 0:
		w.broken("call %s was told not-run and ran", id)
	}
}

// offer has a lot or booking accepted by some daemon and waits for its end.
func (w *world) offer(ctx context.Context, m *manifest.Active, n int) {
	time.Sleep(w.span(soakSpan))
	i := int(w.span(soakDaemons))
	key := fmt.Sprint("lot", n)
	c := &call.Call{
		Active: m, Customer: &m.Customers[0], Service: m.Service("fortune"), Prompt: "wedding", MaxTokens: lotTokens,
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
		s, err := w.lots[w.alive()].Status(ctx, "bakery", id)
		switch {
		case err == nil && s.Ended():
			w.judge(s, booking, key)
			return
		case waited > 2*time.Hour:
			w.broken("lot %s did not end: %+v %v", id, s, err)
			return
		}
		time.Sleep(time.Second)
	}
}

func (w *world) alive() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, dead := range w.dead {
		if !dead {
			return i
		}
	}
	return 0
}

func (w *world) judge(s *serve.Status, booking bool, key string) {
	switch {
	case booking && s.Outcome == "answered" && string(s.Reply.Body) != "for "+key:
		w.broken("booking %s answered with %q", key, s.Reply.Body)
	case booking && s.Outcome == "not-run":
		w.broken("booking %s was accepted and not run: %s", key, s.Reason)
	case !booking && (s.Outcome != "answered" || s.Text != text(lotTokens)):
		w.broken("lot %s: %+v", key, s)
	}
}
