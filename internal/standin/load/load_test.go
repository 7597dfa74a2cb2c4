package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/entry"
	"github.com/lagoonmux/lagoonmux/internal/sse"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
)

const mixText = `{
	// one caller with streamed requests
	"seed": 5, "duration_ms": 400,
	"prompt_pools": [{"name": "p", "prefixes": 4, "prefix_tokens": 40, "skew": 1.5}],
	"callers": [
		{"customer": "c", "key": "k", "class": "normal", "service": "m", "kind": "stream", "per_second": 60, "timeout_ms": 5000,
			"prompt_pool": "p", "own_tokens": {"min": 1, "max": 9}, "answer_tokens": {"min": 2, "max": 9}}]}`

// fakeDaemon responds to streamed requests such that they get the verdict fault.
type fakeDaemon struct {
	fault Verdict
}

func (d *fakeDaemon) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/readyz" {
		return
	}
	req, err := completion.Parse(ctx.PostBody(), false)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.Response.Header.Set(entry.HeaderRequestID, "id-1")
	ctx.Response.Header.Set(entry.HeaderOutcome, "answered")
	switch d.fault {
	case NotRun:
		ctx.Response.Header.Set(entry.HeaderOutcome, "not-run")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case Unknown:
		ctx.Response.Header.Set(entry.HeaderOutcome, "unknown")
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	default:
		ctx.SetBodyStream(d.stream(req), -1)
	}
}

func (d *fakeDaemon) stream(req *completion.Request) io.Reader {
	var wire []byte
	for i := range req.MaxTokens {
		id, text, finish := "id-1", completion.TokenAt(string(req.Prompt), i), ""
		last := i == req.MaxTokens-1
		if last {
			finish = "length"
		}
		switch {
		case last && d.fault == Cut:
			return io.MultiReader(bytes.NewReader(wire), iotest.ErrReader(io.ErrUnexpectedEOF))
		case last && d.fault == Crossed:
			id = "id-2"
		case last && d.fault == Wrong:
			text = " else"
		}
		data, _ := json.Marshal(completion.NewChunk(id, req.Model, text, finish, false))
		wire = sse.Append(wire, sse.Event{ID: int64(i), Data: data})
	}
	return bytes.NewReader(sse.Append(wire, sse.Event{ID: -1, Data: []byte(sse.Done)}))
}

// runMix runs the mix against one daemon that is served by handle.
func runMix(t *testing.T, mix *Mix, handle fasthttp.RequestHandler) *Report {
	t.Helper()
	set := faults.New()
	l, err := set.Listener("127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- set.ServeListener(ctx, l, handle) }()
	report, err := Run(ctx, Options{Mix: mix, Daemons: []string{l.Addr().String()}})
	cancel()
	assert.NilError(t, err)
	assert.NilError(t, <-done)
	return report
}

func TestReportsEachVerdict(t *testing.T) {
	for _, want := range []Verdict{OnTime, NotRun, Unknown, Cut, Crossed, Wrong} {
		t.Run(string(want), func(t *testing.T) {
			mix, err := ParseMix("mix", []byte(mixText))
			assert.NilError(t, err)
			report := runMix(t, mix, (&fakeDaemon{fault: want}).handle)
			assert.Assert(t, report.Groups[0].Sent > 0)
			assert.Equal(t, report.Count(want), report.Groups[0].Sent, "%+v", report.Samples)
			assert.Equal(t, report.Violations() > 0, want == Crossed || want == Wrong)
			assert.Equal(t, report.Unanswered() > 0, want == Cut || want == Unknown)
			var table strings.Builder
			assert.NilError(t, report.WriteTable(&table))
			assert.Assert(t, strings.Contains(table.String(), "summary seconds="))
		})
	}
}

// lotDaemon accepts lots and reports their outcome from the second lookup on.
type lotDaemon struct {
	mu      sync.Mutex
	lots    map[string]lotStatus // by location
	lookups map[string]int       // by location
	suffix  string               // appended to every text; wrong unless empty
}

func (d *lotDaemon) handle(ctx *fasthttp.RequestCtx) {
	d.mu.Lock()
	defer d.mu.Unlock()
	path := string(ctx.Path())
	if ctx.IsPost() {
		req, _ := completion.Parse(ctx.PostBody(), false)
		id := fmt.Sprintf("lot-%d", len(d.lots))
		text := expectedText(&request{prompt: string(req.Prompt), tokens: req.MaxTokens}) + d.suffix
		d.lots["/v1/requests/"+id] = lotStatus{ID: id, Outcome: "answered", Tokens: req.MaxTokens, Text: text}
		ctx.Response.Header.Set(entry.HeaderRequestID, id)
		ctx.Response.Header.Set(fasthttp.HeaderLocation, "/v1/requests/"+id)
		ctx.SetStatusCode(fasthttp.StatusAccepted)
		return
	}
	a := d.lots[path]
	d.lookups[path]++
	if d.lookups[path] < 2 {
		a.Outcome = ""
	}
	data, _ := json.Marshal(a)
	ctx.SetBody(data)
}

func TestLotsAreAwaitedAndChecked(t *testing.T) {
	for suffix, want := range map[string]Verdict{"": OnTime, "x": Wrong} {
		mix, err := ParseMix("mix", []byte(strings.Replace(mixText, `"stream"`, `"lot"`, 1)))
		assert.NilError(t, err)
		d := &lotDaemon{lots: make(map[string]lotStatus), lookups: make(map[string]int), suffix: suffix}
		report := runMix(t, mix, d.handle)
		assert.Assert(t, report.Groups[0].Sent > 0)
		assert.Equal(t, report.Count(want), report.Groups[0].Sent, "%+v", report.Samples)
	}
}

func TestSameSeedGivesSameRequests(t *testing.T) {
	mix, err := ParseMix("mix", []byte(mixText))
	assert.NilError(t, err)
	a, b := newArrivals(mix, 0), newArrivals(mix, 0)
	prompts := make(map[string]bool)
	for range 50 {
		x, y := a.next(), b.next()
		assert.Equal(t, x.arrival, y.arrival)
		assert.Equal(t, string(x.body), string(y.body))
		assert.Assert(t, !prompts[x.prompt], "two requests with the same prompt")
		prompts[x.prompt] = true
	}
}

func TestMixErrorsNameField(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`"prompt_pool": "p"`, `"prompt_pool": "q"`, "callers[0].prompt_pool"},
		{`"kind": "stream"`, `"kind": "plain"`, "callers[0].path"},
		{`"min": 2`, `"min": 0`, "callers[0].answer_tokens"},
		{`"skew": 1.5`, `"skew": 0.5`, "prompt_pools[0].skew"},
	} {
		_, err := ParseMix("mix", []byte(strings.Replace(mixText, tc.old, tc.new, 1)))
		assert.ErrorContains(t, err, tc.want)
	}
}
