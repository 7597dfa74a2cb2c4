// Package httpjson holds what stand-ins and their tools share of JSON over HTTP.
package httpjson

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Write answers a request with v.
func Write(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// Read decodes the body of a request into v, or answers 400 and returns false.
func Read(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// Post sends body to a stand-in and decodes its answer into reply, or drops the
// answer if reply is nil. The error names the path and the address.
func Post(address, path string, timeout time.Duration, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode %s", path)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.SetBodyRaw(data)
	if err := fasthttp.DoTimeout(req, resp, timeout); err != nil {
		return errors.Wrapf(err, "%s at %s", path, address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("%s at %s: status %d: %s", path, address, resp.StatusCode(), resp.Body())
	}
	if response == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), response), "%s at %s", path, address)
}
