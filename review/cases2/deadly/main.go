//go:build review

// Command deadly plays case 9: one request crashes each server that runs it and comes again and
// again; all daemons are killed twice, each time after it has crashed two servers.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/standin/site"
	"github.com/lagoonmux/lagoonmux/review/kit2"
)

const (
	daemons      = 3
	servers      = 9
	backAfter    = 3 * time.Second // a crashed server is back
	contact      = 3 * time.Second // contactMs
	soundClients = 30
	shareOf      = 0.03                   // deadly requests may be this share of all; the entry in the news has share = 0.03
	longest      = 20 * time.Second       // between the first and the last; the entry has for_s = 20.0
	downFor      = 300 * time.Millisecond // of killed daemons
	allowed      = 3                      // retries, by the rule
	body         = "a request that crashes its server"
)

func main() { os.Exit(play()) }

// fleet is the servers of the service.
type fleet struct {
	platform *kit2.Platform
	record   *kit2.Record

	mu      sync.Mutex
	all     []*site.Upstream // every incarnation
	crashes []time.Time
	counted map[string]bool // ids of the retries that the rule counts
}

// add starts an incarnation of a server and writes its entry.
func (f *fleet) add(id string) error {
	u, err := site.StartUpstream(id)
	if err != nil {
		return err
	}
	u.CrashOnBody(body, f.ended)
	f.mu.Lock()
	f.all = append(f.all, u)
	f.mu.Unlock()
	f.platform.Store.PutJSON("servers", id, map[string]any{"service": "engines", "address": u.Address, "zone": "zone-a", "version": "v1", "slots": 48,
		"state": "ready", "coldLeftMs": 0, "seqNo": 1, "born": time.Now().UnixMilli()})
	return nil
}

// ended is called when a server has crashed: another one takes its place after some seconds.
func (f *fleet) ended(u *site.Upstream) {
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	n := len(f.crashes)
	f.mu.Unlock()
	f.record.Printf("server %s crashes, crash %d", u.ID, n)
	time.AfterFunc(backAfter, func() {
		f.platform.Store.Remove("servers", u.ID)
		if err := f.add(u.ID + "x"); err != nil {
			f.record.Printf("server %s is not back: %v", u.ID, err)
		}
	})
}

// arrivals returns the runs of the deadly request, in no order.
func (f *fleet) arrivals() (list []site.Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.all {
		for _, run := range u.Runs() {
			if run.Body == body {
				list = append(list, run)
			}
		}
	}
	return list
}

func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "lote", "host": "x.example", "prefix": "/stream/", "kind": "streaming", "timeoutMs": 6000, "sloMs": 400,
			"gapSloMs": 200, "service": "engines", "maxAttempts": 1, "priority": 1}},
		"services": []any{map[string]any{"name": "engines", "maxConns": 290, "healthPath": "/health"}},
		"tenants":  []any{map[string]any{"name": "one", "apiKeys": []string{"key-one"}, "unit": "token_count", "plainTokens": 200}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}

// send sends a request as a client and returns the status, 0 for none.
func send(front, id, body string) (int, error) {
	c, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	fmt.Fprintf(c, "POST /stream/1 HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func play() int {
	record, err := kit2.NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kit2.NotRun
	}
	notRun := func(err error) int {
		record.Printf("not run: %v", err)
		return kit2.NotRun
	}
	dir, err := os.MkdirTemp("", "deadly")
	if err != nil {
		return notRun(err)
	}
	defer os.RemoveAll(dir)
	p, err := kit2.NewPlatform(dir, nil)
	if err != nil {
		return notRun(err)
	}
	defer p.Close()
	f := &fleet{platform: p, record: record, counted: make(map[string]bool)}
	p.Store.PutJSON("op", "config", config())
	for i := range servers {
		if err := f.add(fmt.Sprintf("i-%d", i)); err != nil {
			return notRun(err)
		}
	}
	if err := p.AddDaemons(daemons); err != nil {
		return notRun(err)
	}
	if err := p.WaitReady(10 * time.Second); err != nil {
		return notRun(err)
	}
	time.Sleep(contact + time.Second)
	return f.play()
}

// pauses are those after each deadly request: all daemons are killed at the end of the marked ones.
var pauses = []struct {
	wait time.Duration
	kill bool
}{{2 * time.Second, false}, {time.Second, true}, {contact + 200*time.Millisecond, false}, {time.Second, true}, {2 * time.Second, false}, {2 * time.Second, false}, {time.Second, false}}

// play sends the deadly request again and again, and sound ones beside it.
func (f *fleet) play() int {
	stop := make(chan struct{})
	var sound, failed atomic.Int64
	var wg sync.WaitGroup
	for i := range soundClients {
		wg.Go(func() { f.sendSound(i, stop, &sound, &failed) })
	}
	var startedAt time.Time // of the daemons, after the last kill; zero before
	began := time.Now()
	for n, pause := range pauses {
		d := f.platform.Daemons[n%daemons]
		id := fmt.Sprintf("%016x", 1000+n)
		status, err := send(d.Front, id, body)
		f.record.Printf("deadly request %s to %s: status %d (%v)", id, d.Name, status, err)
		time.Sleep(pause.wait)
		if kit2.Trouble() && pause.kill {
			f.noteCounted(startedAt)
			if err := f.restart(); err != nil {
				f.record.Printf("not run: %v", err)
				return kit2.NotRun
			}
			startedAt = time.Now()
		}
		if pause.kill {
			time.Sleep(contact + 200*time.Millisecond) // the next ones come from machines in touch
		}
	}
	took := time.Since(began) - pauses[len(pauses)-1].wait
	f.noteCounted(startedAt)
	close(stop)
	wg.Wait()
	share := float64(len(pauses)) / float64(int64(len(pauses))+sound.Load()+failed.Load())
	f.record.Printf("sound requests: %d served, %d not; share of the deadly ones %.3f, over %.1f s", sound.Load(), failed.Load(), share, took.Seconds())
	if share > shareOf || took > longest {
		f.record.Printf("not run: beyond the limits")
		return kit2.NotRun
	}
	return f.judge()
}

// sendSound sends sound requests as one client.
func (f *fleet) sendSound(client int, stop <-chan struct{}, sound, failed *atomic.Int64) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(600*time.Millisecond + rand.N(600*time.Millisecond)):
		}
		id := fmt.Sprintf("%08x%08x", client+1, n)
		if status, err := send(f.platform.Daemons[client%daemons].Front, id, "sound "+id); status == 200 && err == nil {
			sound.Add(1)
		} else {
			failed.Add(1)
		}
	}
}

func (f *fleet) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes...)
}

// restart kills all daemons and starts them again, as the platform does.
func (f *fleet) restart() error {
	f.record.Printf("all daemons are killed (SIGKILL)")
	for _, d := range f.platform.Daemons {
		d.Kill()
	}
	time.Sleep(downFor)
	for _, d := range f.platform.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	f.record.Printf("all daemons are started again")
	return nil
}

// noteCounted notes the arrivals that the rule counts among those since the daemons started at a
// time: sent by machines in touch, later than contactMs after the third crash.
func (f *fleet) noteCounted(startedAt time.Time) {
	crashes := f.crashTimes()
	if len(crashes) < 3 {
		return
	}
	for _, run := range f.arrivals() {
		if run.Arrived.Sub(crashes[2]) > contact && run.Arrived.Sub(startedAt) > contact {
			f.counted[run.ID] = true
		}
	}
}

func (f *fleet) judge() int {
	crashes := len(f.crashTimes())
	f.record.Printf("%d crashes; %d retries reached servers later than contactMs after the third crash, sent by machines in touch; %d are allowed", crashes, len(f.counted), allowed)
	if len(f.counted) > allowed {
		return kit2.Broken
	}
	return kit2.Held
}
