// Package cloud is the client of the cloud API: the eventually consistent list of
// VMs, reclaim notices, offers with prices, and calls that start and stop VMs. It
// also defines the path at which the API serves model weights.
package cloud

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/httpcheck"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

// Paths of the cloud API.
const (
	VMsPath     = "/vms"
	OffersPath  = "/offers"
	NoticesPath = "/notices"
	WeightsPath = "/weights/" // followed by the name of a model
)

// Values of VM.Role.
const (
	RoleDaemon   = "daemon"
	RoleUpstream = "upstream"
)

// ErrNoCapacity means that the cloud cannot start a VM of this class in this zone now.
var ErrNoCapacity = errors.New("cloud has no capacity for the VM")

const callTimeout = 2 * time.Second

// VM is one virtual machine.
type VM struct {
	ID          string `json:"id"`
	Name        string `json:"name"` // of the daemon or upstream that runs on the VM
	Role        string `json:"role"`
	Service     string `json:"service,omitempty"` // of the upstream; empty for a daemon
	Address     string `json:"address"`           // peer address of a daemon, HTTP address of an upstream
	Zone        string `json:"zone"`
	VMClass     string `json:"vm_class"`
	Reclaimable bool   `json:"reclaimable"`
	Leaving     bool   `json:"leaving,omitempty"`
	DeadlineMS  int64  `json:"deadline_ms,omitempty"` // unix time at which a leaving VM is shut down
}

// Offer is a kind of VM that can be started, with its price.
type Offer struct {
	VMClass     string  `json:"vm_class"`
	Zone        string  `json:"zone"`
	Reclaimable bool    `json:"reclaimable"`
	PerHour     float64 `json:"per_hour"`
}

// StartRequest asks for one VM. A retry with the same token returns the same VM.
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
	VM         string `json:"vm"`          // ID of the VM
	DeadlineMS int64  `json:"deadline_ms"` // unix time at which the VM is shut down
}

// Client calls the cloud API. Its methods are safe for concurrent use. Errors
// wrap platform.ErrUnavailable if the API cannot be reached or responds with an
// unexpected status.
type Client struct {
	endpoint string
	http     fasthttp.Client
}

// New returns a client of the API at endpoint, which is a URL.
func New(endpoint string) *Client {
	return &Client{endpoint: endpoint, http: fasthttp.Client{Dial: httpcheck.DialURL(endpoint), MaxIdleConnDuration: 5 * time.Second}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// VMs returns the running and leaving VMs. The list lags behind the actual state.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var out []VM
	return out, c.call(ctx, fasthttp.MethodGet, VMsPath, nil, &out)
}

// Offers returns the current offers. A start may still fail with ErrNoCapacity.
func (c *Client) Offers(ctx context.Context) ([]Offer, error) {
	var out []Offer
	return out, c.call(ctx, fasthttp.MethodGet, OffersPath, nil, &out)
}

// Notices returns the reclaim notices of the VMs with the given IDs.
func (c *Client) Notices(ctx context.Context, ids []string) ([]Notice, error) {
	var out []Notice
	return out, c.call(ctx, fasthttp.MethodGet, NoticesPath+"?"+url.Values{"vm": ids}.Encode(), nil, &out)
}

// Start starts one VM. It returns ErrNoCapacity if the cloud cannot start it now.
func (c *Client) Start(ctx context.Context, s StartRequest) (VM, error) {
	var vm VM
	return vm, c.call(ctx, fasthttp.MethodPost, VMsPath, s, &vm)
}

// Stop stops a VM. It is no error if the VM no longer exists.
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
			return errors.Wrap(err, "encode request to the cloud API")
		}
		req.SetBody(body)
	}
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return errors.Wrapf(platform.ErrUnavailable, "cloud API call %s %s: %v", method, path, err)
	}
	switch status := resp.StatusCode(); {
	case status == fasthttp.StatusConflict:
		return errors.Wrapf(ErrNoCapacity, "cloud API call %s %s: %s", method, path, resp.Body())
	case status == fasthttp.StatusNotFound:
		return errors.Wrapf(platform.ErrNotFound, "cloud API call %s %s", method, path)
	case status != fasthttp.StatusOK:
		return errors.Wrapf(platform.ErrUnavailable, "cloud API call %s %s: status %d", method, path, status)
	case out == nil:
		return nil
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), out), "cloud API call %s %s: decode response", method, path)
}
