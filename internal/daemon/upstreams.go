package daemon

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/members"
	"github.com/lagoonmux/lagoonmux/internal/peer"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

const (
	loadDialTimeout = 400 * time.Millisecond
	reportTimeout   = 400 * time.Millisecond
	maxLoadBytes    = 1 << 16
	pathLoad        = "/load"
)

// Leaving tells work at upstreams that they leave. It is for the dispatch of
// streams.
func (d *Daemon) Leaving() *members.LeavingSignal { return d.leaving }

// NoticeRefusal is called when an upstream refused work because it leaves. Any
// goroutine may call it.
func (d *Daemon) NoticeRefusal(upstream string) {
	d.members.NotifyLeaving(upstream, 0, upstream)
}

// newWatch builds the task that watches upstreams.
func (d *Daemon) newWatch() {
	d.leaving = members.NewLeavingSignal()
	d.members.OnView(d.leaving.Update)
	d.reports = newLoadClient(&d.traffic)
	observe := func(l routing.LoadReport) {
		d.joined.observe(l)
		d.router.ObserveLoad(time.Now(), l)
	}
	d.watch = members.NewMonitor(d.members, d.peers, d.reports.report, observe, d.log.Named("watch"))
	d.members.OnView(func(*members.View) { d.watch.Reassign() })
}

// watchUpstreams gives the watch the upstreams of a.
func (d *Daemon) watchUpstreams(a *manifest.Active) {
	all := d.joined.with(a)
	refs := make([]members.UpstreamRef, len(all))
	for i, u := range all {
		refs[i] = members.UpstreamRef{Name: u.Name, Address: u.Address, Zone: u.Zone}
	}
	d.watch.SetUpstreams(refs)
}

// loadClient asks upstreams for their load.
type loadClient struct {
	kept  *fasthttp.Client
	fresh *fasthttp.Client // keeps no connection
}

func newLoadClient(traffic *peer.Traffic) *loadClient {
	dial := func(address string) (net.Conn, error) {
		c, err := fasthttp.DialTimeout(address, loadDialTimeout)
		if err != nil {
			return nil, err
		}
		return peer.Count(c, traffic), nil
	}
	client := func() *fasthttp.Client {
		return &fasthttp.Client{
			Dial: dial, ReadTimeout: reportTimeout, WriteTimeout: reportTimeout, MaxResponseBodySize: maxLoadBytes,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		}
	}
	return &loadClient{kept: client(), fresh: client()}
}

// report implements members.FetchLoad.
func (c *loadClient) report(ctx context.Context, address string, fresh bool) (routing.LoadReport, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + pathLoad)
	client := c.kept
	if fresh {
		client = c.fresh
		req.SetConnectionClose()
	}
	deadline, _ := ctx.Deadline()
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return routing.LoadReport{}, errors.Wrapf(err, "ask load of %s", address)
	}
	var l routing.LoadReport
	if resp.StatusCode() != fasthttp.StatusOK {
		return l, errors.Errorf("ask load of %s: status %d", address, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &l); err != nil {
		return l, errors.Wrapf(err, "ask load of %s", address)
	}
	if l.At.IsZero() {
		l.At = time.Now()
	}
	return l, nil
}

func (c *loadClient) close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
