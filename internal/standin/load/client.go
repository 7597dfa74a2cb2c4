package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/entry"
	"github.com/lagoonmux/lagoonmux/internal/sse"
	"github.com/lagoonmux/lagoonmux/internal/standin/plain"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	// lateGrace is the time after its timeout for which a caller still reads, to
	// distinguish a late response from one that never arrives.
	lateGrace        = 3 * time.Second
	retryDelay       = 100 * time.Millisecond
	maxResponseBytes = 16 << 20
	readBufferBytes  = 4096
)

// Verdict is the result of one request as seen by its caller.
type Verdict string

// Verdicts.
const (
	OnTime     Verdict = "on_time"
	Late       Verdict = "late"      // complete and correct, but after the timeout or the first-token target
	NotRun     Verdict = "not_run"   // outcome not-run
	Unknown    Verdict = "unknown"   // outcome unknown: the request may have run
	Cut        Verdict = "cut"       // ended early, after its first token
	NoResponse Verdict = "no_answer" // connection failed, or nothing arrived in time
	HungUp     Verdict = "hung_up"   // canceled by the caller, on purpose
	Crossed    Verdict = "crossed"   // has the ID of another request
	Wrong      Verdict = "wrong"     // differs from the response that the request should get
)

// result is the verdict and the timing of one request.
type result struct {
	verdict    Verdict
	status     int
	id         string          // request ID given by the daemon
	firstToken time.Duration   // to the first token, from the scheduled arrival
	total      time.Duration   // to the last byte, from the scheduled arrival
	gaps       []time.Duration // between tokens
	retries    int             // sends after an unknown outcome, under the same key
	detail     string          // describes a verdict other than on time
}

// client sends requests to the daemons and checks the responses.
type client struct {
	pool     *upstream.Pool
	balancer *balancer
}

// verdictError describes a response that is not the one expected. Its verdict is
// Wrong or Crossed.
type verdictError struct {
	verdict Verdict
	detail  string
}

// Error implements error.
func (e *verdictError) Error() string { return string(e.verdict) + ": " + e.detail }

func verdictErrorf(v Verdict, format string, args ...any) error {
	return &verdictError{verdict: v, detail: fmt.Sprintf(format, args...)}
}

// do sends r, whose arrival was scheduled for arrived, and returns the result. After
// an unknown outcome it retries a request with a key, under the same key, until
// another outcome is known or the caller's timeout has passed.
func (c *client) do(ctx context.Context, r *request, arrived time.Time) result {
	ctx, cancel := context.WithDeadline(ctx, arrived.Add(r.caller.timeout()+lateGrace))
	defer cancel()
	for retries := 0; ; retries++ {
		res := c.attempt(ctx, r, arrived)
		res.retries = retries
		if res.verdict != Unknown || r.key == "" || time.Since(arrived) > r.caller.timeout() {
			return res
		}
		time.Sleep(retryDelay)
	}
}

// attempt sends r once and checks the response.
func (c *client) attempt(ctx context.Context, r *request, arrived time.Time) result {
	res := result{}
	x, err := c.send(ctx, r)
	if err != nil {
		res.verdict, res.detail = NoResponse, err.Error()
		return res
	}
	res.status = x.Response.StatusCode()
	res.id = string(x.Response.Header.Peek(entry.HeaderRequestID))
	if res.status == fasthttp.StatusAccepted {
		err = c.awaitLot(ctx, x, r, &res, arrived)
	} else {
		err = c.receive(x, r, &res, arrived)
	}
	res.total = time.Since(arrived)
	c.setVerdict(r, &res, err)
	return res
}

// send sends r to a ready daemon and returns once the response head has arrived.
func (c *client) send(ctx context.Context, r *request) (*upstream.Exchange, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(r.method)
	req.Header.Set("Authorization", "Bearer "+r.caller.Key)
	req.Header.Set(entry.HeaderRequestTimeout, strconv.FormatFloat(r.caller.timeout().Seconds(), 'f', -1, 64))
	if r.key != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, r.key)
	}
	if r.caller.Kind == Lot {
		req.Header.Set("Prefer", "respond-async")
	}
	if len(r.body) > 0 {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(r.body)
	}
	return c.startExchange(ctx, req, r.path)
}

// startExchange sends req to the daemons in turn until one of them responds. The
// first attempt may reuse a connection that the daemon has closed in the meantime;
// later attempts open new ones. It gives up when a request on a new connection may
// have been sent.
func (c *client) startExchange(ctx context.Context, req *fasthttp.Request, path string) (*upstream.Exchange, error) {
	var last error
	for attempt := range c.balancer.size() + 1 {
		address := c.balancer.next()
		req.SetRequestURI("http://" + address + path)
		x, err := c.pool.Start(ctx, address, req, attempt > 0)
		if err == nil {
			return x, nil
		}
		last = err
		var ue *upstream.Error
		if ctx.Err() != nil || (attempt > 0 && errors.As(err, &ue) && ue.MaybeSent) {
			break
		}
	}
	return nil, last
}

// receive reads and checks the response of a request that was not accepted as a lot.
func (c *client) receive(x *upstream.Exchange, r *request, res *result, arrived time.Time) error {
	outcome := string(x.Response.Header.Peek(entry.HeaderOutcome))
	if outcome != "answered" {
		body, err := x.ReadAll(maxResponseBytes)
		res.detail = string(body)
		if err == nil && outcome == "" {
			err = verdictErrorf(Wrong, "response with status %d has no outcome", res.status)
		}
		res.verdict = map[string]Verdict{"not-run": NotRun, "unknown": Unknown}[outcome]
		return err
	}
	if res.status != fasthttp.StatusOK {
		x.Cancel()
		return verdictErrorf(Wrong, "outcome answered with status %d", res.status)
	}
	if r.caller.Kind == Stream || r.caller.Kind == Chat {
		return c.receiveStream(x, r, res, arrived)
	}
	body, err := x.ReadAll(maxResponseBytes)
	if err != nil {
		return err
	}
	res.firstToken = time.Since(arrived)
	if r.caller.Kind == Plain {
		return checkPlain(r, body)
	}
	return checkNonStream(r, res.id, body)
}

func (c *client) receiveStream(x *upstream.Exchange, r *request, res *result, arrived time.Time) error {
	events := sse.NewReader(bufio.NewReaderSize(x.Body(), readBufferBytes))
	check := newStreamCheck(r, res.id)
	last := arrived
	for {
		if check.next == r.hangUpAfter {
			x.Cancel()
			res.verdict = HungUp
			return nil
		}
		e, err := events.Next()
		if err != nil {
			x.Cancel()
			return err
		}
		now := time.Now()
		if string(e.Data) == sse.Done {
			break
		}
		if err := check.checkEvent(e); err != nil {
			x.Cancel()
			return err
		}
		if check.next == 1 {
			res.firstToken = now.Sub(arrived)
		} else {
			res.gaps = append(res.gaps, now.Sub(last))
		}
		last = now
	}
	if err := check.checkEnd(); err != nil {
		x.Cancel()
		return err
	}
	return finishBody(x)
}

// finishBody reads the rest of a streamed body, so that the connection can be reused.
func finishBody(x *upstream.Exchange) error {
	_, err := x.ReadAll(readBufferBytes)
	return err
}

// setVerdict sets the verdict and the detail of res from the error and the timing.
func (c *client) setVerdict(r *request, res *result, err error) {
	var wrong *verdictError
	switch {
	case errors.As(err, &wrong):
		res.verdict, res.detail = wrong.verdict, wrong.detail
	case err != nil && res.firstToken > 0:
		res.verdict, res.detail = Cut, err.Error()
	case err != nil:
		res.verdict, res.detail = NoResponse, err.Error()
	case res.verdict != "":
	case res.total > r.caller.timeout():
		res.verdict = Late
	case r.caller.FirstTokenMS > 0 && res.firstToken > time.Duration(r.caller.FirstTokenMS)*time.Millisecond:
		res.verdict = Late
	default:
		res.verdict = OnTime
	}
}

func checkPlain(r *request, body []byte) error {
	var got plain.Result
	if err := json.Unmarshal(body, &got); err != nil {
		return verdictErrorf(Wrong, "decode response: %v", err)
	}
	if got.Echo != string(r.body) || got.Path != r.caller.Path || got.Key != r.key {
		return verdictErrorf(Crossed, "response for path %s key %s, expected path %s key %s", got.Path, got.Key, r.caller.Path, r.key)
	}
	return nil
}

func checkNonStream(r *request, id string, body []byte) error {
	var got completion.Response
	if err := json.Unmarshal(body, &got); err != nil {
		return verdictErrorf(Wrong, "decode response: %v", err)
	}
	if got.ID != id {
		return verdictErrorf(Crossed, "response of request %s, expected %s", got.ID, id)
	}
	want := expectedText(r)
	if text, _ := got.FirstChoice(); text != want {
		return verdictErrorf(Wrong, "text %q, expected %q", text, want)
	}
	return nil
}
