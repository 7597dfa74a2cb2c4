package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/entry"
	"github.com/lagoonmux/lagoonmux/internal/sse"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

// result holds the outcome and the latencies of one request.
type result struct {
	customer   int
	arrival    time.Duration // scheduled send time, since the start of the run
	outcome    string        // value of entry.HeaderOutcome, or "wrong-answer"
	complete   bool          // the stream ended after all expected tokens
	firstToken time.Duration // time to the first token
	tokenGaps  []time.Duration
	total      time.Duration
}

// runLoad sends each request at its scheduled time (open loop), to the daemons in turn, and
// returns the results in the same order.
func runLoad(requests []Request, m *Mix, addresses []string) []result {
	pool := upstream.NewPool()
	defer pool.Close()
	results := make([]result, len(requests))
	var wg sync.WaitGroup
	start := time.Now()
	for i := range requests {
		time.Sleep(time.Until(start.Add(requests[i].At)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = sendRequest(pool, addresses[i%len(addresses)], m, &requests[i])
		}()
	}
	wg.Wait()
	return results
}

// sendRequest sends one request and waits for the end of its response, for at most twice the
// service's total target (totalMS).
func sendRequest(pool *upstream.Pool, address string, m *Mix, r *Request) result {
	ctx, cancel := context.WithTimeout(context.Background(), 2*totalMS*time.Millisecond)
	defer cancel()
	res := result{customer: r.Customer, arrival: r.At}
	start := time.Now()
	req, err := newRequest(address, m, r)
	if err != nil {
		return res
	}
	defer fasthttp.ReleaseRequest(req)
	exchange, err := pool.Start(ctx, address, req, false)
	if err != nil {
		return res
	}
	defer exchange.Cancel()
	res.outcome = string(exchange.Response.Header.Peek(entry.HeaderOutcome))
	if exchange.Response.StatusCode() == fasthttp.StatusOK {
		res.readStream(exchange, r, start)
	}
	res.total = time.Since(start)
	return res
}

func newRequest(address string, m *Mix, r *Request) (*fasthttp.Request, error) {
	body, err := json.Marshal(&completion.Request{Model: serviceName, Prompt: completion.Text(r.Prompt), MaxTokens: r.ResponseTokens, Stream: true})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + completion.Path)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer key-of-"+m.Customers[r.Customer])
	req.SetBodyRaw(body)
	return req, nil
}

// readStream reads a streamed response and checks that its tokens are those of the request's
// prompt. Sets complete if all of them arrived.
func (res *result) readStream(exchange *upstream.Exchange, r *Request, start time.Time) {
	events := sse.NewReader(bufio.NewReader(exchange.Body()))
	expected := completion.NewTokenGenerator(r.Prompt)
	last := start
	for n := 0; ; n++ {
		ev, err := events.Next()
		if err != nil {
			return
		}
		if string(ev.Data) == sse.Done {
			res.complete = n == r.ResponseTokens
			return
		}
		var chunk completion.Response
		if json.Unmarshal(ev.Data, &chunk) != nil {
			return
		}
		if text, _ := chunk.FirstChoice(); text != expected.Token(n) {
			res.outcome = "wrong-answer"
			return
		}
		now := time.Now()
		if n == 0 {
			res.firstToken = now.Sub(start)
		} else {
			res.tokenGaps = append(res.tokenGaps, now.Sub(last))
		}
		last = now
	}
}
