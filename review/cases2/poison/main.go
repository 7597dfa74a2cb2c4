//go:build review

// Command poison plays cases 8 and 10: a part of prompts, or one request, ends each server that
// begins to answer it, in a way that the mode names.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/review/kit2"
)

const (
	daemons      = 3
	servers      = 18
	events       = 30 // of a sound stream
	eventGap     = 60 * time.Millisecond
	backAfter    = 3 * time.Second         // a crashed server is back
	contact      = 3 * time.Second         // contactMs
	allowed      = 3                       // by the rule
	length       = 20 * time.Second        // the news' entry has for_s = 20.0
	shareOf      = 0.03                    // bad requests may be this share of all; the news' entry has share = 0.03
	gap          = 1500 * time.Millisecond // between two bad requests
	deadline     = 4 * time.Second         // of clients
	soundClients = 120
	badPart      = "e4402b7d"
	badBody      = "a request that ends its server"
)

// mode is how servers end.
type mode struct {
	name     string
	part     bool // a part of the prompt ends servers, not one request
	unframed bool // streams have neither a length nor chunks
	atEvent  func() int
	dark     bool // servers fall silent, and nothing closes their connections
	after    int  // crash from which on the rule counts
}

var modes = map[string]mode{
	"unframed": {part: true, unframed: true, atEvent: func() int { return 1 }, after: 5},
	"framed":   {part: true, atEvent: func() int { return 1 }, after: 5},
	"spread":   {part: true, atEvent: func() int { return rand.IntN(events) }, after: 5},
	"dark":     {dark: true, atEvent: func() int { return 0 }, after: 3},
	"crash":    {atEvent: func() int { return 0 }, after: 3},
}

func main() { os.Exit(play()) }

type fleet struct {
	mode     mode
	platform *kit2.Platform
	record   *kit2.Record

	mu      sync.Mutex
	crashes []time.Time
	bad     []time.Time // arrivals of bad requests at servers
	next    int
}

type server struct {
	fleet    *fleet
	id       string
	listener net.Listener
	dark     atomic.Bool
	mu       sync.Mutex
	conns    map[net.Conn]bool
	ended    bool
}

func (f *fleet) add() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	id := fmt.Sprintf("i-%d", f.next)
	f.next++
	f.mu.Unlock()
	s := &server{fleet: f, id: id, listener: l, conns: make(map[net.Conn]bool)}
	go s.accept()
	f.platform.Store.PutJSON("servers", id, map[string]any{"service": "engines", "address": l.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 48,
		"state": "ready", "coldLeftMs": 0, "seqNo": 1, "born": time.Now().UnixMilli()})
	return nil
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		if !s.dark.Load() {
			go s.serve(c)
		}
	}
}

// end ends the server; another one takes its place after some seconds.
func (s *server) end() {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	s.mu.Unlock()
	f := s.fleet
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	n := len(f.crashes)
	f.mu.Unlock()
	f.record.Printf("server %s ends, crash %d", s.id, n)
	if f.mode.dark {
		s.dark.Store(true)
	} else {
		_ = s.listener.Close()
		s.mu.Lock()
		for c := range s.conns {
			_ = c.Close()
		}
		s.mu.Unlock()
	}
	time.AfterFunc(backAfter, func() {
		f.platform.Store.Remove("servers", s.id)
		if err := f.add(); err != nil {
			f.record.Printf("no server takes the place of %s: %v", s.id, err)
		}
	})
}

func (s *server) serve(c net.Conn) {
	m := s.fleet.mode
	defer func() {
		if !s.dark.Load() {
			_ = c.Close()
		}
	}()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil || s.dark.Load() {
			return
		}
		body, _ := io.ReadAll(req.Body)
		id := req.Header.Get("X-Attempt-Id")
		if req.Header.Get("X-Expect-Instance") != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		bad := string(body) == badBody
		if m.part {
			bad = strings.Contains(req.Header.Get("X-Prompt-Prefix"), badPart+":")
		}
		at := -1
		if bad && os.Getenv("TROUBLE") != "0" {
			at = m.atEvent()
			s.fleet.mu.Lock()
			s.fleet.bad = append(s.fleet.bad, time.Now())
			s.fleet.mu.Unlock()
		}
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Seal: 3e1b.07.%s\r\n", id, s.id)
		if !m.unframed {
			head += "Transfer-Encoding: chunked\r\n"
		}
		if at == 0 {
			s.end()
			return
		}
		_, _ = io.WriteString(c, head+"\r\n")
		for n := 1; n <= events; n++ {
			if s.dark.Load() {
				return
			}
			text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
			if !m.unframed {
				text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			time.Sleep(eventGap)
			if n == at {
				s.end()
				return
			}
		}
		if m.unframed {
			return
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
}

func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "lote", "host": "x.example", "prefix": "/stream/", "kind": "streaming", "timeoutMs": 6000, "sloMs": 400,
			"gapSloMs": 200, "service": "engines", "maxAttempts": 1, "priority": 1}},
		"services": []any{map[string]any{"name": "engines", "maxConns": 290, "healthPath": "/health", "engine": map[string]any{"slots": 48, "kvCapacity": 600000}}},
		"tenants":  []any{map[string]any{"name": "one", "apiKeys": []string{"key-one"}, "unit": "token_count", "plainTokens": 200}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}

var nextID atomic.Int64

// send sends one request as a client. It returns the status, 0 for none, and the events.
func send(front, prompt, body string) (status, got int, err error) {
	c, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(c, "POST /stream/1 HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: %016x\r\nX-Model: m\r\nX-Token-Count: 1460,90\r\nX-Prompt-Prefix: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n%s",
		nextID.Add(1), prompt, deadline.Milliseconds(), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Count(string(text), "data:"), err
}

func play() int {
	record, err := kit2.NewRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kit2.NotRun
	}
	notRun := func(err error) int {
		record.Printf("not run: %v", err)
		return kit2.NotRun
	}
	m, ok := modes[os.Args[1]]
	if !ok {
		return notRun(fmt.Errorf("no mode %q", os.Args[1]))
	}
	dir, err := os.MkdirTemp("", "poison")
	if err != nil {
		return notRun(err)
	}
	defer os.RemoveAll(dir)
	p, err := kit2.NewPlatform(dir, nil)
	if err != nil {
		return notRun(err)
	}
	defer p.Close()
	p.Store.PutJSON("op", "config", config())
	f := &fleet{mode: m, platform: p, record: record}
	for range servers {
		if err := f.add(); err != nil {
			return notRun(err)
		}
	}
	if err := p.AddDaemons(daemons); err != nil {
		return notRun(err)
	}
	if err := p.WaitReady(10 * time.Second); err != nil {
		return notRun(err)
	}
	time.Sleep(contact + time.Second) // all machines are in touch
	return f.play()
}

// play sends bad requests at each daemon in turn, and sound ones that share their other parts.
func (f *fleet) play() int {
	stop := time.Now().Add(length)
	var wg sync.WaitGroup
	var sound, cut atomic.Int64
	for i := range soundClients {
		wg.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				status, got, err := send(f.platform.Daemons[i%daemons].Front, fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%08x:250", 1<<21+i*10000+n), "sound "+strconv.Itoa(i*10000+n))
				if status == 200 && got == events && err == nil {
					sound.Add(1)
				} else {
					cut.Add(1)
				}
				time.Sleep(400*time.Millisecond + rand.N(400*time.Millisecond))
			}
		})
	}
	badSent := 0
	for n := 0; time.Now().Before(stop); n++ {
		badSent++
		d := f.platform.Daemons[n%daemons]
		prompt, body := fmt.Sprintf("5c1e07a2:800,%s:300,%08x:250", badPart, 1<<24+n), "bad "+strconv.Itoa(n)
		if !f.mode.part {
			prompt, body = "5c1e07a2:800,77aa00ff:250", badBody
		}
		wg.Go(func() {
			status, got, err := send(d.Front, prompt, body)
			f.record.Printf("bad request %d at %s: status %d, %d events (%v)", n, d.Name, status, got, err)
		})
		time.Sleep(gap)
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	share := float64(badSent) / float64(int64(badSent)+sound.Load()+cut.Load())
	f.record.Printf("sound requests: %d whole, %d not; share of the bad ones %.3f", sound.Load(), cut.Load(), share)
	if share > shareOf {
		f.record.Printf("not run: the share is above %.2f", shareOf)
		return kit2.NotRun
	}
	if len(f.crashes) < f.mode.after {
		f.record.Printf("%d crashes: fewer than the rule counts from", len(f.crashes))
		return kit2.Held
	}
	from, counted := f.crashes[f.mode.after-1].Add(contact), 0
	for _, at := range f.bad {
		if at.After(from) {
			counted++
		}
	}
	f.record.Printf("%d crashes; %d bad requests reached servers later than contactMs after crash %d; %d are allowed", len(f.crashes), counted, f.mode.after, allowed)
	if counted > allowed {
		return kit2.Broken
	}
	return kit2.Held
}
