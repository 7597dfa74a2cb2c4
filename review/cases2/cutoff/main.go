//go:build review

// Command cutoff plays case 6: servers begin to answer before they have read a long body, with
// answers that have no length, and crash in the middle of these. Most answers, those to small
// requests, have a length.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lagoonmux/lagoonmux/review/kit2"
)

const (
	bodyBytes = 4 << 20 // the configuration's maxBodyBytes
	lines     = 20      // of an answer
	lineGap   = 40 * time.Millisecond
	crashAt   = lines / 2 // line after which the server crashes
	rounds    = 12
	servers   = 7  // of which one at a time crashes
	small     = 24 // small requests in each round
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "server" {
		serve(os.Args[2], os.Args[3])
		return
	}
	os.Exit(play())
}

// answer returns line n of the answer to a request, from 1.
func answer(id string, stream bool, n int) string {
	if stream {
		return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", n, id, n, lines)
	}
	return fmt.Sprintf("%s line %d of %d\n", id, n, lines)
}

// serve is the server's process. It answers before it has read the body, reads the rest of it
// afterwards, and then ends the connection, which ends the answer.
func serve(id, address string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		fmt.Println("failed", err)
		os.Exit(1)
	}
	fmt.Println("listening")
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			attempt := req.Header.Get("X-Attempt-Id")
			if req.Header.Get("X-Expect-Instance") != id {
				fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
				return
			}
			if strings.HasPrefix(req.URL.Path, "/order/small") {
				_, _ = io.Copy(io.Discard, req.Body)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: 3e1b.07.%s\r\nContent-Length: 5\r\nConnection: close\r\n\r\nsmall", attempt, id)
				return
			}
			watched := strings.HasPrefix(attempt, "watch-")
			if !watched {
				fmt.Println("runs", attempt)
			}
			stream := strings.HasPrefix(req.URL.Path, "/stream/")
			mediaType := "text/plain"
			if stream {
				mediaType = "text/event-stream"
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Attempt-Id: %s\r\nX-Response-Seal: 3e1b.07.%s\r\n\r\n", mediaType, attempt, id)
			for n := 1; n <= lines; n++ {
				if _, err := io.WriteString(c, answer(attempt, stream, n)); err != nil {
					fmt.Println("cut", attempt, "after", n-1)
					return
				}
				if !watched {
					fmt.Println("wrote", attempt, n)
				}
				time.Sleep(lineGap)
			}
			read, err := io.Copy(io.Discard, req.Body)
			fmt.Println("answered", attempt, "body", read, err)
		}()
	}
}

// server is a server's process, as the test sees it.
type server struct {
	cmd     *exec.Cmd
	address string
	wrote   chan int // numbers of the lines that it wrote
	ready   chan bool
	dead    atomic.Bool
}

func startServer(id, address string, record *kit2.Record) (*server, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &server{cmd: exec.Command(self, "server", id, address), wrote: make(chan int, 10*lines), ready: make(chan bool, 1)}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			words := strings.Fields(in.Text())
			switch words[0] {
			case "listening":
				s.ready <- true
			case "wrote":
				n, _ := strconv.Atoi(words[2])
				s.wrote <- n
			default:
				record.Printf("server %s: %s", id, in.Text())
			}
		}
	}()
	select {
	case <-s.ready:
		return s, nil
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("server %s does not listen", id)
	}
}

// watch sends the same request to the server itself, with a part of the body, and returns how its
// connection ended: it shows what the server's crash does to a connection with unread bytes.
func watch(id, address string) <-chan error {
	result := make(chan error, 1)
	go func() {
		c, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			result <- err
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(6 * time.Second))
		fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: watch-%s\r\nX-Expect-Instance: %s\r\nContent-Length: %d\r\n\r\n", id, id, bodyBytes)
		_, _ = c.Write(bytes.Repeat([]byte("x"), 64<<10))
		_, err = io.Copy(io.Discard, c)
		result <- err
	}()
	return result
}

func (s *server) kill() {
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
}

// config is the configuration that the operator wrote.
func config() map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": "x.example", "prefix": prefix, "kind": kind, "timeoutMs": 6000, "sloMs": 400, "gapSloMs": 200,
			"service": "desk", "maxAttempts": 1, "priority": 1}
	}
	return map[string]any{
		"version":  1,
		"routes":   []any{route("order", "/order/", "non_idempotent"), route("stream", "/stream/", "streaming")},
		"services": []any{map[string]any{"name": "desk", "maxConns": 96, "healthPath": "/health"}},
		"tenants":  []any{map[string]any{"name": "one", "apiKeys": []string{"key-one"}, "unit": "token_count", "plainTokens": 200}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	}
}

// send sends one request as a client and returns the answer's status and body. err is not nil
// if the answer did not look complete.
func send(front, path, id string) (status int, sealed bool, body []byte, err error) {
	c, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		return 0, false, nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	go func() {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 6000\r\nAuthorization: Bearer key-one\r\nContent-Length: %d\r\n\r\n", path, id, bodyBytes)
		_, _ = c.Write(append([]byte(head), bytes.Repeat([]byte("x"), bodyBytes)...))
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, nil, err
	}
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("X-Response-Seal") != "", body, err
}

func play() int {
	record, err := kit2.NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return kit2.NotRun
	}
	dir, err := os.MkdirTemp("", "cutoff")
	if err != nil {
		record.Printf("not run: %v", err)
		return kit2.NotRun
	}
	defer os.RemoveAll(dir)
	p, err := kit2.NewPlatform(dir, nil)
	if err != nil {
		record.Printf("not run: %v", err)
		return kit2.NotRun
	}
	defer p.Close()
	p.Store.PutJSON("op", "config", config())
	f := &fleet{platform: p, record: record, present: make(map[string]*server)}
	defer f.close()
	for range servers {
		if err := f.add(); err != nil {
			record.Printf("not run: %v", err)
			return kit2.NotRun
		}
	}
	if err := p.AddDaemons(3); err != nil {
		record.Printf("not run: %v", err)
		return kit2.NotRun
	}
	if err := p.WaitReady(10 * time.Second); err != nil {
		record.Printf("not run: %v", err)
		return kit2.NotRun
	}
	broken := 0
	for round := range rounds {
		result, err := f.playRound(round)
		if err != nil {
			record.Printf("not run: %v", err)
			return kit2.NotRun
		}
		broken += result
	}
	record.Printf("answers with a length: %d, to small requests", smallAnswers)
	record.Printf("%d of %d answers were cut off and looked complete to the client", broken, rounds)
	if broken > 0 {
		return kit2.Broken
	}
	return kit2.Held
}

// smallAnswers counts the whole answers to small requests.
var smallAnswers int

// sendSmall sends small requests, which servers answer with a length.
func sendSmall(front string, round int) {
	for n := range small {
		c, err := net.DialTimeout("tcp4", front, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprintf(c, "POST /order/small HTTP/1.1\r\nHost: x.example\r\nX-Attempt-Id: %08x%08x\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer key-one\r\nContent-Length: 2\r\n\r\nhi", round+1, n+1)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			if text, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == 200 && string(text) == "small" {
				smallAnswers++
			}
		}
		_ = c.Close()
	}
}

// fleet is the present servers, by id.
type fleet struct {
	platform *kit2.Platform
	record   *kit2.Record
	next     int
	present  map[string]*server
}

// add starts a server and writes its entry.
func (f *fleet) add() error {
	id, address := fmt.Sprintf("i-%d", f.next), kit2.FreeAddress()
	f.next++
	s, err := startServer(id, address, f.record)
	if err != nil {
		return err
	}
	s.address = address
	f.present[id] = s
	f.platform.Store.PutJSON("servers", id, map[string]any{"service": "desk", "address": address, "zone": "zone-a", "version": "v1", "slots": 6,
		"state": "ready", "coldLeftMs": 0, "seqNo": 1, "born": time.Now().UnixMilli()})
	return nil
}

func (f *fleet) close() {
	for _, s := range f.present {
		s.kill()
	}
}

// playRound sends one long request, and small ones before it. It returns 1 if the client got a part
// of the answer as a complete success.
func (f *fleet) playRound(round int) (int, error) {
	time.Sleep(time.Second) // all daemons know the servers
	stream := round%2 == 1
	path := map[bool]string{false: "/order/1", true: "/stream/1"}[stream]
	attempt := fmt.Sprintf("%016x", round+1)
	d := f.platform.Daemons[round%len(f.platform.Daemons)]
	sendSmall(d.Front, round)
	f.record.Printf("client sends %s POST %s with a body of %d bytes to %s", attempt, path, bodyBytes, d.Name)
	crashed := make(chan error, 1)
	stop := make(chan struct{})
	for id, s := range f.present {
		go f.crashWhenRunning(id, s, crashed, stop)
	}
	status, sealed, body, err := send(d.Front, path, attempt)
	whole := ""
	for n := 1; n <= lines; n++ {
		whole += answer(attempt, stream, n)
	}
	isWhole := string(body) == whole
	f.record.Printf("client got status %d, sealed %v, %d of %d bytes, looks complete: %v (%v)", status, sealed, len(body), len(whole), err == nil && status != 0, err)
	if kit2.Trouble() {
		select {
		case watched := <-crashed:
			f.record.Printf("a second connection to the server, with unread bytes as the daemon's, ended with: %v", watched)
		case <-time.After(2 * time.Second):
			return 0, fmt.Errorf("no server came to its crash")
		}
		close(stop)
		for id, s := range f.present {
			if s.dead.Load() {
				f.platform.Store.Remove("servers", id)
				delete(f.present, id)
			}
		}
		if err := f.add(); err != nil {
			return 0, err
		}
	} else {
		close(stop)
		if !isWhole {
			return 1, nil // the answer was whole at the server
		}
	}
	if err == nil && status >= 200 && status < 300 && !isWhole {
		return 1, nil
	}
	return 0, nil
}

// crashWhenRunning kills the server in the middle of an answer without a length. It delivers how a
// second connection to it ended.
func (f *fleet) crashWhenRunning(id string, s *server, crashed chan<- error, stop <-chan struct{}) {
	var watched <-chan error
	for {
		select {
		case <-stop:
			return
		case n := <-s.wrote:
			if !kit2.Trouble() {
				continue
			}
			if watched == nil {
				watched = watch(id, s.address)
			}
			if n == crashAt {
				s.dead.Store(true)
				s.kill()
				f.record.Printf("server %s crashes (SIGKILL) after %d of %d lines of its answer", id, n, lines)
				crashed <- <-watched
				return
			}
		}
	}
}
