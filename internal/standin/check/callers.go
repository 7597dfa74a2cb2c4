package check

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/sse"
	"github.com/lagoonmux/lagoonmux/internal/standin/plain"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	callTimeout  = 4 * time.Second // of one call, also sent as Request-Timeout
	lateGrace    = time.Second     // time after its timeout for which a caller still reads
	retryDelay   = 400 * time.Millisecond
	maxAttempts  = 8 // of an order under one key, until its outcome is known
	streamTokens = 30
	lotTokens    = 60
	maxBodyBytes = 1 << 20
)

// response is a complete HTTP response.
type response struct {
	code    int
	outcome string
	body    []byte
}

// start sends one request to the next daemon and returns the exchange once the
// response head has arrived.
func (r *runner) start(ctx context.Context, method, path, key, body string, async bool) (*upstream.Exchange, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	address := r.address()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+r.Key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if async {
		req.Header.Set("Prefer", "respond-async")
	} else {
		req.Header.Set("Request-Timeout", strconv.FormatFloat(callTimeout.Seconds(), 'f', -1, 64))
	}
	if body != "" {
		req.Header.SetContentType("application/json")
		req.SetBodyString(body)
	}
	return r.pool.Start(ctx, address, req, true)
}

// call sends one request and reads the complete response.
func (r *runner) call(ctx context.Context, method, path, key, body string, async bool) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+lateGrace)
	defer cancel()
	x, err := r.start(ctx, method, path, key, body, async)
	if err != nil {
		return nil, err
	}
	resp := &response{code: x.Response.StatusCode(), outcome: string(x.Response.Header.Peek("Lagoonmux-Outcome"))}
	resp.body, err = x.ReadAll(maxBodyBytes)
	return resp, err
}

// notSent reports whether err guarantees that no byte of the request was sent.
func notSent(err error) bool {
	var ue *upstream.Error
	return errors.As(err, &ue) && !ue.MaybeSent
}

// placeOrder places an order, a non-repeatable call. Until its outcome is certain it
// retries with the same key, in all at most maxAttempts times.
func (r *runner) placeOrder(ctx context.Context, id string) {
	key := "order-" + id
	last, detail := unknown, ""
	uncertain := false
	for range maxAttempts {
		resp, err := r.call(ctx, fasthttp.MethodPost, "/svc/"+r.PlainService+"/orders", key, `{"tin":"`+id+`"}`, false)
		switch {
		case notSent(err):
			last = notRun
		case err != nil:
			last, uncertain = unknown, true
		case resp.outcome == "answered":
			last, detail = checkOrder(resp.body, key, id)
			r.count(key, last, detail)
			return
		case resp.outcome == "not-run":
			last = notRun
		default:
			last, uncertain = unknown, true
		}
		if last == notRun && !uncertain && err == nil {
			break
		}
		time.Sleep(retryDelay)
	}
	if uncertain {
		last = unknown
	}
	r.count(key, last, detail)
}

// checkOrder checks that body is the response to the order with the key and id. It
// returns the outcome, and details if the check fails.
func checkOrder(body []byte, key, id string) (outcome, string) {
	var res plain.Result
	if err := json.Unmarshal(body, &res); err != nil {
		return cut, key + ": " + err.Error()
	}
	if res.Key != key || !strings.Contains(res.Echo, `"`+id+`"`) {
		return crossed, key + ": " + string(body)
	}
	return answered, ""
}

func (r *runner) prompt(id string) string {
	return "A fortune for request " + id + " of the check, told to whoever opens it."
}

func (r *runner) completion(id string, tokens int, stream bool) string {
	body, err := json.Marshal(completion.Request{Model: r.Model, Prompt: completion.Text(r.prompt(id)), MaxTokens: tokens, Stream: stream})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// runStream sends a streamed completion request once, without retries.
func (r *runner) runStream(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+lateGrace)
	defer cancel()
	x, err := r.start(ctx, fasthttp.MethodPost, completion.Path, "", r.completion(id, streamTokens, true), false)
	if err != nil {
		result := unknown
		if notSent(err) {
			result = notRun
		}
		r.count("", result, "")
		return
	}
	defer x.Cancel()
	switch string(x.Response.Header.Peek("Lagoonmux-Outcome")) {
	case "not-run":
		r.count("", notRun, "")
	case "answered":
		result, detail := r.readStream(x, id)
		r.count("", result, detail)
	default:
		r.count("", unknown, "")
	}
}

// readStream reads a stream and checks the index and the text of each token. It
// returns the outcome, and details if the check fails.
func (r *runner) readStream(x *upstream.Exchange, id string) (outcome, string) {
	events := sse.NewReader(bufio.NewReader(x.Body()))
	next := 0
	for {
		e, err := events.Next()
		if err != nil {
			return broken, ""
		}
		if string(e.Data) == sse.Done {
			break
		}
		var c completion.Response
		if err := json.Unmarshal(e.Data, &c); err != nil {
			return crossed, id + ": " + err.Error()
		}
		text, _ := c.FirstChoice()
		if int(e.ID) != next || text != completion.TokenAt(r.prompt(id), next) {
			return crossed, id + ": token " + strconv.Itoa(next) + " is " + string(e.Data)
		}
		next++
	}
	if next != streamTokens {
		return cut, id + ": tokens before the end of the stream: " + strconv.Itoa(next)
	}
	return answered, ""
}

// lotStatus is a daemon's response to the lookup of an accepted request.
type lotStatus struct {
	State   string `json:"state"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Text    string `json:"text"`
	Reply   struct {
		Body string `json:"body"`
	} `json:"reply"`
}

// runLot submits a lot and checks its text once it is done.
func (r *runner) runLot(ctx context.Context, id string) {
	s, result, ok := r.submitAsync(ctx, completion.Path, "lot-"+id, r.completion(id, lotTokens, false))
	if !ok {
		r.count("", result, "")
		return
	}
	var want strings.Builder
	for i := range lotTokens {
		want.WriteString(completion.TokenAt(r.prompt(id), i))
	}
	switch {
	case s.Outcome != "answered":
		r.count("", lost, "lot-"+id+": "+s.State+" "+s.Reason)
	case s.Text == want.String():
		r.count("", answered, "")
	case strings.HasPrefix(want.String(), s.Text):
		r.count("", cut, "lot-"+id)
	default:
		r.count("", crossed, "lot-"+id)
	}
}

// runBooking submits a non-repeatable call for asynchronous processing and checks its
// response once it is done. Its outcome may be unknown.
func (r *runner) runBooking(ctx context.Context, id string) {
	key := "booking-" + id
	s, result, ok := r.submitAsync(ctx, "/svc/"+r.PlainService+"/orders", key, `{"seat":"`+id+`"}`)
	switch {
	case !ok:
		r.count(key, result, "")
	case s.Outcome == "answered":
		result, detail := checkOrder([]byte(s.Reply.Body), key, id)
		r.count(key, result, detail)
	case s.Outcome == "unknown" || s.State == stateDispatched:
		r.count(key, unknown, "")
	default:
		r.count(key, lost, key+": "+s.State+" "+s.Outcome+" "+s.Reason)
	}
}

// stateDispatched is the final state of a booking whose daemon died while the call
// was dispatched: it may have run.
const stateDispatched = "dispatched"

// submitAsync submits a request for asynchronous processing and polls its status until
// there is an outcome or LotTimeout has passed. ok is false if the request was not
// accepted; result is then the outcome.
func (r *runner) submitAsync(ctx context.Context, path, key, body string) (s lotStatus, result outcome, ok bool) {
	resp, err := r.call(ctx, fasthttp.MethodPost, path, key, body, true)
	switch {
	case notSent(err) || (err == nil && resp.outcome == "not-run"):
		return s, notRun, false
	case err != nil || resp.code != fasthttp.StatusAccepted:
		return s, unknown, false
	}
	var location struct {
		Location string `json:"location"`
	}
	if err := json.Unmarshal(resp.body, &location); err != nil {
		return s, unknown, false
	}
	for stop := time.Now().Add(r.LotTimeout); time.Now().Before(stop); time.Sleep(retryDelay) {
		resp, err := r.call(ctx, fasthttp.MethodGet, location.Location, "", "", false)
		if err == nil && resp.code == fasthttp.StatusOK && json.Unmarshal(resp.body, &s) == nil && s.Outcome != "" {
			break
		}
	}
	return s, answered, true
}

// auditRuns asks the stand-ins of plain services how often each key ran, and counts
// the keys that ran twice or ran with outcome not-run.
func (r *runner) auditRuns() error {
	runs := make(map[string]int)
	active := manifest.NewActive(0, r.Manifest)
	for _, u := range r.Manifest.Upstreams {
		if active.Service(u.Service).Kind != manifest.Plain {
			continue
		}
		code, body, err := fasthttp.GetTimeout(nil, "http://"+u.Address+plain.RunsPath, callTimeout)
		counts := make(map[string]int)
		if err != nil || code != fasthttp.StatusOK || json.Unmarshal(body, &counts) != nil {
			return errors.Errorf("read runs of stand-in %s: status %d, error %v", u.Name, code, err)
		}
		for key, n := range counts {
			runs[key] += n
		}
	}
	for key, result := range r.keys {
		switch {
		case runs[key] > 1:
			r.row.Doubled++
			r.row.Details = append(r.row.Details, key+" ran more than once")
		case runs[key] > 0 && result == notRun:
			r.row.RanNotRun++
			r.row.Details = append(r.row.Details, key+" ran with outcome not-run")
		}
	}
	return nil
}
