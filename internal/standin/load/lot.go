package load

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const lotPollInterval = 200 * time.Millisecond

// lotStatus is a daemon's response to the lookup of an accepted request.
type lotStatus struct {
	ID      string `json:"request_id"`
	State   string `json:"state"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Tokens  int    `json:"tokens"`
	Text    string `json:"text"`
}

// awaitLot polls the outcome of a request that the response of x accepted, and checks
// it. It fails when ctx ends first.
func (c *client) awaitLot(ctx context.Context, x *upstream.Exchange, r *request, res *result, arrived time.Time) error {
	location := string(x.Response.Header.Peek(fasthttp.HeaderLocation))
	if _, err := x.ReadAll(maxResponseBytes); err != nil {
		return err
	}
	if r.caller.Kind != Lot || location == "" {
		return verdictErrorf(Wrong, "accepted with status 202 without respond-async, or without a Location")
	}
	for {
		s, err := c.lookup(ctx, r, location)
		if err == nil && s.ID != res.id {
			return verdictErrorf(Crossed, "status of request %s, expected %s", s.ID, res.id)
		}
		if err == nil && s.Outcome != "" {
			res.firstToken = time.Since(arrived)
			return checkLot(r, res, s)
		}
		select {
		case <-ctx.Done():
			res.firstToken = 0
			return errors.Errorf("accepted request %s has no outcome in time", res.id)
		case <-time.After(lotPollInterval):
		}
	}
}

// lookup reads the status of an accepted request from a ready daemon. After an error
// the outcome of the request is still open, so the caller should look it up again.
func (c *client) lookup(ctx context.Context, r *request, location string) (*lotStatus, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.Header.Set("Authorization", "Bearer "+r.caller.Key)
	x, err := c.startExchange(ctx, req, location)
	if err != nil {
		return nil, err
	}
	body, err := x.ReadAll(maxResponseBytes)
	if err != nil {
		return nil, err
	}
	if code := x.Response.StatusCode(); code != fasthttp.StatusOK {
		return nil, errors.Errorf("look up request: status %d: %s", code, body)
	}
	s := &lotStatus{}
	return s, errors.Wrap(json.Unmarshal(body, s), "decode status of accepted request")
}

// checkLot sets the verdict of a not-run or unknown outcome, and checks the text of
// an answered one.
func checkLot(r *request, res *result, s *lotStatus) error {
	switch s.Outcome {
	case "not-run":
		res.verdict, res.detail = NotRun, s.Reason
		return nil
	case "unknown":
		res.verdict, res.detail = Unknown, s.Reason
		return nil
	}
	if want := expectedText(r); s.Text != want || s.Tokens != r.tokens {
		return verdictErrorf(Wrong, "%d tokens, text %q, expected %d tokens, %q", s.Tokens, s.Text, r.tokens, want)
	}
	return nil
}

// expectedText returns the complete text that the engines generate for r.
func expectedText(r *request) string {
	w := completion.NewTokenGenerator(r.prompt)
	var text []byte
	for i := range r.tokens {
		text = append(text, w.Token(i)...)
	}
	return string(text)
}
