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

// result is how one request ended.
type result struct {
	customer   int
	arrival    time.Duration // of its arrival
	outcome    string
	complete   bool
	firstToken time.Duration
	tokenGaps  []time.Duration
	total      time.Duration
}

// runLoad sends the requests at their times to the daemons in turn and returns
// how they ended.
func runLoad(asks []Request, m *Mix, callers []string) []result {
	pool := upstream.NewPool()
	defer pool.Close()
	results := make([]result, len(asks))
	var wg sync.WaitGroup
	start := time.Now()
	for i := range asks {
		time.Sleep(time.Until(start.Add(asks[i].At)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = sendRequest(pool, callers[i%len(callers)], m, &asks[i])
		}()
	}
	wg.Wait()
	return results
}

func sendRequest(pool *upstream.Pool, address string, m *Mix, a *Request) result {
	ctx, cancel := context.WithTimeout(context.Background(), 2*totalMS*time.Millisecond)
	defer cancel()
	out := result{customer: a.Customer, arrival: a.At}
	began := time.Now()
	req, err := newRequest(address, m, a)
	if err != nil {
		return out
	}
	defer fasthttp.ReleaseRequest(req)
	x, err := pool.Start(ctx, address, req, false)
	if err != nil {
		return out
	}
	defer x.Cancel()
	out.outcome = string(x.Response.Header.Peek(entry.HeaderOutcome))
	if x.Response.StatusCode() == fasthttp.StatusOK {
		out.readStream(x, a, began)
	}
	out.total = time.Since(began)
	return out
}

func newRequest(address string, m *Mix, a *Request) (*fasthttp.Request, error) {
	body, err := json.Marshal(&completion.Request{Model: serviceName, Prompt: completion.Text(a.Prompt), MaxTokens: a.ResponseTokens, Stream: true})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + completion.Path)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer key-of-"+m.Customers[a.Customer])
	req.SetBodyRaw(body)
	return req, nil
}

// readStream takes in a streamed answer and checks that it is whole and its own.
func (e *result) readStream(x *upstream.Exchange, a *Request, began time.Time) {
	events := sse.NewReader(bufio.NewReader(x.Body()))
	words := completion.NewTokenGenerator(a.Prompt)
	last := began
	for n := 0; ; n++ {
		ev, err := events.Next()
		if err != nil {
			return
		}
		if string(ev.Data) == sse.Done {
			e.complete = n == a.ResponseTokens
			return
		}
		var chunk completion.Response
		if json.Unmarshal(ev.Data, &chunk) != nil {
			return
		}
		if text, _ := chunk.FirstChoice(); text != words.Token(n) {
			e.outcome = "wrong-answer"
			return
		}
		now := time.Now()
		if n == 0 {
			e.firstToken = now.Sub(began)
		} else {
			e.tokenGaps = append(e.tokenGaps, now.Sub(last))
		}
		last = now
	}
}
