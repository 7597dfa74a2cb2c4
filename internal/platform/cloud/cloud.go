// Package cloud is the client of the platform's cloud API: the lagging list of
// VMs, reclaim notices, offers with prices, starts and stops, and the weight
// store.
package cloud

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// Paths of the cloud API.
const (
	VMsPath     = "/vms"
	OffersPath  = "/offers"
	NoticesPath = "/notices"
	WeightsPath = "/weights/" // followed by the model's name
)

// Roles of a VM.
const (
	RoleDaemon   = "daemon"
	RoleUpstream = "upstream"
)

// ErrNoCapacity says that the cloud has no such VM to give now.
var ErrNoCapacity = errors.New("start refused")

const callTimeout = 2 * time.Second

// VM is one virtual machine.
type VM struct {
	ID          string `json:"id"`
	Name        string `json:"name"` // of the daemon or upstream on it
	Role        string `json:"role"`
	Service     string `json:"service,omitempty"` // of an upstream
	Address     string `json:"address"`           // peer address of a daemon, HTTP address of an upstream
	Zone        string `json:"zone"`
	VMClass     string `json:"vm_class"`
	Reclaimable bool   `json:"reclaimable"`
	Leaving     bool   `json:"leaving,omitempty"`
	DeadlineMS  int64  `json:"deadline_ms,omitempty"` // unix time at which a leaving VM ends
}

// Offer is one way to buy a VM.
type Offer struct {
	VMClass     string  `json:"vm_class"`
	Zone        string  `json:"zone"`
	Reclaimable bool    `json:"reclaimable"`
	PerHour     float64 `json:"per_hour"`
}

// StartRequest asks for one VM. The same token again returns the same VM.
type StartRequest struct {
	Token       string `json:"token"`
	Name        string `json:"name"`
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	VMClass     string `json:"vm_class"`
	Reclaimable bool   `json:"reclaimable"`
}

// Notice announces the reclaim of a VM.
type Notice struct {
	VM         string `json:"vm"` // its ID
	DeadlineMS int64  `json:"deadline_ms"`
}

// Client calls one cloud API. Its methods may be called from any goroutine.
// Errors wrap platform.ErrUnavailable if the API cannot be reached.
type Client struct {
	endpoint string
	http     fasthttp.Client
}

// New returns a client of the API at endpoint, a URL.
func New(endpoint string) *Client {
	return &Client{endpoint: endpoint, http: fasthttp.Client{MaxIdleConnDuration: 5 * time.Second}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// VMs returns the list of live and leaving VMs, which lags.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var out []VM
	return out, c.call(ctx, fasthttp.MethodGet, VMsPath, nil, &out)
}

// Offers returns what can be bought now, if it is not refused.
func (c *Client) Offers(ctx context.Context) ([]Offer, error) {
	var out []Offer
	return out, c.call(ctx, fasthttp.MethodGet, OffersPath, nil, &out)
}

// Notices returns the reclaim notices of the VMs with the given IDs.
func (c *Client) Notices(ctx context.Context, ids []string) ([]Notice, error) {
	var out []Notice
	return out, c.call(ctx, fasthttp.MethodGet, NoticesPath+"?"+url.Values{"vm": ids}.Encode(), nil, &out)
}

// Start starts one VM. It returns ErrRefused if the cloud has none.
func (c *Client) Start(ctx context.Context, s StartRequest) (VM, error) {
	var vm VM
	return vm, c.call(ctx, fasthttp.MethodPost, VMsPath, s, &vm)
}

// Stop stops a VM. One that is gone already is no error.
func (c *Client) Stop(ctx context.Context, id string) error {
	err := c.call(ctx, fasthttp.MethodDelete, VMsPath+"/"+url.PathEscape(id), nil, nil)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.endpoint + path)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode call of the cloud API")
		}
		req.SetBody(body)
	}
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return errors.Wrapf(platform.ErrUnavailable, "%s %s: %v", method, path, err)
	}
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusConflict:
		return errors.Wrapf(ErrNoCapacity, "%s %s: %s", method, path, resp.Body())
	case status == fasthttp.StatusNotFound:
		return errors.Wrapf(platform.ErrNotFound, "%s %s", method, path)
	case status != fasthttp.StatusOK:
		return errors.Wrapf(platform.ErrUnavailable, "%s %s: status %d", method, path, status)
	case out == nil:
		return nil
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), out), "%s %s: decode answer", method, path)
}
