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

// Fault selects how an upstream fails its requests.
type Fault int

// Faults of upstreams. A sealed response carries X-Response-Seal.
const (
	NoFault           Fault = iota
	Refuse                  // responds 503 with X-Not-Executed and does not run the request
	Reset                   // runs the request, then closes the connection without a response
	Silent                  // runs the request and sends nothing until the client disconnects
	CutEvent                // sends half of the events and half of the next one, then aborts
	CutHead                 // closes the connection within the response head
	CutAfterHead            // closes the connection after the response head
	WrongID                 // responds with the attempt ID of another request
	NoSeal                  // responds without X-Response-Seal
	NoID                    // responds without X-Attempt-Id
	UntilClose              // sends no length; the body ends when the connection closes
	ShortBody               // sends fewer bytes than Content-Length says
	ExtraResponse           // sends a second response after the first
	InternalError           // responds 500, sealed
	Unavailable             // responds 503, sealed, without saying whether the request ran
	Misplaced               // responds 421 as if addressed to another upstream, and does not run the request
	BadChunks               // sends a malformed chunk
	DuplicateEvent          // sends the second event twice, so that later events are one behind
	EarlyResponse           // responds without reading the request body
	TwoLengths              // sends Content-Length twice
	UntilCloseInEvent       // like UntilClose, and a stream ends within its third event
	UntilCloseNoEvent       // like UntilClose, and a stream ends after its head
	EndlessHead             // sends a head that never ends
	EndlessLine             // sends a chunk-size line that never ends
	EndlessTrailer          // sends trailer fields without end
	EndlessBody             // sends a body (for streams: one event) that never ends
	EndlessChunks           // sends such a body in chunks
	EndlessInterim          // sends 102 responses without end
	EndlessLength           // sends such a body with a length that is never reached
	EndlessEvent            // sends a stream in chunks, after one event a second one that never ends
)

// Run records a request that an upstream started to run.
type Run struct {
	ID, Method, Path, Body string
	Tenant, UpstreamID     string // UpstreamID: as expected by the caller, from X-Expect-Instance
	Authorization          string
	Header                 http.Header
	Arrived                time.Time
	LastEventID            int // the stream resumes after this event; 0 starts at the first
	DeadlineMS             int
	Result                 string // "done", or "cut" without a complete response; "" while it runs
}

// Upstream simulates a model engine or a plain service, and records the requests that
// it runs. Its methods may be called from any goroutine.
type Upstream struct {
	ID      string
	Address string
	server  *http.Server

	mu            sync.Mutex
	fault         Fault
	faultsLeft    int           // number of further requests that fail; negative: all
	hold          chan struct{} // closed by the release of Hold; nil if nothing is held
	gap           time.Duration // between the events of a stream
	events        int           // of a stream
	runs          []*Run
	refused       int
	header        http.Header // added to all responses
	refusalHeader http.Header // added to refusals
	raw           RawResponse // nil for none
	early         *EarlyAnswer
	sharedFault   *SharedFault
	crashSegment  string    // prompt segment that ends the upstream; empty for none
	crashBody     string    // body of a request that ends the upstream; empty for none
	crashPoint    int       // see AfterHead
	endedAt       time.Time // zero unless it has ended
	onEnd         func(u *Upstream)
	darkEnd       bool // see SetDarkEnd
	checks        int

	gate      gate
	closeOnce sync.Once
	closed    chan struct{} // closed by Close
}

// Seal is the value of X-Response-Seal. Streams append a dot and the upstream's ID.
const Seal = "3e1b.07.5a2"

// StartUpstream starts an upstream that listens at a free loopback address.
func StartUpstream(id string) (*Upstream, error) {
	u := &Upstream{ID: id, events: 6, closed: make(chan struct{})}
	var err error
	u.Address, u.server, err = listenThrough(http.HandlerFunc(u.serve), &u.gate)
	return u, err
}

// Close closes the listener and all connections.
func (u *Upstream) Close() {
	u.closeOnce.Do(func() { close(u.closed) })
	_ = u.server.Close()
}

// SetHeader adds a header field to all further responses, in place of the field set
// before.
func (u *Upstream) SetHeader(name, value string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.header = http.Header{name: {value}}
}

// SetRefusalHeader adds a header field to all further refusals, in place of the
// field set before.
func (u *Upstream) SetRefusalHeader(name string, values ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.refusalHeader = http.Header{name: values}
}

// SetFault applies f to the next requests, as many as times says; a negative
// number means all.
func (u *Upstream) SetFault(f Fault, times int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.fault, u.faultsLeft = f, times
}

// SetStream sets the number of events of a stream and the time between them.
func (u *Upstream) SetStream(events int, gap time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.events, u.gap = events, gap
}

// Hold blocks requests, after they are recorded as runs, until release is called.
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

// Runs returns copies of all runs so far, in order of arrival.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	list := make([]Run, len(u.runs))
	for i, run := range u.runs {
		list[i] = *run
	}
	return list
}

// Refused returns the number of requests that were refused without being run.
func (u *Upstream) Refused() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.refused
}

func (u *Upstream) nextFault() Fault {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f := u.sharedFault; f != nil && f.used.CompareAndSwap(false, true) {
		return f.Fault
	}
	if u.faultsLeft == 0 {
		return NoFault
	}
	if u.faultsLeft > 0 {
		u.faultsLeft--
	}
	return u.fault
}

func (u *Upstream) serve(w http.ResponseWriter, req *http.Request) {
	if u.serveCheck(w, req) {
		return
	}
	fault := u.nextFault()
	u.mu.Lock()
	maps.Copy(w.Header(), u.header)
	u.mu.Unlock()
	expected := req.Header.Get("X-Expect-Instance")
	switch {
	case fault == Refuse:
		u.refuse(w, req, http.StatusServiceUnavailable)
		return
	case fault == Misplaced || expected != "" && expected != u.ID:
		u.refuse(w, req, http.StatusMisdirectedRequest)
		return
	}
	if u.respondEarly(w, req) {
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
	u.crashIfDue(w, run)
	if u.respondRaw(w, run) {
		return
	}
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

func (u *Upstream) refuse(w http.ResponseWriter, req *http.Request, status int) {
	u.mu.Lock()
	u.refused++
	maps.Copy(w.Header(), u.refusalHeader)
	u.mu.Unlock()
	w.Header().Set("X-Attempt-Id", req.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (u *Upstream) startRun(req *http.Request, body string) *Run {
	run := newRun(req, body)
	u.addRun(run)
	return run
}

// newRun returns the record of a request.
func newRun(req *http.Request, body string) *Run {
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	deadline, _ := strconv.Atoi(req.Header.Get("X-Deadline-Ms"))
	return &Run{
		ID: req.Header.Get("X-Attempt-Id"), Method: req.Method, Path: req.RequestURI, Body: body,
		Tenant: req.Header.Get("X-Tenant"), UpstreamID: req.Header.Get("X-Expect-Instance"),
		Authorization: req.Header.Get("Authorization"), Header: req.Header.Clone(), Arrived: time.Now(), LastEventID: from, DeadlineMS: deadline,
	}
}

func (u *Upstream) addRun(run *Run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, run)
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

// hijack takes over the connection, calls write to send raw bytes, and closes it.
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

// endlessResponse returns the first bytes that an Endless fault sends and the bytes
// that it repeats after them. ok is false for other faults.
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
	case EndlessLength:
		return head + "Content-Length: 100000000000000\r\n\r\n", filler, true
	case EndlessEvent:
		event := Event(run.ID, run.LastEventID+1)
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + chunked[len("HTTP/1.1 200 OK\r\n"):] +
			fmt.Sprintf("%x\r\n%s\r\n", len(event), event), "1000\r\n" + filler + "\r\n", true
	case EndlessInterim:
		return "", "HTTP/1.1 102 Processing\r\n\r\n", true
	}
	return "", "", false
}

// writeEndlessly writes start, then repeat until the client closes the connection.
func writeEndlessly(w *bufio.Writer, start, repeat string) {
	_, err := w.WriteString(start)
	for err == nil {
		_, err = w.WriteString(repeat)
	}
}

// responseBody returns the response body of a request that is not streamed.
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

// hijackKeepOpen sends raw bytes and keeps the connection open until the client
// closes it.
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

// Event returns the n-th event of the run with the given ID, counted from 1.
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
	if text, ok := u.unframedStream(fault, run, events); ok {
		hijack(w, func(bw *bufio.Writer) { _, _ = bw.WriteString(text) })
		u.endRun(run, "done")
		return
	}
	flush, _ := w.(http.Flusher)
	if fault == CutAfterHead {
		flush.Flush()
		panic(http.ErrAbortHandler)
	}
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
