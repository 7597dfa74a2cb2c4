package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/ctl"
	"github.com/lagoonmux/lagoonmux/internal/daemon"
	"github.com/lagoonmux/lagoonmux/internal/loopback"
	"github.com/lagoonmux/lagoonmux/internal/operator"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/settings"
	"github.com/lagoonmux/lagoonmux/internal/standin"
)

const key = "test-editors-key"

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.Address()
	assert.NilError(t, err)
	return address
}

// start runs a daemon with one simulated model upstream and one simulated plain
// upstream, and returns its caller address.
func start(t *testing.T) string {
	t.Helper()
	m := fmt.Sprintf(`{
	"services": [
		{"name": "fortune", "kind": "model", "target": {"total_ms": 5000}},
		{"name": "orders", "kind": "plain", "target": {"total_ms": 2000}, "routes": [{"method": "POST", "path": "/orders"}]}],
	"upstreams": [
		{"name": "e1", "service": "fortune", "address": %q, "zone": "a", "vm_class": "g", "slots": 4},
		{"name": "d1", "service": "orders", "address": %q, "zone": "a", "vm_class": "g", "slots": 4}],
	"customers": [{"name": "editors", "key": %q, "weight": 1, "requests_per_second": 9, "tokens_per_second": 900, "concurrency": 9}],
	"vm_classes": [{"name": "g", "on_demand_per_hour": 2, "reclaimable_per_hour": 1}]}`,
		freeAddress(t), freeAddress(t), key)
	path := filepath.Join(t.TempDir(), "manifest.json")
	assert.NilError(t, os.WriteFile(path, []byte(m), 0o600))

	s := &settings.Settings{Name: "d", Zone: "a", CallerAddress: freeAddress(t), OperatorAddress: freeAddress(t), PeerAddress: freeAddress(t)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- standin.Serve(ctx, path, standin.Platform{}) }()
	go func() {
		done <- daemon.New(s, hclog.NewNullLogger(), daemon.WithTable(platform.NewMemoryTable()), daemon.WithObjects(platform.NewMemoryObjects())).Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		for range 2 {
			assert.Check(t, <-done)
		}
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := ctl.New(s.OperatorAddress, io.Discard).Apply(path, operator.BaseInForce); err != nil {
			return poll.Continue("apply: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	return s.CallerAddress
}

func post(t *testing.T, url, body string, header http.Header) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewBufferString(body))
	assert.NilError(t, err)
	req.Header = header.Clone()
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(data)
}

func TestEndToEnd(t *testing.T) {
	caller := start(t)

	t.Run("streamed response is complete and in order", func(t *testing.T) {
		resp, body := post(t, "http://"+caller+completion.Path, `{"model":"fortune","prompt":"hello","max_tokens":5,"stream":true}`, http.Header{})
		assert.Equal(t, resp.StatusCode, 200, body)
		assert.Equal(t, resp.Header.Get("Lagoonmux-Outcome"), "answered")
		for i := range 5 {
			assert.Assert(t, strings.Contains(body, fmt.Sprintf("id: %d\n", i)), body)
			assert.Assert(t, strings.Contains(body, completion.TokenAt("hello", i)), body)
		}
		assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
	})
	t.Run("non-repeatable call without idempotency key is rejected", func(t *testing.T) {
		resp, _ := post(t, "http://"+caller+"/svc/orders/orders", `{}`, http.Header{})
		assert.Equal(t, resp.StatusCode, 400)
		assert.Equal(t, resp.Header.Get("Lagoonmux-Outcome"), "not-run")
	})
	t.Run("non-repeatable call with idempotency key runs once", func(t *testing.T) {
		resp, body := post(t, "http://"+caller+"/svc/orders/orders", `{}`, http.Header{"Idempotency-Key": {"k1"}})
		assert.Equal(t, resp.StatusCode, 200, body)
		assert.Assert(t, strings.Contains(body, `"run":1`), body)
	})
	t.Run("request without API key is rejected", func(t *testing.T) {
		resp, err := http.Post("http://"+caller+completion.Path, "application/json", strings.NewReader("{}"))
		assert.NilError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, resp.StatusCode, 401)
	})
}
