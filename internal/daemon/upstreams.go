package daemon

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/httpcheck"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/members"
	"github.com/lagoonmux/lagoonmux/internal/peer"
	"github.com/lagoonmux/lagoonmux/internal/routing"
)

const (
	loadDialTimeout = 400 * time.Millisecond
	loadTimeout     = 400 * time.Millisecond
	maxLoadBytes    = 1 << 16
	loadPath        = "/load"
)

// LeavingSignal returns the signal that reports leaving upstreams to the streams
// that run there.
func (d *Daemon) LeavingSignal() *members.LeavingSignal { return d.leaving }

// NotifyLeaving reports to membership that an upstream refused a request because it
// is leaving. Any goroutine may call it.
func (d *Daemon) NotifyLeaving(upstream string) {
	d.members.NotifyLeaving(upstream, 0, upstream)
}

// newMonitor creates the task that polls the load and health of upstreams.
func (d *Daemon) newMonitor() {
	d.leaving = members.NewLeavingSignal()
	d.members.OnView(d.leaving.Update)
	d.loadClient = newLoadClient(&d.traffic)
	observe := func(l routing.LoadReport) {
		d.upstreams.observeLoad(l)
		d.router.ObserveLoad(time.Now(), l)
	}
	d.monitor = members.NewMonitor(d.members, d.peers, d.loadClient.fetch, observe, d.log.Named("watch"))
	d.members.OnView(func(*members.View) { d.monitor.Reassign() })
}

// monitorUpstreams passes the upstreams of a and those that the fleet duty started to
// the monitor.
func (d *Daemon) monitorUpstreams(a *manifest.Active) {
	all := d.upstreams.all(a)
	refs := make([]members.UpstreamRef, len(all))
	for i, u := range all {
		refs[i] = members.UpstreamRef{Name: u.Name, Address: u.Address, Zone: u.Zone}
	}
	d.monitor.SetUpstreams(refs)
}

// loadClient requests load reports from upstreams.
type loadClient struct {
	pooled   *fasthttp.Client
	unpooled *fasthttp.Client // a new connection for each request
}

func newLoadClient(traffic *peer.Traffic) *loadClient {
	dial := func(address string) (net.Conn, error) {
		c, err := fasthttp.DialTimeout(address, loadDialTimeout)
		if err != nil {
			return nil, err
		}
		return peer.CountBytes(c, traffic), nil
	}
	client := func() *fasthttp.Client {
		return &fasthttp.Client{
			Dial: httpcheck.Dial(dial, nil), ReadTimeout: loadTimeout, WriteTimeout: loadTimeout, MaxResponseBodySize: maxLoadBytes,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		}
	}
	return &loadClient{pooled: client(), unpooled: client()}
}

// fetch implements members.FetchLoad.
func (c *loadClient) fetch(ctx context.Context, address string, newConn bool) (routing.LoadReport, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + loadPath)
	client := c.pooled
	if newConn {
		client = c.unpooled
		req.SetConnectionClose()
	}
	deadline, _ := ctx.Deadline()
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return routing.LoadReport{}, errors.Wrapf(err, "get load of upstream %s", address)
	}
	var l routing.LoadReport
	if resp.StatusCode() != fasthttp.StatusOK {
		return l, errors.Errorf("get load of upstream %s: status %d", address, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &l); err != nil {
		return l, errors.Wrapf(err, "decode load of upstream %s", address)
	}
	if l.At.IsZero() {
		l.At = time.Now()
	}
	return l, nil
}

func (c *loadClient) close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}
