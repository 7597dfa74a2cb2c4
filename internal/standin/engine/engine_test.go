package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/sse"
	"github.com/lagoonmux/lagoonmux/internal/standin/engine"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
)

// testEngine is an engine with its listener.
type testEngine struct {
	*engine.Engine
	set     *faults.Set
	address string
}

func startEngine(t *testing.T, cfg engine.Config) *testEngine {
	t.Helper()
	e := &testEngine{set: faults.New()}
	e.Engine = engine.New(cfg, e.set)
	l, err := e.set.Listener("127.0.0.1:0")
	assert.NilError(t, err)
	e.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go e.Run(ctx)
	go func() { done <- e.set.ServeListener(ctx, l, e.Handle) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})
	return e
}

func (e *testEngine) post(t *testing.T, path string, body any) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(t, err)
	resp, err := http.Post("http://"+e.address+path, "application/json", bytes.NewReader(data))
	assert.NilError(t, err)
	return resp
}

// postJSON posts body, requires status 200 and decodes the response.
func postJSON[T any](t *testing.T, e *testEngine, path string, body any) T {
	t.Helper()
	var out T
	resp := e.post(t, path, body)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 200)
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// readTokens reads up to limit tokens of a response to want and checks each. It returns
// the usage sent with the first token, the number of tokens, and whether the response
// ended with the closing event.
func readTokens(t *testing.T, body io.Reader, want completion.Request, limit int) (completion.Usage, int, bool) {
	t.Helper()
	events := sse.NewReader(bufio.NewReader(body))
	usage := completion.Usage{}
	n := 0
	for n < limit {
		e, err := events.Next()
		if err != nil || string(e.Data) == sse.Done {
			return usage, n, err == nil
		}
		var chunk completion.Response
		assert.NilError(t, json.Unmarshal(e.Data, &chunk))
		text, _ := chunk.FirstChoice()
		index := want.ResumeFrom + n
		assert.Equal(t, e.ID, int64(index))
		assert.Equal(t, text, completion.TokenAt(string(want.Prompt), index))
		assert.Equal(t, chunk.ID, want.RequestID)
		assert.Equal(t, chunk.Attempt, want.Attempt)
		if n == 0 {
			usage = *chunk.Usage
		}
		n++
	}
	return usage, n, false
}

// complete posts req, reads the whole response and checks its tokens, as readTokens does.
func (e *testEngine) complete(t *testing.T, req completion.Request) (completion.Usage, int, bool) {
	t.Helper()
	resp := e.post(t, completion.Path, req)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 200)
	return readTokens(t, resp.Body, req, 1<<20)
}

func newRequest(id, prompt string, n int) completion.Request {
	return completion.Request{Model: "m", Prompt: completion.Text(prompt), MaxTokens: n, Stream: true, RequestID: id, Attempt: 1}
}

var (
	fastConfig = engine.Config{Name: "e", DecodeStep: 200 * time.Microsecond, PrefillPerMS: 1000}
	prompt     = strings.Repeat("sign archive ", 100)
)

// A prompt that extends an earlier one must find the blocks of that prompt in the cache,
// and the tokens after them must not count as recomputed.
func TestResponseIsCompleteAndPrefixIsCached(t *testing.T) {
	e := startEngine(t, fastConfig)
	usage, n, complete := e.complete(t, newRequest("a", prompt, 40))
	assert.Assert(t, complete && n == 40 && usage.CachedTokens == 0)
	assert.Equal(t, usage.PromptTokens, completion.CountTokens(prompt))
	usage, n, complete = e.complete(t, newRequest("b", prompt+"another end", 3))
	assert.Assert(t, complete && n == 3)
	assert.Equal(t, usage.CachedTokens, len(completion.BlockHashes(prompt))*completion.BlockTokens)
	st := e.Stats()
	assert.Equal(t, st.GeneratedTokens, int64(43))
	assert.Equal(t, st.RecomputedTokens, int64(0))
}

// A response that is resumed at another engine after an import of its KV cache must not
// recompute the context. Without the import, the whole context counts as recomputed.
func TestResumeAfterKVImport(t *testing.T) {
	cfg := fastConfig
	cfg.Computed = engine.NewComputedBlocks()
	cfg.DecodeStep = 2 * time.Millisecond
	from, to, uncached := startEngine(t, cfg), startEngine(t, cfg), startEngine(t, cfg)
	req := newRequest("a", prompt, 1000)
	resp := from.post(t, completion.Path, req)
	_, n, _ := readTokens(t, resp.Body, req, 30)
	handle := postJSON[struct {
		Handle string
		Tokens int
	}](t, from, engine.PathExport, map[string]string{"request_id": "a"})
	resp.Body.Close()
	got := postJSON[struct{ Tokens int }](t, to, engine.PathImport, map[string]string{"from": from.address, "handle": handle.Handle})
	assert.Equal(t, got.Tokens, handle.Tokens)

	for i := range n {
		req.ResumeText += completion.TokenAt(prompt, i)
	}
	req.ResumeFrom, req.MaxTokens, req.Attempt = n, 40, 2
	usage, m, complete := to.complete(t, req)
	assert.Assert(t, complete && n+m == 40)
	assert.Assert(t, usage.CachedTokens >= completion.CountTokens(prompt), "%+v", usage)
	assert.Assert(t, to.Stats().RecomputedTokens < completion.BlockTokens)
	_, _, complete = uncached.complete(t, req)
	assert.Assert(t, complete)
	assert.Assert(t, uncached.Stats().RecomputedTokens > int64(completion.CountTokens(prompt)))
}

// Requests must leave the batch or the queue when their connection closes or a cancel
// request names them, so that they take no more slots.
func TestCancel(t *testing.T) {
	cfg := fastConfig
	cfg.Slots = 1
	cfg.DecodeStep = time.Millisecond
	e := startEngine(t, cfg)
	idle := func(poll.LogT) poll.Result {
		if st := e.Stats(); st.Running+st.Waiting > 0 {
			return poll.Continue("%+v", st)
		}
		return poll.Success()
	}
	t.Run("closed connection, running and waiting", func(t *testing.T) {
		running := e.post(t, completion.Path, newRequest("a", prompt, 1<<20))
		waiting := e.post(t, completion.Path, newRequest("b", prompt, 1<<20))
		waiting.Body.Close()
		running.Body.Close()
		poll.WaitOn(t, idle)
		assert.Equal(t, e.Stats().Canceled, int64(2))
	})
	t.Run("cancel request", func(t *testing.T) {
		resp := e.post(t, completion.Path, newRequest("c", prompt, 1<<20))
		defer resp.Body.Close()
		got := postJSON[struct{ Canceled int }](t, e, engine.PathCancel, map[string]string{"request_id": "c"})
		assert.Equal(t, got.Canceled, 1)
		_, _, complete := readTokens(t, resp.Body, newRequest("c", prompt, 0), 1<<20)
		assert.Assert(t, !complete)
		poll.WaitOn(t, idle)
	})
}

// An engine with ChecksFence refuses orders with an old fencing token and expired ones;
// any other engine executes them. Both refuse unknown orders.
func TestOrders(t *testing.T) {
	cfg := fastConfig
	cfg.ChecksFence = true
	strict, lenient := startEngine(t, cfg), startEngine(t, fastConfig)
	expired := time.Now().Add(-time.Second).UnixMilli()
	for _, tc := range []struct {
		order engine.Order
		want  int
	}{
		{engine.Order{Fence: 2, Kind: "load", Model: "m", Version: "2"}, 200},
		{engine.Order{Fence: 1, Kind: "unload", Model: "m"}, 409},
		{engine.Order{Fence: 2, Kind: "role", Role: "prefill", ValidUntilMS: expired}, 409},
		{engine.Order{Fence: 3, Kind: "dance"}, 400},
	} {
		resp := strict.post(t, engine.PathOrders, tc.order)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, tc.want)
		resp = lenient.post(t, engine.PathOrders, tc.order)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode == 200, tc.want != 400)
	}
	assert.Equal(t, len(strict.Stats().Orders), 1)
	assert.Equal(t, len(lenient.Stats().Orders), 3)
}

// After a reclaim notice an engine refuses new requests and reports that it is leaving,
// but serves running requests until it stops, which cuts their responses.
func TestLeavingRefusesNewRequestsAndStops(t *testing.T) {
	cfg := fastConfig
	cfg.DecodeStep = 5 * time.Millisecond
	e := startEngine(t, cfg)
	resp := e.post(t, completion.Path, newRequest("a", prompt, 1<<20))
	defer resp.Body.Close()
	assert.NilError(t, e.set.Apply(faults.Plan{Faults: []faults.Fault{{Name: faults.Leave, DelayMS: 1000}}}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		refused := e.post(t, completion.Path, newRequest("b", prompt, 1))
		refused.Body.Close()
		if refused.StatusCode != 503 {
			return poll.Continue("status %d", refused.StatusCode)
		}
		assert.Equal(t, refused.Header.Get(faults.RefusedHeader), faults.ReasonLeaving)
		return poll.Success()
	})
	load, err := http.Get("http://" + e.address + engine.PathLoad)
	assert.NilError(t, err)
	defer load.Body.Close()
	var report routing.LoadReport
	assert.NilError(t, json.NewDecoder(load.Body).Decode(&report))
	assert.Assert(t, report.Leaving && report.LeavingInMS <= 1000)
	_, n, complete := readTokens(t, resp.Body, newRequest("a", prompt, 0), 1<<20)
	assert.Assert(t, n > 0 && !complete)
}

// Cache events must report each stored block of a prompt. A restart empties the cache:
// the epoch must change, and the events of the former epoch must not be listed.
func TestCacheEventsReportStoresAndRestarts(t *testing.T) {
	type page struct {
		Epoch, Next int64
		Events      []struct {
			Seq       int64
			Op, Block string
		}
	}
	e := startEngine(t, fastConfig)
	_, _, complete := e.complete(t, newRequest("a", prompt, 2))
	assert.Assert(t, complete)
	events := func() page {
		resp, err := http.Get("http://" + e.address + engine.PathEvents + "?after=0")
		assert.NilError(t, err)
		defer resp.Body.Close()
		var p page
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&p))
		return p
	}
	first := events()
	blocks := completion.BlockHashes(prompt)
	assert.Assert(t, len(first.Events) >= len(blocks))
	stored := make(map[string]bool)
	for _, ev := range first.Events {
		stored[ev.Block] = ev.Op == "store"
	}
	for _, b := range blocks {
		assert.Assert(t, stored[strconv.FormatUint(b, 16)])
	}
	assert.NilError(t, e.set.Apply(faults.Plan{Faults: []faults.Fault{{Name: faults.Restart}}}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p := events(); p.Epoch == first.Epoch || len(p.Events) > 0 {
			return poll.Continue("%+v", p)
		}
		return poll.Success()
	})
}

// The fault Cut ends a response after the given number of tokens; Crossed replaces it by
// the response to another request.
func TestCutAndCrossedStreams(t *testing.T) {
	e := startEngine(t, fastConfig)
	apply := func(f faults.Fault) {
		assert.NilError(t, e.set.Apply(faults.Plan{Faults: []faults.Fault{f}}))
	}
	apply(faults.Fault{Name: faults.Cut, Tokens: 7})
	_, n, complete := e.complete(t, newRequest("a", prompt, 20))
	assert.Assert(t, n == 7 && !complete)
	apply(faults.Fault{Name: faults.Crossed})
	resp := e.post(t, completion.Path, newRequest("b", prompt, 2))
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(body), "crossed-b"))
}
