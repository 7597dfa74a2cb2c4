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
	// lateGrace is how long a caller listens beyond its timeout, so that a late
	// answer is told from one that never comes.
	lateGrace        = 3 * time.Second
	retryDelay       = 100 * time.Millisecond
	maxResponseBytes = 16 << 20
	readBytes        = 4096
)

// Verdict is what became of one request, as its caller saw it.
type Verdict string

// Verdicts.
const (
	OnTime     Verdict = "on_time"
	Late       Verdict = "late" // whole and right, after the timeout or the first token's target
	NotRun     Verdict = "not_run"
	Unknown    Verdict = "unknown"
	Cut        Verdict = "cut"       // broke off after its first token
	NoResponse Verdict = "no_answer" // connection closed or silent without an answer
	HungUp     Verdict = "hung_up"   // the caller itself closed
	Crossed    Verdict = "crossed"   // bears the id of another request
	Wrong      Verdict = "wrong"     // other bytes than the request's own answer
)

// result is one request's verdict with its timing.
type result struct {
	verdict Verdict
	status  int
	id      string          // given by the daemon
	first   time.Duration   // to the first token, from the scheduled arrival
	total   time.Duration   // to the last byte
	gaps    []time.Duration // between tokens
	retries int             // how often it was asked again after an unknown outcome
	detail  string          // of a verdict that is not on time
}

// client sends requests to the daemons.
type client struct {
	pool     *upstream.Pool
	balancer *balancer
}

// verdictError is an answer that is not the request's own.
type verdictError struct {
	verdict Verdict
	detail  string
}

// Error implements error.
func (e *verdictError) Error() string { return string(e.verdict) + ": " + e.detail }

func verdictErrorf(v Verdict, format string, args ...any) error {
	return &verdictError{verdict: v, detail: fmt.Sprintf(format, args...)}
}

// do sends r, whose arrival was scheduled for arrived, and judges the answer. A
// caller that is told unknown asks again under the same key until the record
// of its request says more or its patience ends.
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

// attempt sends r and judges the answer.
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

// send sends r to a ready daemon.
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

// startExchange finds a daemon that takes the connection. A reused connection may have
// been closed by the daemon meanwhile, upon which a new one is tried.
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

// receive reads the answer and checks it.
func (c *client) receive(x *upstream.Exchange, r *request, res *result, arrived time.Time) error {
	outcome := string(x.Response.Header.Peek(entry.HeaderOutcome))
	if outcome != "answered" {
		body, err := x.ReadAll(maxResponseBytes)
		res.detail = string(body)
		if err == nil && outcome == "" {
			err = verdictErrorf(Wrong, "status %d without an outcome", res.status)
		}
		res.verdict = map[string]Verdict{"not-run": NotRun, "unknown": Unknown}[outcome]
		return err
	}
	if res.status != fasthttp.StatusOK {
		x.Cancel()
		return verdictErrorf(Wrong, "answered with status %d", res.status)
	}
	if r.caller.Kind == Stream || r.caller.Kind == Chat {
		return c.receiveStream(x, r, res, arrived)
	}
	body, err := x.ReadAll(maxResponseBytes)
	if err != nil {
		return err
	}
	res.first = time.Since(arrived)
	if r.caller.Kind == Plain {
		return checkPlain(r, body)
	}
	return checkNonStream(r, res.id, body)
}

func (c *client) receiveStream(x *upstream.Exchange, r *request, res *result, arrived time.Time) error {
	events := sse.NewReader(bufio.NewReaderSize(x.Body(), readBytes))
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
			res.first = now.Sub(arrived)
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

// finishBody reads the end of a streamed body and frees the connection.
func finishBody(x *upstream.Exchange) error {
	_, err := x.ReadAll(readBytes)
	return err
}

// setVerdict settles the verdict.
func (c *client) setVerdict(r *request, res *result, err error) {
	var wrong *verdictError
	switch {
	case errors.As(err, &wrong):
		res.verdict, res.detail = wrong.verdict, wrong.detail
	case err != nil && res.first > 0:
		res.verdict, res.detail = Cut, err.Error()
	case err != nil:
		res.verdict, res.detail = NoResponse, err.Error()
	case res.verdict != "":
	case res.total > r.caller.timeout():
		res.verdict = Late
	case r.caller.FirstTokenMS > 0 && res.first > time.Duration(r.caller.FirstTokenMS)*time.Millisecond:
		res.verdict = Late
	default:
		res.verdict = OnTime
	}
}

func checkPlain(r *request, body []byte) error {
	var got plain.Result
	if err := json.Unmarshal(body, &got); err != nil {
		return verdictErrorf(Wrong, "undecodable answer: %v", err)
	}
	if got.Echo != string(r.body) || got.Path != r.caller.Path || got.Key != r.key {
		return verdictErrorf(Crossed, "answer to path %s key %s, asked path %s key %s", got.Path, got.Key, r.caller.Path, r.key)
	}
	return nil
}

func checkNonStream(r *request, id string, body []byte) error {
	var got completion.Response
	if err := json.Unmarshal(body, &got); err != nil {
		return verdictErrorf(Wrong, "undecodable answer: %v", err)
	}
	if got.ID != id {
		return verdictErrorf(Crossed, "answer of %s, asked %s", got.ID, id)
	}
	want := expectedText(r)
	if text, _ := got.FirstChoice(); text != want {
		return verdictErrorf(Wrong, "text %q, expected %q", text, want)
	}
	return nil
}
