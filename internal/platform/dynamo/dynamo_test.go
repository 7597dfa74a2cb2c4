package dynamo_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/dynamo"
	"github.com/lagoonmux/lagoonmux/internal/standin/table"
)

// serve serves h on a free port until the test ends and returns the URL.
func serve(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fasthttp.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { l.Close() })
	return "http://" + l.Addr().String()
}

// client returns a client of a server with handler h.
func client(t *testing.T, h fasthttp.RequestHandler) *dynamo.Table {
	c := dynamo.New(dynamo.Options{Endpoint: serve(t, h)})
	t.Cleanup(c.Close)
	return c
}

// TestTable checks the client against the stand-in table: conditions, retries with
// the same token, unconditional writes, scans and deletes.
func TestTable(t *testing.T) {
	ctx := context.Background()
	c := client(t, table.New().Handle)

	_, err := c.Get(ctx, "p/a")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	create := []platform.Write{{Key: "p/a", Value: []byte("1")}, {Key: "p/b/x", Value: []byte("2")}}
	assert.NilError(t, c.Commit(ctx, "t1", create))
	assert.NilError(t, c.Commit(ctx, "t1", create), "a retry with the same token succeeds")
	assert.ErrorIs(t, c.Commit(ctx, "t2", create), platform.ErrConflict)
	assert.ErrorIs(t, c.Commit(ctx, "t3", []platform.Write{
		{Key: "p/a", Version: 1, Value: []byte("3")}, {Key: "p/b/x", Version: 2, Value: []byte("3")},
	}), platform.ErrConflict)
	row, err := c.Get(ctx, "p/a")
	assert.NilError(t, err)
	assert.DeepEqual(t, row, platform.Row{Key: "p/a", Version: 1, Value: []byte("1")})
	assert.NilError(t, c.Commit(ctx, "t4", []platform.Write{{Key: "p/a", Version: platform.AnyVersion, Value: []byte("4")}}))
	assert.NilError(t, c.Commit(ctx, "t5", []platform.Write{{Key: "p/a", Version: 2, Value: []byte("5")}, {Key: "q/z", Value: []byte("z")}}))
	rows, err := c.Scan(ctx, "p", "", 10)
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []platform.Row{{Key: "p/a", Version: 3, Value: []byte("5")}, {Key: "p/b/x", Version: 1, Value: []byte("2")}})
	rows, err = c.Scan(ctx, "p", "a", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.NilError(t, c.Commit(ctx, "t6", []platform.Write{{Key: "p/a", Version: 3, Delete: true}}))
	_, err = c.Get(ctx, "p/a")
	assert.ErrorIs(t, err, platform.ErrNotFound)
}

// TestCommitErrors checks how failed commits are classified: only a commit that
// certainly had no effect may be reported as ErrUnavailable.
func TestCommitErrors(t *testing.T) {
	writes := []platform.Write{{Key: "p/a", Value: []byte("1")}}
	status := func(code int) fasthttp.RequestHandler {
		return func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(code)
			ctx.SetBodyString(`{"__type":"x#ThrottlingException"}`)
		}
	}
	release := make(chan struct{})
	defer close(release)
	silent := func(*fasthttp.RequestCtx) { <-release }
	lost := func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
	for _, tc := range []struct {
		name    string
		handler fasthttp.RequestHandler
		want    error
	}{
		{"throttled", status(400), platform.ErrUnavailable},
		{"server error", status(500), platform.ErrOutcomeUnknown},
		{"no response", silent, platform.ErrOutcomeUnknown},
		{"connection closed after the request", lost, platform.ErrOutcomeUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			assert.ErrorIs(t, client(t, tc.handler).Commit(ctx, "t", writes), tc.want)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		c := dynamo.New(dynamo.Options{Endpoint: "http://127.0.0.1:1"})
		assert.ErrorIs(t, c.Commit(context.Background(), "t", writes), platform.ErrUnavailable)
	})
}
