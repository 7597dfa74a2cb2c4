package site

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what a runner does to the answers of requests.
type Fault int

// Faults.
const (
	NoFault        Fault = iota
	Refuse               // 503, not run
	Reset                // runs, then resets the connection
	Silent               // runs, and sends nothing
	CutEvent             // breaks off within an event, after half of them
	CutHead              // breaks off within the head
	WrongID              // answers with the id of another request
	NoSeal               // answers without a seal
	NoID                 // answers without an id
	UntilClose           // ends the answer with the connection
	ShortBody            // names a length and sends less
	ExtraResponse        // sends a second answer after the first
	InternalError        // 500, sealed
	Unavailable          // 503, sealed, without word on whether it ran
	Misplaced            // 421
	BadChunks            // sends a malformed chunk
	DuplicateEvent       // sends an event twice
	EarlyResponse        // answers before it has read the body
	TwoLengths           // names two lengths
	EndlessHead          // sends a head without end
	EndlessLine          // sends a line between chunks without end
	EndlessTrailer       // sends trailers without end
	EndlessBody          // sends a body without end, or an event
	EndlessChunks        // the same in chunks
	EndlessInterim       // sends interim answers without end
)

// Run is a request that a runner began to work on.
type Run struct {
	ID, Method, Path, Body string
	Tenant, UpstreamID     string
	Authorization          string
	Header                 http.Header
	LastEventID            int // event after which it went on
	DeadlineMS             int
	Result                 string // how, "" while it runs
}

// Upstream is a model engine or plain service.
type Upstream struct {
	ID      string
	Address string
	server  *http.Server

	mu            sync.Mutex
	fault         Fault
	faultsLeft    int // faults left; below 0 for all requests
	hold          chan struct{}
	gap           time.Duration
	events        int
	runs          []*Run
	refused       int
	header        http.Header // added to all answers
	refusalHeader http.Header // added to refusals
}

// Seal marks answers of the stand-ins.
const Seal = "3e1b.07.5a2"

// StartUpstream lets a runner listen at a new address.
func StartUpstream(id string) (*Upstream, error) {
	u := &Upstream{ID: id, events: 6}
	var err error
	u.Address, u.server, err = listen(http.HandlerFunc(u.serve))
	return u, err
}

// Close ends the runner.
func (u *Upstream) Close() { _ = u.server.Close() }

// SetHeader adds a field to all answers from now on.
func (u *Upstream) SetHeader(name, value string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.header = http.Header{name: {value}}
}

// SetRefusalHeader adds a field with values to all refusals from now on.
func (u *Upstream) SetRefusalHeader(name string, values ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refusalHeader = http.Header{name: values}
}

// SetFault makes the next requests fail in a way; times below 0 means all.
func (u *Upstream) SetFault(f Fault, times int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault, u.faultsLeft = f, times
}

// SetStream sets the events of a stream and the time between them.
func (u *Upstream) SetStream(events int, gap time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.events, u.gap = events, gap
}

// Hold makes requests wait until the returned function is called.
func (u *Upstream) Hold() (release func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := make(chan struct{})
	u.hold = c
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.hold == c {
			close(c)
			u.hold = nil
		}
	}
}

// Runs returns copies of all runs so far.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := make([]Run, len(u.runs))
	for i, run := range u.runs {
		list[i] = *run
	}
	return list
}

// Refused returns how many requests were not run.
func (u *Upstream) Refused() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refused
}

func (u *Upstream) nextFault() Fault {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faultsLeft == 0 {
		return NoFault
	}
	if u.faultsLeft > 0 {
		u.faultsLeft--
	}
	return u.fault
}

func (u *Upstream) serve(w http.ResponseWriter, req *http.Request) {
	fault := u.nextFault()
	u.mu.Lock()
	maps.Copy(w.Header(), u.header)
	u.mu.Unlock()
	expected := req.Header.Get("X-Expect-Instance")
	switch {
	case fault == Refuse:
		u.refuse(w, http.StatusServiceUnavailable)
		return
	case fault == Misplaced || expected != "" && expected != u.ID:
		u.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body := ""
	if fault != EarlyResponse {
		data, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		body = string(data)
	}
	run := u.startRun(req, body)
	defer func() { u.endRun(run, "cut") }()
	u.waitReleased(req)
	if fault == Silent {
		<-req.Context().Done()
		return
	}
	if fault == Reset {
		hijack(w, func(bw *bufio.Writer) {})
		return
	}
	if start, repeat, ok := endlessResponse(fault, run); ok {
		hijack(w, func(bw *bufio.Writer) { writeEndlessly(bw, start, repeat) })
		return
	}
	if strings.Contains(req.URL.Path, "/stream") {
		u.serveStream(w, req, run, fault)
		return
	}
	u.servePlain(w, run, fault)
}

func (u *Upstream) refuse(w http.ResponseWriter, status int) {
	u.mu.Lock()
	u.refused++
	maps.Copy(w.Header(), u.refusalHeader)
	u.mu.Unlock()
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (u *Upstream) startRun(req *http.Request, body string) *Run {
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	deadline, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	run := &Run{
		ID: req.Header.Get("X-Attempt-Id"), Method: req.Method, Path: req.RequestURI, Body: body,
		Tenant: req.Header.Get("X-Tenant"), UpstreamID: req.Header.Get("X-Expect-Instance"),
		Authorization: req.Header.Get("Authorization"), Header: req.Header.Clone(), LastEventID: from, DeadlineMS: deadline,
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, run)
	return run
}

func (u *Upstream) endRun(run *Run, result string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if run.Result == "" {
		run.Result = result
	}
}

func (u *Upstream) waitReleased(req *http.Request) {
	u.mu.Lock()
	hold := u.hold
	u.mu.Unlock()
	if hold == nil {
		return
	}
	select {
	case <-hold:
	case <-req.Context().Done():
	}
}

// hijack lets write send raw bytes and closes the connection.
func hijack(w http.ResponseWriter, write func(bw *bufio.Writer)) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, rw, err := h.Hijack()
	if err != nil {
		return
	}
	write(rw.Writer)
	_ = rw.Flush()
	_ = conn.Close()
}

// endlessResponse returns what a fault without end begins with and then repeats.
func endlessResponse(f Fault, run *Run) (start, repeat string, ok bool) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + run.ID + "\r\nX-Response-Seal: " + Seal + "\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	filler := strings.Repeat("endless ", 512)
	switch f {
	case EndlessHead:
		return head + "X-Long: ", filler, true
	case EndlessLine:
		return chunked, strings.Repeat("0", 4096), true
	case EndlessTrailer:
		return chunked + "0\r\n", "X-More: yes\r\n", true
	case EndlessBody:
		return head + "\r\n", filler, true
	case EndlessChunks:
		return chunked, "1000\r\n" + filler + "\r\n", true
	case EndlessInterim:
		return "", "HTTP/1.1 102 Processing\r\n\r\n", true
	}
	return "", "", false
}

// writeEndlessly writes until the other side closes.
func writeEndlessly(w *bufio.Writer, start, repeat string) {
	_, err := w.WriteString(start)
	for err == nil {
		_, err = w.WriteString(repeat)
	}
}

// responseBody is the answer of a plain request.
func responseBody(run *Run) string { return "ran " + run.ID + " " + run.Method + " " + run.Path }

func (u *Upstream) servePlain(w http.ResponseWriter, run *Run, fault Fault) {
	body := responseBody(run)
	head := func(id, seal string, length string) string {
		h := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
		if id != "" {
			h += "X-Attempt-Id: " + id + "\r\n"
		}
		if seal != "" {
			h += "X-Response-Seal: " + seal + "\r\n"
		}
		return h + length + "\r\n"
	}
	sized := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	raw := map[Fault]string{
		WrongID:    head("0000", Seal, sized) + body,
		NoID:       head("", Seal, sized) + body,
		NoSeal:     head(run.ID, "", sized) + body,
		UntilClose: head(run.ID, Seal, "") + body,
		ShortBody:  head(run.ID, Seal, fmt.Sprintf("Content-Length: %d\r\n", len(body)+9)) + body,
		CutHead:    "HTTP/1.1 200 OK\r\nX-Atte",
		BadChunks:  head(run.ID, Seal, "Transfer-Encoding: chunked\r\n") + "zz\r\n" + body,
		TwoLengths: head(run.ID, Seal, sized+sized) + body,
	}
	if text, ok := raw[fault]; ok {
		hijack(w, func(bw *bufio.Writer) { _, _ = bw.WriteString(text) })
		return
	}
	if fault == ExtraResponse {
		hijackKeepOpen(w, head(run.ID, Seal, sized)+body+head("0000", Seal, sized)+body)
		u.endRun(run, "done")
		return
	}
	w.Header().Set("X-Attempt-Id", run.ID)
	w.Header().Set("X-Response-Seal", Seal)
	switch fault {
	case InternalError:
		w.WriteHeader(http.StatusInternalServerError)
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, body)
	u.endRun(run, "done")
}

// hijackKeepOpen sends raw bytes and leaves the connection open for a while.
func hijackKeepOpen(w http.ResponseWriter, text string) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, rw, err := h.Hijack()
	if err != nil {
		return
	}
	_, _ = rw.WriteString(text)
	_ = rw.Flush()
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
}

// Event returns the n-th event of a run, counted from 1.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

func (u *Upstream) serveStream(w http.ResponseWriter, req *http.Request, run *Run, fault Fault) {
	u.mu.Lock()
	events, gap := u.events, u.gap
	u.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Attempt-Id", run.ID)
	if fault == WrongID {
		w.Header().Set("X-Attempt-Id", "0000")
	}
	w.Header().Set("X-Response-Seal", Seal+"."+u.ID)
	flush, _ := w.(http.Flusher)
	for n := run.LastEventID + 1; n <= events; n++ {
		text := Event(run.ID, n)
		if fault == CutEvent && n > events/2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			flush.Flush()
			panic(http.ErrAbortHandler)
		}
		if fault == DuplicateEvent && n > 2 {
			text = Event(run.ID, n-1)
		}
		if _, err := io.WriteString(w, text); err != nil || req.Context().Err() != nil {
			return
		}
		flush.Flush()
		time.Sleep(gap)
	}
	u.endRun(run, "done")
}
