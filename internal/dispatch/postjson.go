package dispatch

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	typeJSON                = "application/json"
	maxControlResponseBytes = 4 << 10
)

// postJSON sends a control request to an upstream on a new connection and decodes
// the body of its response into response. If response is nil, the body and the
// status are ignored. Errors name the path and the address of the upstream; traces contain
// their texts.
func postJSON(ctx context.Context, pool *upstream.Pool, address, path string, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode %s", path)
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetContentType(typeJSON)
	req.SetBodyRaw(data)
	x, err := pool.Start(ctx, address, req, true)
	if err != nil {
		return err
	}
	respBody, err := x.ReadAll(maxControlResponseBytes)
	if err != nil || response == nil {
		return err
	}
	if code := x.Response.StatusCode(); code != fasthttp.StatusOK {
		return errors.Errorf("%s %s: status %d", path, address, code)
	}
	return errors.Wrapf(json.Unmarshal(respBody, response), "%s %s", path, address)
}
