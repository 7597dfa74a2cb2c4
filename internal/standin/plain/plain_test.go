package plain_test

import (
	"encoding/json"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/standin/faults"
	"github.com/lagoonmux/lagoonmux/internal/standin/plain"
)

// A call whose response is lost has run and must be counted; a refused call must not.
// Tests rely on these counts to detect calls that ran twice.
func TestRunsCountEffectsNotResponses(t *testing.T) {
	set := faults.New()
	counter := plain.NewCounter()
	s := plain.New(plain.Config{Name: "desk", Slots: 1, Counter: counter}, set)
	l := fasthttputil.NewInmemoryListener()
	defer l.Close()
	go func() { _ = fasthttp.Serve(l, set.Wrap(s.Handle)) }()
	client := fasthttp.Client{Dial: func(string) (net.Conn, error) { return l.Dial() }, MaxIdemponentCallAttempts: 1}
	call := func(path, key string) (int, []byte, error) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetRequestURI("http://desk" + path)
		req.Header.Set("Idempotency-Key", key)
		err := client.Do(req, resp)
		return resp.StatusCode(), append([]byte(nil), resp.Body()...), err
	}
	apply := func(f ...faults.Fault) {
		assert.NilError(t, set.Apply(faults.Plan{Faults: f}))
	}

	_, body, err := call("/orders", "a")
	assert.NilError(t, err)
	var res plain.Result
	assert.NilError(t, json.Unmarshal(body, &res))
	assert.Equal(t, res, plain.Result{Path: "/orders", Key: "a", Run: 1})

	apply(faults.Fault{Name: faults.Lost, Path: "/orders"})
	_, _, err = call("/orders", "lost")
	assert.Assert(t, err != nil)
	apply(faults.Fault{Name: faults.Refuse})
	status, _, err := call("/orders", "refused")
	assert.NilError(t, err)
	assert.Equal(t, status, 503)
	apply()
	set.Leave(1<<40, false)
	status, _, err = call("/orders", "leaving")
	assert.NilError(t, err)
	assert.Equal(t, status, 503)
	assert.DeepEqual(t, counter.Runs(), map[string]int{"a": 1, "lost": 1})

	_, body, err = call(plain.LoadPath, "")
	assert.NilError(t, err)
	var report routing.LoadReport
	assert.NilError(t, json.Unmarshal(body, &report))
	assert.Assert(t, report.Leaving && report.Running == 0)
	_, body, err = call(plain.StatsPath, "")
	assert.NilError(t, err)
	var stats plain.Stats
	assert.NilError(t, json.Unmarshal(body, &stats))
	assert.Equal(t, stats.Calls, int64(2))
	assert.Equal(t, stats.Requests, int64(1))
}
