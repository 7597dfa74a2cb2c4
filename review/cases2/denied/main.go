//go:build review

// Command denied plays case 7: many clients ask for the same thing, which the servers do not have
// and answer with 404; servers crash meanwhile, one after the other.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonmux/lagoonmux/review/kit2"
)

const (
	daemons    = 3
	servers    = 7
	clients    = 16
	others     = 46 // clients that ask for other things
	work       = 150 * time.Millisecond
	pause      = 100 * time.Millisecond // between the requests of a client
	crashes    = 9
	firstCrash = 5 * time.Second
	crashGap   = 4500 * time.Millisecond
	downFor    = 3 * time.Second
	length     = 50 * time.Second
)

func main() { os.Exit(play()) }

// server is one incarnation of a server.
type server struct {
	id       string
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  atomic.Int64 // of the hot request
}

func startServer(p *kit2.Platform, id string) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, listener: l, conns: make(map[net.Conn]bool)}
	go s.accept()
	p.Store.PutJSON("servers", id, map[string]any{"service": "desk", "address": l.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 6,
		"state": "ready", "coldLeftMs": 0, "seqNo": 1, "born": time.Now().UnixMilli()})
	return s, nil
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
		go s.serve(c)
	}
}

// crash ends the server: its listener and all its connections.
func (s *server) crash() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Attempt-Id")
		if req.Header.Get("X-Expect-Instance") != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		hot := strings.HasSuffix(req.URL.Path, "/hot")
		if hot {
			s.running.Add(1)
		}
		time.Sleep(work)
		if hot {
			s.running.Add(-1)
		}
		status, text := "200 OK", "here it is"
		if hot {
			status, text = "404 Not Found", "no such order"
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Type: text/plain\r\nX-Attempt-Id: %s\r\nX-Response-Seal: 3e1b.07.%s\r\nContent-Length: %d\r\n\r\n%s", status, id, s.id, len(text), text); err != nil {
			return
		}
	}
}

func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "look", "host": "x.example", "prefix": "/look/", "kind": "idempotent", "timeoutMs": 1000, "sloMs": 500,
			"service": "desk", "maxAttempts": 2, "priority": 2}},
		"services": []any{map[string]any{"name": "desk", "maxConns": 96, "healthPath": "/health"}},
		"tenants":  []any{map[string]any{"name": "one", "apiKeys": []string{"key-one"}, "unit": "token_count", "plainTokens": 200}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}

// tally counts the answers to a kind of request.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
	own    int // 3xx and 4xx of the system's own, other than 408, 421 and 429
}

func (t *tally) add(resp *http.Response) (deniedFirst bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if resp == nil {
		t.counts["no answer"]++
		return false
	}
	sealed := resp.Header.Get("X-Response-Seal") != ""
	from := "of the system"
	if sealed {
		from = "of a server"
	}
	t.counts[fmt.Sprintf("%d %s", resp.StatusCode, from)]++
	denied := !sealed && resp.StatusCode/100 >= 3 && resp.StatusCode/100 <= 4 && resp.StatusCode != 408 && resp.StatusCode != 421 && resp.StatusCode != 429
	if denied {
		t.own++
	}
	return denied && t.own == 1
}

var nextID atomic.Int64

// ask sends requests for one path on kept connections until stop.
func ask(front, path string, t *tally, stop time.Time, record *kit2.Record) {
	var c net.Conn
	var r *bufio.Reader
	for time.Now().Before(stop) {
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp4", front, time.Second); err != nil {
				time.Sleep(pause)
				continue
			}
			r = bufio.NewReader(c)
		}
		began := time.Now()
		_ = c.SetDeadline(began.Add(2 * time.Second))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: %016x\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer key-one\r\n\r\n", path, nextID.Add(1))
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			resp = nil
		}
		if t.add(resp) {
			record.Printf("GET %s gets its first %d of the system's own", path, resp.StatusCode)
		}
		if resp == nil || resp.Close {
			_ = c.Close()
			c = nil
		}
		time.Sleep(time.Until(began.Add(work + pause/2 + rand.N(pause)))) // as often, however soon the answer comes
	}
	if c != nil {
		_ = c.Close()
	}
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
	dir, err := os.MkdirTemp("", "denied")
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
	list := make([]*server, servers)
	for i := range list {
		if list[i], err = startServer(p, fmt.Sprintf("i-%d", i)); err != nil {
			return notRun(err)
		}
	}
	if err := p.AddDaemons(daemons); err != nil {
		return notRun(err)
	}
	if err := p.WaitReady(10 * time.Second); err != nil {
		return notRun(err)
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	hot, sound := &tally{counts: make(map[string]int)}, &tally{counts: make(map[string]int)}
	start := time.Now()
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() { ask(p.Daemons[i%daemons].Front, "/look/hot", hot, start.Add(length), record) })
	}
	for i := range others {
		wg.Go(func() {
			ask(p.Daemons[i%daemons].Front, fmt.Sprintf("/look/other-%d", i), sound, start.Add(length), record)
		})
	}
	record.Printf("%d clients ask for /look/hot, %d for others", clients, others)
	for n := range crashes {
		time.Sleep(time.Until(start.Add(firstCrash + time.Duration(n)*crashGap)))
		if !kit2.Trouble() {
			break
		}
		s := list[n%servers]
		running := s.running.Load()
		s.crash()
		record.Printf("server %s crashes, with %d requests for /look/hot under way", s.id, running)
		time.Sleep(downFor)
		p.Store.Remove("servers", s.id)
		if list[n%servers], err = startServer(p, s.id+"x"); err != nil {
			return notRun(err)
		}
		record.Printf("server %s takes its place", s.id+"x")
	}
	wg.Wait()
	total := 0
	hotCount := 0
	for _, n := range hot.counts {
		hotCount += n
	}
	for name, t := range map[string]*tally{"/look/hot": hot, "others": sound} {
		for what, n := range t.counts {
			record.Printf("%s: %s: %d", name, what, n)
			total += n
		}
	}
	record.Printf("share of the requests for /look/hot: %.2f", float64(hotCount)/float64(max(total, 1)))
	denied, allowed := hot.own+sound.own, 5+total/500
	record.Printf("%d of %d requests were ended with a 3xx or 4xx of the system's own; %d are allowed", denied, total, allowed)
	if denied > allowed {
		return kit2.Broken
	}
	return kit2.Held
}
