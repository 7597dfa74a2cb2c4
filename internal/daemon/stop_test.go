package daemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
	"github.com/lagoonmux/lagoonmux/internal/standin"
)

// TestStopWaitsForStreams stops a daemon after the first line of a stream and checks
// that the stream is completed.
func TestStopWaitsForStreams(t *testing.T) {
	g := startCluster(t, 2)
	path := writeManifest(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- standin.Serve(ctx, path, standin.Platform{}) }()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-done)
	})
	assert.NilError(t, apply(g.daemons[0], path))
	g.awaitUpstream("e1", "live")
	const tokens = 150
	body := fmt.Sprintf(`{"model":"fortune","prompt":"hello","max_tokens":%d,"stream":true}`, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+g.daemons[0].settings.CallerAddress+completion.Path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	first, err := r.ReadString('\n')
	assert.NilError(t, err)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		g.daemons[0].stop()
	}()
	rest, err := io.ReadAll(r)
	assert.NilError(t, err)
	<-stopped
	assert.Equal(t, strings.Count(first+string(rest), "id: "), tokens)
	assert.Assert(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"))
}

// TestReclaimNoticeStopsDaemon announces the reclaim of a daemon's VM and checks that
// the daemon stops and is listed as left.
func TestReclaimNoticeStopsDaemon(t *testing.T) {
	startTime := time.Now()
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case cloud.VMsPath:
			_ = json.NewEncoder(w).Encode([]cloud.VM{{ID: "vm-1", Name: "d1", Role: cloud.RoleDaemon}})
		case cloud.NoticesPath:
			notices := []cloud.Notice{}
			if r.URL.Query().Get("vm") == "vm-1" && time.Since(startTime) > time.Second {
				notices = append(notices, cloud.Notice{VM: "vm-1", DeadlineMS: time.Now().Add(20 * time.Second).UnixMilli()})
			}
			_ = json.NewEncoder(w).Encode(notices)
		}
	}))
	t.Cleanup(api.Close)
	g := startCluster(t, 0)
	g.cloud = api.URL
	g.start("d0")
	g.start("d1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, d := range g.daemons[0].Status().Daemons {
			if d.Name == "d1" && d.State == "left" {
				return poll.Success()
			}
		}
		return poll.Continue("d1 has not left")
	}, poll.WithTimeout(pollTimeout))
	g.daemons[1].stop() // returns at once with the error of Run, which must be nil
	assert.Equal(t, g.daemons[1].Status().State, "stopped")
}
