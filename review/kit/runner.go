//go:build review

package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request that reached a runner.
type Arrival struct {
	At      time.Time
	ID      string
	Request *http.Request
	Body    string
	Runner  *Runner
	Conn    net.Conn
}

// Runner is a stand-in of a runner: it answers requests over HTTP/1.1 and keeps its entry in
// the store up to date.
type Runner struct {
	ID, Service, Zone string
	Address           string
	// Serve answers a request by writing to w. It returns false to close the connection.
	Serve func(a *Arrival, w *bufio.Writer) bool

	deploy *Deployment

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	up       bool
	cut      bool // from the store: its heartbeats do not arrive
	born     int64
	seq      int
	state    string
	lapse    *time.Timer // removes the entry after Silence
	arrivals []Arrival
	crashes  []time.Time
}

// StartRunner starts a runner and writes its entry.
func (d *Deployment) StartRunner(id, service, zone string, serve func(a *Arrival, w *bufio.Writer) bool) *Runner {
	r := &Runner{ID: id, Service: service, Zone: zone, Address: d.Address(), Serve: serve, deploy: d, conns: make(map[net.Conn]bool), state: "ready"}
	r.Up()
	go func() {
		for range time.Tick(Heartbeat) {
			r.beat()
		}
	}()
	return r
}

// Up starts the runner, again under the same id and address.
func (r *Runner) Up() {
	r.mu.Lock()
	l, err := net.Listen("tcp", r.Address)
	if err != nil {
		r.mu.Unlock()
		r.deploy.Fail(err)
	}
	r.listener, r.up, r.born, r.seq = l, true, time.Now().UnixMilli(), 0
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveConn(c)
		}
	}()
	r.deploy.Log("%s is up", r.ID)
	r.beat()
}

// Crash ends the runner as the end of its process does: the kernel closes its listener and all
// its connections, and it sends nothing more. It is back after some time.
func (r *Runner) Crash(down time.Duration) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	r.crashes = append(r.crashes, time.Now())
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.Close()
	}
	r.conns = make(map[net.Conn]bool)
	r.mu.Unlock()
	r.deploy.Log("%s crashes", r.ID)
	time.AfterFunc(down, r.Up)
}

// CutFromStore partitions the runner from the store for a time. Its entry is removed after
// three intervals of silence.
func (r *Runner) CutFromStore(during time.Duration) {
	r.mu.Lock()
	r.cut = true
	r.mu.Unlock()
	r.deploy.Log("%s is cut off from the store for %v", r.ID, during)
	time.AfterFunc(during, func() {
		r.mu.Lock()
		r.cut = false
		r.mu.Unlock()
		r.deploy.Log("%s reaches the store again", r.ID)
		r.beat()
	})
}

// beat writes the entry, if the runner is up and reaches the store.
func (r *Runner) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || r.cut {
		return
	}
	r.seq++
	r.deploy.Store.PutJSON("servers", r.ID, map[string]any{"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1",
		"slots": 48, "state": r.state, "coldLeftMs": 0, "seqNo": r.seq, "born": r.born})
	if r.lapse != nil {
		r.lapse.Stop()
	}
	r.lapse = time.AfterFunc(Silence, func() {
		r.deploy.Log("the store removes the entry of %s after %v of silence", r.ID, Silence)
		r.deploy.Store.Remove("servers", r.ID)
	})
}

func (r *Runner) serveConn(c net.Conn) {
	defer c.Close()
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.conns[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	in, w := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := Arrival{At: time.Now(), ID: req.Header.Get("X-Attempt-Id"), Request: req, Body: string(body), Runner: r, Conn: c}
		if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.ID {
			WriteRefusal(w, &a, 421, "")
			if w.Flush() != nil {
				return
			}
			continue
		}
		r.mu.Lock()
		r.arrivals = append(r.arrivals, a)
		r.mu.Unlock()
		r.deploy.Log("%s reaches %s", a.ID, r.ID)
		if !r.Serve(&a, w) || w.Flush() != nil {
			return
		}
	}
}

// Arrivals returns the requests that have reached the runner, in order.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// Crashes returns the times of the runner's crashes.
func (r *Runner) Crashes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.crashes...)
}

func (a *Arrival) seal() string { return "3e1b.07.5a2." + a.Runner.ID }

// WriteRefusal refuses a request without running it.
func WriteRefusal(w *bufio.Writer, a *Arrival, status int, header string) {
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), a.ID, header)
}

// WritePlain answers a request with a body of known length.
func WritePlain(w *bufio.Writer, a *Arrival, header, body string) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		a.ID, a.seal(), header, len(body), body)
}

// WriteStreamHead writes the head of a stream.
func WriteStreamHead(w *bufio.Writer, a *Arrival) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\nTransfer-Encoding: chunked\r\n\r\n", a.ID, a.seal())
}

// WriteEvent writes the n-th event of a stream as a chunk.
func WriteEvent(w *bufio.Writer, a *Arrival, n int) {
	event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, a.ID, n)
	fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
}

// WriteStream answers a request with a whole stream of events.
func WriteStream(w *bufio.Writer, a *Arrival, events int, gap time.Duration) bool {
	WriteStreamHead(w, a)
	from := 0
	_, _ = fmt.Sscan(a.Request.Header.Get("Last-Event-Id"), &from)
	for n := from + 1; n <= events; n++ {
		WriteEvent(w, a, n)
		if w.Flush() != nil {
			return false
		}
		time.Sleep(gap)
	}
	_, _ = w.WriteString("0\r\n\r\n")
	return true
}
