// Package site holds stand-ins for the parts of the users' platform that lagoonmux
// calls: the store and its change feed, model engines and plain services, and the
// cloud API with its fencing tokens. Each has faults to switch on.
package site

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/loopback"
)

// maxFeedWait bounds how long a read of the change feed waits for a change.
const maxFeedWait = 30 * time.Second

// Row is one row in the store's JSON encoding.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowID struct{ table, part, key string }

// Store simulates the platform's store: versioned rows in tables, with a change
// feed. Its methods may be called from any goroutine.
type Store struct {
	mu        sync.Mutex
	start     time.Time // zero of the store's clock, nowMs
	version   int64     // of the newest change
	compacted int64     // reading changes after a version below this fails with 410
	rows      map[rowID]Row
	changed   chan struct{} // closed at the next change
	writes    int
	reads     int
	era       int64         // rises with each Restore
	restored  chan struct{} // closed at the next Restore
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{start: time.Now().Add(-time.Hour), rows: make(map[rowID]Row), changed: make(chan struct{}), era: 1, restored: make(chan struct{})}
}

// Endpoint is one address of a store, with faults of its own. Daemons that use
// different endpoints can lose the store one by one.
type Endpoint struct {
	Address string
	store   *Store
	server  *http.Server

	mu            sync.Mutex
	errorStatus   int           // HTTP status of every response; 0 serves calls
	silent        bool          // calls get no response
	oldResponses  bool          // calls that a restore overtakes get their response
	loseResponses bool          // writes are executed but get no response
	delay         time.Duration // before each call is executed
	rate          int           // bytes of responses per second, of each connection; 0 for no limit
	links         map[string]*Link
}

// Listen serves the store at a free loopback address.
func (s *Store) Listen() (*Endpoint, error) {
	e := &Endpoint{store: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lagoonmux/rows-get", e.serve(s.handleGet))
	mux.HandleFunc("GET /lagoonmux/rows-feed", e.serve(s.handleFeed))
	mux.HandleFunc("POST /lagoonmux/rows-tx", e.serve(s.handleTx))
	var err error
	e.Address, e.server, err = listen(mux)
	return e, err
}

// listen serves h at a free loopback address and returns the address.
func listen(h http.Handler) (string, *http.Server, error) { return listenThrough(h, nil) }

// listenThrough is listen through a gate; nil for none.
func listenThrough(h http.Handler, g *gate) (string, *http.Server, error) {
	address, err := loopback.Address()
	if err != nil {
		return "", nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, errors.Wrap(err, "listen on loopback address")
	}
	if g != nil {
		l = gatedListener{l, g}
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return address, server, nil
}

// Close closes the listener and all connections.
func (e *Endpoint) Close() { _ = e.server.Close() }

// SetErrorStatus makes every call fail with the HTTP status; 0 serves calls again.
func (e *Endpoint) SetErrorStatus(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.errorStatus = status
}

// SetSilent leaves calls without a response until the client disconnects, while on
// is set.
func (e *Endpoint) SetSilent(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = on
}

// SetLoseResponses executes writes but aborts the connection instead of responding,
// while on is set.
func (e *Endpoint) SetLoseResponses(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseResponses = on
}

// SetDelay delays every call by the duration, before it is executed.
func (e *Endpoint) SetDelay(by time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = by
}

// SetRate limits the bytes of responses per second, as a slow link does; 0 lifts the limit.
func (e *Endpoint) SetRate(bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rate = bytes
}

// writeBody writes the body of a response at the rate of the endpoint.
func (e *Endpoint) writeBody(w http.ResponseWriter, body []byte) {
	e.mu.Lock()
	rate := e.rate
	e.mu.Unlock()
	const tick = 10 * time.Millisecond
	for rate > 0 && len(body) > 0 {
		n := min(len(body), max(rate/int(time.Second/tick), 1))
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		body = body[n:]
		time.Sleep(tick)
	}
	_, _ = w.Write(body)
}

func (e *Endpoint) faults() (status int, silent, loseResponses bool, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.errorStatus, e.silent, e.loseResponses, e.delay
}

// serve returns a handler that calls h with the faults of the endpoint.
func (e *Endpoint) serve(h func(r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		status, silent, lost, delay := e.faults()
		time.Sleep(delay)
		if silent {
			<-r.Context().Done()
			return
		}
		if status != 0 {
			w.WriteHeader(status)
			return
		}
		era, restored := e.store.currentEra()
		status, body := h(r)
		if r.Context().Err() == nil && isClosed(restored) && !e.keepOldResponses() {
			panic(http.ErrAbortHandler) // the connection ended with the store
		}
		if statusNow, silentNow, _, _ := e.faults(); silentNow {
			<-r.Context().Done() // SetSilent was called while h waited for a change
			return
		} else if statusNow != 0 {
			status, body = statusNow, nil
		}
		if lost && r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		encoded, err := json.Marshal(e.linked(body))
		if err != nil {
			panic(err) // the stand-in's own types
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		w.WriteHeader(status)
		e.writeBody(w, append(encoded, '\n'))
	}
}

// page is the body of a response with rows.
type page struct {
	Rows    []Row   `json:"rows"`
	HasMore bool    `json:"hasMore"`
	Ver     int64   `json:"ver"`
	NowMs   float64 `json:"nowMs"`
}

func (s *Store) page(rows []Row) page {
	return page{Rows: append([]Row{}, rows...), Ver: s.version, NowMs: float64(time.Since(s.start)) / float64(time.Millisecond)}
}

func (s *Store) handleGet(r *http.Request) (int, any) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var rows []Row
	for id, row := range s.rows {
		if id.table != q.Get("table") || id.part != q.Get("part") || row.Removed || id.key < q.Get("from") {
			continue
		}
		if to := q.Get("to"); to != "" && id.key >= to {
			continue
		}
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	p := s.page(rows[:min(limit, len(rows))])
	p.HasMore = len(rows) > limit
	return http.StatusOK, p
}

func (s *Store) handleFeed(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.reads++
		if after < s.compacted || after > s.version {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		var rows []Row
		for id, row := range s.rows {
			if id.table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b Row) int { return int(a.Ver - b.Ver) })
		p, changed, restored := s.page(rows), s.changed, s.restored
		s.mu.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, p
		}
		select {
		case <-changed:
		case <-restored:
			return http.StatusOK, p
		case <-timer.C:
			return http.StatusOK, p
		case <-r.Context().Done():
			return http.StatusOK, p
		}
	}
}

func (s *Store) handleTx(r *http.Request) (int, any) {
	var c struct {
		Precondition []Row `json:"precondition"`
		SetKeys      []Row `json:"setKeys"`
		Remove       []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	for _, p := range c.Precondition {
		row := s.rows[rowID{p.Table, p.Part, p.Key}]
		if row.Removed {
			row.Ver = 0
		}
		if row.Ver != p.Ver {
			return http.StatusPreconditionFailed, s.page([]Row{row})
		}
	}
	s.version++
	for _, row := range c.SetKeys {
		row.Ver = s.version
		s.rows[rowID{row.Table, row.Part, row.Key}] = row
	}
	for _, row := range c.Remove {
		row.Ver, row.Removed = s.version, true
		s.rows[rowID{row.Table, row.Part, row.Key}] = row
	}
	s.notifyChange()
	return http.StatusOK, s.page(nil)
}

// notifyChange wakes the reads that wait for a change. The caller holds mu.
func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row to the empty partition without a precondition, as the owner of
// a configuration table does, and returns its version.
func (s *Store) Put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID{table, "", key}] = Row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value), Ver: s.version}
	s.notifyChange()
	return s.version
}

// PutJSON encodes v as JSON and writes it with Put.
func (s *Store) PutJSON(table, key string, v any) int64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the test passed a value that JSON can't encode
	}
	return s.Put(table, key, data)
}

// Keys returns the keys of the rows of a table.
func (s *Store) Keys(table string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.rows {
		if id.table == table && !row.Removed {
			keys = append(keys, id.key)
		}
	}
	return keys
}

// Remove removes a row of the empty partition without a precondition.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID{table, "", key}] = Row{Table: table, Key: key, Ver: s.version, Removed: true}
	s.notifyChange()
}

// Compact drops the history and all removed rows: reads of changes after an older
// version fail with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.compacted = s.version
	for id, row := range s.rows {
		if row.Removed {
			delete(s.rows, id)
		}
	}
	s.notifyChange()
}

// Value returns the decoded value of a row of the empty partition, or nil if there
// is no such row.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowID{table, "", key}]
	if !ok || row.Removed {
		return nil
	}
	value, err := base64.StdEncoding.DecodeString(row.Value)
	if err != nil {
		return nil
	}
	return value
}

// Calls returns the number of writes and reads so far. A read of changes counts
// again each time that it wakes.
func (s *Store) Calls() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}
