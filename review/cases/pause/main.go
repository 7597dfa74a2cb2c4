//go:build review

// Command pause checks that daemons leave a runner alone for the time that it names in
// Retry-After. Its argument is the trouble: "long" lets the runner ask for fifteen minutes,
// "lapse" lets it ask for 20 s and be cut off from the store for 5 s meanwhile.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/review/kit"
)

// The rule: more than allowed requests reach a runner from a machine between grace after it has
// answered that machine 503 with Retry-After and the end of that time.
const (
	grace   = 500 * time.Millisecond
	allowed = 2
)

func main() {
	trouble := os.Args[1]
	pause := map[string]time.Duration{"long": 900 * time.Second, "lapse": 20 * time.Second}[trouble]
	d := kit.New()
	d.Configure(kit.Config(7, kit.Route("look", "/look/", "idempotent", "desk", 1000, 2, false)))

	var mu sync.Mutex
	asking := false
	askedAt := make(map[string]time.Time) // by daemon: when it was told to pause
	serve := func(a *kit.Arrival, w *bufio.Writer) bool {
		time.Sleep(15 * time.Millisecond)
		kit.WritePlain(w, a, "", "order 17: printed")
		return true
	}
	asker := d.StartRunner("i-7f3a91c2", "desk", "sierra-a", func(a *kit.Arrival, w *bufio.Writer) bool {
		mu.Lock()
		_, told := askedAt[kit.SentTo(a.ID)]
		turnAway := asking && !told
		if turnAway {
			askedAt[kit.SentTo(a.ID)] = time.Now()
		}
		mu.Unlock()
		if !turnAway {
			return serve(a, w) // it has room, so it serves what comes all the same
		}
		d.Log("%s turns away %s of daemon %s with 503 and Retry-After: %.0f", a.Runner.ID, a.ID, kit.SentTo(a.ID), pause.Seconds())
		kit.WriteRefusal(w, a, 503, fmt.Sprintf("Retry-After: %.0f\r\n", pause.Seconds()))
		return true
	})
	for i := range 4 {
		d.StartRunner(fmt.Sprintf("i-0b52c6a%d", i), "desk", fmt.Sprintf("sierra-%c", 'b'+i%2), serve)
	}
	d.StartDaemons(3)

	// Three clients of each daemon look up orders, one after the other.
	end := time.Now().Add(16 * time.Second)
	var g sync.WaitGroup
	counts := make(map[int]int)
	for i, p := range d.Daemons {
		for range 3 {
			g.Go(func() {
				for time.Now().Before(end) {
					id := kit.NewID(i + 1)
					r := kit.Request{Method: "GET", Path: "/look/17", ID: id, Timeout: time.Second}.Send(p.Front)
					d.Log("the client of %s, sent to %s, gets %d, whole=%v", id, p.Name, r.Status, r.Err == nil)
					mu.Lock()
					counts[r.Status]++
					mu.Unlock()
					time.Sleep(40 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if d.Trouble {
		mu.Lock()
		asking = true
		mu.Unlock()
		d.Log("%s is in need and turns each machine away once", asker.ID)
		if trouble == "lapse" {
			time.Sleep(time.Second)
			asker.CutFromStore(5 * time.Second)
		}
	}
	g.Wait()

	broken, verdict := false, "no runner asked for a pause"
	mu.Lock()
	defer mu.Unlock()
	for daemon, at := range askedAt {
		n := 0
		first := ""
		for _, a := range asker.Arrivals() {
			if kit.SentTo(a.ID) == daemon && a.At.After(at.Add(grace)) && a.At.Before(at.Add(pause)) {
				if n++; n == 1 {
					first = fmt.Sprintf(", the first %s after %.1f s", a.ID, a.At.Sub(at).Seconds())
				}
			}
		}
		d.Log("daemon %s, told at %.3f: %d requests reached %s within the pause%s", daemon, d.Since(at), n, asker.ID, first)
		if n > allowed {
			broken = true
		}
		verdict = fmt.Sprintf("%d machines were told to pause; the last one checked sent %d requests within the pause", len(askedAt), n)
	}
	d.Log("answers to clients by status: %v", counts)
	d.Exit(broken, "%s", verdict)
}
