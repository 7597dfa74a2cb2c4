package main

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	waitPollInterval = 50 * time.Millisecond // between two requests
	probeTimeout     = time.Second           // of one request to a server that may not run
)

func waitCommand(app *kingpin.Application) command {
	c := app.Command("wait", "Wait until an HTTP URL responds with status 200.")
	url := c.Arg("url", "URL, such as http://127.0.0.1:7000/readyz.").Required().String()
	timeout := c.Flag("timeout", "Time after which to give up.").Default("10s").Duration()
	return command{clause: c, run: func(ctx context.Context) error {
		end := time.Now().Add(*timeout)
		for {
			status, _, err := fasthttp.GetTimeout(nil, *url, probeTimeout)
			if err == nil && status == fasthttp.StatusOK {
				return nil
			}
			if ctx.Err() != nil || time.Now().After(end) {
				return errors.Errorf("%s is not ready: status %d, error %v", *url, status, err)
			}
			time.Sleep(waitPollInterval)
		}
	}}
}
