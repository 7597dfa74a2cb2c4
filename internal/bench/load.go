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

// ended is how one request ended.
type ended struct {
	customer int
	at       time.Duration // of its arrival
	outcome  string
	whole    bool
	first    time.Duration
	between  []time.Duration
	total    time.Duration
}

// drive sends the requests at their times to the daemons in turn and returns
// how they ended.
func drive(asks []Ask, m *Mix, callers []string) []ended {
	pool := upstream.NewPool()
	defer pool.Close()
	results := make([]ended, len(asks))
	var wg sync.WaitGroup
	start := time.Now()
	for i := range asks {
		time.Sleep(time.Until(start.Add(asks[i].At)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = send(pool, callers[i%len(callers)], m, &asks[i])
		}()
	}
	wg.Wait()
	return results
}

func send(pool *upstream.Pool, address string, m *Mix, a *Ask) ended {
	ctx, cancel := context.WithTimeout(context.Background(), 2*patienceMS*time.Millisecond)
	defer cancel()
	out := ended{customer: a.Customer, at: a.At}
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
		out.read(x, a, began)
	}
	out.total = time.Since(began)
	return out
}

func newRequest(address string, m *Mix, a *Ask) (*fasthttp.Request, error) {
	body, err := json.Marshal(&completion.Request{Model: serviceName, Prompt: completion.Text(a.Prompt), MaxTokens: a.Answer, Stream: true})
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

// read takes in a streamed answer and checks that it is whole and its own.
func (e *ended) read(x *upstream.Exchange, a *Ask, began time.Time) {
	events := sse.NewReader(bufio.NewReader(x.Body()))
	words := completion.NewTokenGenerator(a.Prompt)
	last := began
	for n := 0; ; n++ {
		ev, err := events.Next()
		if err != nil {
			return
		}
		if string(ev.Data) == sse.Done {
			e.whole = n == a.Answer
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
			e.first = now.Sub(began)
		} else {
			e.between = append(e.between, now.Sub(last))
		}
		last = now
	}
}
