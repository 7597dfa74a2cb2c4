//go:build review

// Command crash lets requests crash the runners that answer them, and counts how many such
// requests reach runners later. Arguments: what crashes a runner ("part" of a prompt, or the
// same "request" again), and when it does: "nothing" before any byte of the answer is out,
// "head" once the head is out, "event" once the head and the first event are out.
package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lagoonmux/lagoonmux/review/kit"
)

const (
	contact    = 3 * time.Second // contactMs
	allowed    = 3               // requests, or retries, later than contact after the crash that counts
	down       = 3 * time.Second // a runner is back after this time
	runners    = 18
	badPart    = "e4402b7d"
	deadlyBody = "the deadly request"
	length     = 24 * time.Second
)

func main() {
	kind, when := os.Args[1], os.Args[2]
	nth := map[string]int{"part": 5, "request": 3}[kind] // the crash that counts
	d := kit.New()
	d.Configure(kit.Config(7, kit.Route("lote", "/lote/", "streaming", "engines", 6000, 2, true)))

	bad := func(a *kit.Arrival) bool {
		return kind == "part" && strings.Contains(a.Request.Header.Get("X-Prompt-Prefix"), badPart+":") || kind == "request" && a.Body == deadlyBody
	}
	serve := func(a *kit.Arrival, w *bufio.Writer) bool {
		time.Sleep(20 * time.Millisecond)
		if !d.Trouble || !bad(a) {
			return kit.WriteStream(w, a, 8, 20*time.Millisecond)
		}
		d.Log("%s begins to answer %s", a.Runner.ID, a.ID)
		if when != "nothing" {
			kit.WriteStreamHead(w, a)
		}
		if when == "event" {
			kit.WriteEvent(w, a, 1)
		}
		_ = w.Flush()
		time.Sleep(5 * time.Millisecond)
		a.Runner.Crash(down)
		return false
	}
	var list []*kit.Runner
	for i := range runners {
		list = append(list, d.StartRunner(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "engines", fmt.Sprintf("sierra-%c", 'a'+i%3), serve))
	}
	d.StartDaemons(3)

	// Each daemon gets eight sound requests a second, no two alike, and in all one request a
	// second that crashes runners. All share their caller and their first part.
	end := time.Now().Add(length)
	var g sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	send := func(daemon int, n int, part, body, what string) {
		id := kit.NewID(daemon + 1)
		prompt := fmt.Sprintf("X-Model: m\r\nX-Token-Count: 900,24\r\nX-Prompt-Prefix: 5c1e07a2:300,%s:200,%08x:400\r\n", part, 0x10000000+n)
		r := kit.Request{Method: "POST", Path: "/lote/2f", ID: id, Header: prompt, Body: body, Timeout: 6 * time.Second}.Send(d.Daemons[daemon].Front)
		mu.Lock()
		counts[fmt.Sprintf("%s %d whole=%v", what, r.Status, r.Err == nil)]++
		mu.Unlock()
		d.Log("the client of %s (%s), sent to %s, gets %d, whole=%v, after %d ms", id, what, d.Daemons[daemon].Name, r.Status, r.Err == nil, r.Took.Milliseconds())
	}
	for i := range d.Daemons {
		g.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				g.Go(func() { send(i, 1000*i+n, fmt.Sprintf("91bd3f%02x", n%16), fmt.Sprintf("sound %d %d", i, n), "sound") })
				time.Sleep(125 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		part, body := badPart, fmt.Sprintf("with the part %d", n)
		if kind == "request" {
			part, body = "91bd3fff", deadlyBody
		}
		m := 100000 + n
		if kind == "request" {
			m = 100000 // the same prompt, too
		}
		g.Go(func() { send(n%len(d.Daemons), m, part, body, "bad") })
		time.Sleep(time.Second)
	}
	g.Wait()

	var crashes []time.Time
	var arrivals []kit.Arrival
	for _, r := range list {
		crashes = append(crashes, r.Crashes()...)
		for _, a := range r.Arrivals() {
			if bad(&a) {
				arrivals = append(arrivals, a)
			}
		}
	}
	slices.SortFunc(crashes, time.Time.Compare)
	slices.SortFunc(arrivals, func(a, b kit.Arrival) int { return a.At.Compare(b.At) })
	d.Log("answers to clients: %v", counts)
	d.Log("%d crashes, %d requests with what crashes runners reached runners", len(crashes), len(arrivals))
	if len(crashes) < nth {
		d.Exit(false, "%d crashes", len(crashes))
	}
	from := crashes[nth-1].Add(contact)
	n := 0
	for _, a := range arrivals {
		if a.At.After(from) {
			n++
			d.Log("counted: %s reached %s at %.3f", a.ID, a.Runner.ID, d.Since(a.At))
		}
	}
	d.Exit(n > allowed, "crash %d was at %.3f; %d requests reached runners later than %v after it (%d are allowed); %d crashes in all",
		nth, d.Since(crashes[nth-1]), n, contact, allowed, len(crashes))
}
