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
	timeout      = 4 * time.Second // patience of one call
	grace        = time.Second     // that a caller listens beyond its patience
	askAgain     = 400 * time.Millisecond
	maxAsks      = 8 // of one key whose outcome is not known
	streamTokens = 30
	lotTokens    = 60
	maxBody      = 1 << 20
)

// answer is one HTTP answer.
type answer struct {
	status  int
	outcome string
	body    []byte
}

// start sends one request and returns the exchange once its header has come.
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
		req.Header.Set("Request-Timeout", strconv.FormatFloat(timeout.Seconds(), 'f', -1, 64))
	}
	if body != "" {
		req.Header.SetContentType("application/json")
		req.SetBodyString(body)
	}
	return r.pool.Start(ctx, address, req, true)
}

// call sends one request and reads the whole answer.
func (r *runner) call(ctx context.Context, method, path, key, body string, async bool) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout+grace)
	defer cancel()
	x, err := r.start(ctx, method, path, key, body, async)
	if err != nil {
		return nil, err
	}
	a := &answer{status: x.Response.StatusCode(), outcome: string(x.Response.Header.Peek("Lagoonmux-Outcome"))}
	a.body, err = x.ReadAll(maxBody)
	return a, err
}

// neverSent tells whether no byte of the request left this caller.
func neverSent(err error) bool {
	var ue *upstream.Error
	return errors.As(err, &ue) && !ue.MaybeSent
}

// order places an order that may not be repeated, and asks again under its key
// while it doesn't know the outcome.
func (r *runner) order(ctx context.Context, id string) {
	key := "order-" + id
	last, detail := unknown, ""
	uncertain := false
	for range maxAsks {
		a, err := r.call(ctx, fasthttp.MethodPost, "/svc/"+r.Desk+"/orders", key, `{"tin":"`+id+`"}`, false)
		switch {
		case neverSent(err):
			last = notRun
		case err != nil:
			last, uncertain = unknown, true
		case a.outcome == "answered":
			last, detail = judgeOrder(a.body, key, id)
			r.count(key, last, detail)
			return
		case a.outcome == "not-run":
			last = notRun
		default:
			last, uncertain = unknown, true
		}
		if last == notRun && !uncertain && err == nil {
			break
		}
		time.Sleep(askAgain)
	}
	if uncertain {
		last = unknown
	}
	r.count(key, last, detail)
}

func judgeOrder(body []byte, key, id string) (end, string) {
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

// stream asks for a streamed answer once.
func (r *runner) stream(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, timeout+grace)
	defer cancel()
	x, err := r.start(ctx, fasthttp.MethodPost, completion.Path, "", r.completion(id, streamTokens, true), false)
	if err != nil {
		e := unknown
		if neverSent(err) {
			e = notRun
		}
		r.count("", e, "")
		return
	}
	defer x.Cancel()
	switch string(x.Response.Header.Peek("Lagoonmux-Outcome")) {
	case "not-run":
		r.count("", notRun, "")
	case "answered":
		e, detail := r.readStream(x, id)
		r.count("", e, detail)
	default:
		r.count("", unknown, "")
	}
}

func (r *runner) readStream(x *upstream.Exchange, id string) (end, string) {
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
		return cut, id + ": ended after " + strconv.Itoa(next)
	}
	return answered, ""
}

// status is what a daemon tells of a recorded request.
type status struct {
	State   string `json:"state"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Text    string `json:"text"`
	Reply   struct {
		Body string `json:"body"`
	} `json:"reply"`
}

// lot has a lot accepted and waits for its answer.
func (r *runner) lot(ctx context.Context, id string) {
	s, e, ok := r.owe(ctx, completion.Path, "lot-"+id, r.completion(id, lotTokens, false))
	if !ok {
		r.count("", e, "")
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

// booking has a call accepted that may not be repeated, and waits for its
// answer. It may end as unknown.
func (r *runner) booking(ctx context.Context, id string) {
	key := "booking-" + id
	s, e, ok := r.owe(ctx, "/svc/"+r.Desk+"/orders", key, `{"seat":"`+id+`"}`)
	switch {
	case !ok:
		r.count(key, e, "")
	case s.Outcome == "answered":
		e, detail := judgeOrder([]byte(s.Reply.Body), key, id)
		r.count(key, e, detail)
	case s.Outcome == "unknown" || s.State == stateDispatched:
		r.count(key, unknown, "")
	default:
		r.count(key, lost, key+": "+s.State+" "+s.Outcome+" "+s.Reason)
	}
}

// stateDispatched is the state of a booking whose daemon died with it.
const stateDispatched = "dispatched"

// owe has a request accepted and returns its status at the end. Without ok it
// was not accepted, and e says how that ended.
func (r *runner) owe(ctx context.Context, path, key, body string) (s status, e end, ok bool) {
	a, err := r.call(ctx, fasthttp.MethodPost, path, key, body, true)
	switch {
	case neverSent(err) || (err == nil && a.outcome == "not-run"):
		return s, notRun, false
	case err != nil || a.status != fasthttp.StatusAccepted:
		return s, unknown, false
	}
	var location struct {
		Location string `json:"location"`
	}
	if err := json.Unmarshal(a.body, &location); err != nil {
		return s, unknown, false
	}
	for stop := time.Now().Add(r.Settle); time.Now().Before(stop); time.Sleep(askAgain) {
		a, err := r.call(ctx, fasthttp.MethodGet, location.Location, "", "", false)
		if err == nil && a.status == fasthttp.StatusOK && json.Unmarshal(a.body, &s) == nil && s.Outcome != "" {
			break
		}
	}
	return s, answered, true
}

// audit asks the desks how often each key ran.
func (r *runner) audit() error {
	runs := make(map[string]int)
	active := manifest.NewActive(0, r.Manifest)
	for _, u := range r.Manifest.Upstreams {
		if active.Service(u.Service).Kind != manifest.Plain {
			continue
		}
		code, body, err := fasthttp.GetTimeout(nil, "http://"+u.Address+plain.RunsPath, timeout)
		one := make(map[string]int)
		if err != nil || code != fasthttp.StatusOK || json.Unmarshal(body, &one) != nil {
			return errors.Errorf("runs of %s: status %d, error %v", u.Name, code, err)
		}
		for key, n := range one {
			runs[key] += n
		}
	}
	for key, e := range r.keys {
		switch {
		case runs[key] > 1:
			r.row.Doubled++
			r.row.Details = append(r.row.Details, key+" doubled")
		case runs[key] > 0 && e == notRun:
			r.row.RanNotRun++
			r.row.Details = append(r.row.Details, key+" was told not-run and ran")
		}
	}
	return nil
}
