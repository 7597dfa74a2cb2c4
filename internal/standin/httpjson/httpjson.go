// Package httpjson reads, writes and posts JSON over HTTP for stand-ins and their tools.
package httpjson

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Write responds with v as JSON, or with status 500 if v cannot be encoded.
func Write(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// Read decodes the request body into v. If this fails, it responds with status 400 and
// returns false.
func Read(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// Post posts body to a stand-in and decodes the response into response, or drops it if
// response is nil. Errors, also for a status other than 200, name the path and the
// address.
func Post(address, path string, timeout time.Duration, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode body of POST %s", path)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.SetBodyRaw(data)
	if err := fasthttp.DoTimeout(req, resp, timeout); err != nil {
		return errors.Wrapf(err, "POST %s at %s", path, address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("POST %s at %s: status %d: %s", path, address, resp.StatusCode(), resp.Body())
	}
	if response == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), response), "decode response to POST %s at %s", path, address)
}
