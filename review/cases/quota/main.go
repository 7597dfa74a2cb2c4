//go:build review

// Command quota lets a small tenant ask for its usual, and then for 7.2 times 10,000 tokens a
// second over 11 s: every 6 s it sends one large request to each machine at the same moment. It
// counts the tokens of what runs in a window.
package main

import (
	"bufio"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/review/kit"
)

// The tenant's limit, the bounds of the rule, and the sizes of the tenant's requests in tokens.
const (
	rate, burst  = 18000, 18000
	window       = 8 * time.Second // quotaWindowS
	excess       = 0.1             // quotaExcess
	slack        = 72000           // quotaSlack
	small, large = 1300, 36000
	machines     = 9
	hotFrom, hot = 9 * time.Second, 11 * time.Second
	between      = 6 * time.Second // large requests
)

type sent struct {
	at     time.Time
	tokens int
}

func main() {
	d := kit.New()
	config := kit.Config(7, kit.Route("lote", "/lote/", "streaming", "engines", 6000, 2, true))
	config["tenants"] = []map[string]any{{"name": "hule930", "apiKeys": []string{kit.Key}, "priority": 1, "unit": "token_count", "plainTokens": 200,
		"ratePerS": rate, "burst": burst}}
	d.Configure(config)
	serve := func(a *kit.Arrival, w *bufio.Writer) bool {
		time.Sleep(20 * time.Millisecond)
		return kit.WriteStream(w, a, 8, 20*time.Millisecond)
	}
	var runners []*kit.Runner
	for i := range 6 {
		runners = append(runners, d.StartRunner(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "engines", fmt.Sprintf("sierra-%c", 'a'+i%3), serve))
	}
	d.StartDaemons(machines)

	var mu sync.Mutex
	requests := make(map[string]sent) // by id
	var g sync.WaitGroup
	send := func(n, daemon, tokens int) {
		id := kit.NewID(daemon + 1)
		mu.Lock()
		requests[id] = sent{time.Now(), tokens}
		mu.Unlock()
		g.Go(func() {
			header := fmt.Sprintf("X-Model: m\r\nX-Token-Count: %d,200\r\nX-Prompt-Prefix: 5c1e07a2:300,%08x:%d\r\n", tokens-200, 0x10000000+n, tokens-500)
			r := kit.Request{Method: "POST", Path: "/lote/2f", ID: id, Header: header, Body: strings.Repeat("x", 2*tokens), Timeout: 6 * time.Second}.Send(d.Daemons[daemon].Front)
			d.Log("%s of %d tokens, sent to %s: %d", id, tokens, d.Daemons[daemon].Name, r.Status)
		})
	}
	begin := time.Now()
	volleys := 0
	for n := range int((hotFrom + hot) / (100 * time.Millisecond)) { // 13,000 tokens a second, its usual at the peak of a wave
		now := time.Duration(n) * 100 * time.Millisecond
		time.Sleep(time.Until(begin.Add(now)))
		send(n, n%machines, small)
		if d.Trouble && now >= hotFrom+time.Duration(volleys)*between {
			volleys++
			d.Log("the tenant sends one request of %d tokens to each machine", large)
			for i := range machines {
				send(1000*volleys+i, i, large)
			}
		}
	}
	g.Wait()

	// Requests count if they were sent and arrived in the window.
	type run struct {
		sent, at time.Time
		tokens   int
	}
	var runs []run
	seen := make(map[string]bool)
	for _, r := range runners {
		for _, a := range r.Arrivals() {
			if s, ok := requests[a.ID]; ok && !seen[a.ID] {
				seen[a.ID] = true
				runs = append(runs, run{s.at, a.At, s.tokens})
			}
		}
	}
	most := 0
	for _, first := range runs {
		sum := 0
		for _, r := range runs {
			if !r.sent.Before(first.sent) && r.at.Sub(first.sent) <= window {
				sum += r.tokens
			}
		}
		most = max(most, sum)
	}
	allowed := (rate*window.Seconds()+burst)*(1+excess) + slack
	d.Exit(float64(most) > allowed, "%d tokens ran in some %v; %.0f are allowed; %d of %d requests ran", most, window, allowed, len(runs), len(requests))
}
