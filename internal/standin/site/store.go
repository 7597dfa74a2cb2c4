// Package site holds stand-ins for what lagoonmux meets on its users' platform:
// the store with its changes, model engines and plain services, and the cloud
// that takes fenced calls. Each has faults to switch on.
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

// maxFeedWait bounds how long a read of changes is kept waiting.
const maxFeedWait = 30 * time.Second

// Row is one row as the store spells it.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowID struct{ table, part, key string }

// Store is a store of rows. Its methods may be called from any goroutine.
type Store struct {
	mu        sync.Mutex
	start     time.Time
	version   int64
	compacted int64 // changes up to this version can no longer be read
	rows      map[rowID]Row
	changed   chan struct{} // closed at the next change
	writes    int
	reads     int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{start: time.Now().Add(-time.Hour), rows: make(map[rowID]Row), changed: make(chan struct{})}
}

// Endpoint is one address of a store. Daemons that use different doors can be
// turned away one by one.
type Endpoint struct {
	Address string
	store   *Store
	server  *http.Server

	mu            sync.Mutex
	errorStatus   int           // with which calls are turned away; 0 serves them
	silent        bool          // calls get no answer
	loseResponses bool          // writes are done and not answered
	delay         time.Duration // of every answer
}

// Listen lets the store listen at a new address.
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

// listen serves h at a free address.
func listen(h http.Handler) (string, *http.Server, error) {
	address, err := loopback.Address()
	if err != nil {
		return "", nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return address, server, nil
}

// Close ends the door.
func (e *Endpoint) Close() { _ = e.server.Close() }

// SetErrorStatus turns every call away with a status; 0 serves them again.
func (e *Endpoint) SetErrorStatus(status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.errorStatus = status
}

// SetSilent makes calls wait without an answer, from now on.
func (e *Endpoint) SetSilent(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = on
}

// SetLoseResponses makes writes be done without an answer.
func (e *Endpoint) SetLoseResponses(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseResponses = on
}

// SetDelay holds every answer back.
func (e *Endpoint) SetDelay(by time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delay = by
}

func (e *Endpoint) faults() (status int, silent, loseResponses bool, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.errorStatus, e.silent, e.loseResponses, e.delay
}

// serve applies the door's faults to calls.
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
		status, body := h(r)
		if statusNow, silentNow, _, _ := e.faults(); silentNow {
			<-r.Context().Done() // went silent while a read waited
			return
		} else if statusNow != 0 {
			status, body = statusNow, nil
		}
		if lost && r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// page is an answer about rows.
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
		if after < s.compacted {
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
		p, changed := s.page(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return http.StatusOK, p
		}
		select {
		case <-changed:
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

// notifyChange wakes reads of changes. The caller holds mu.
func (s *Store) notifyChange() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row as its owner does and returns its version.
func (s *Store) Put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID{table, "", key}] = Row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value), Ver: s.version}
	s.notifyChange()
	return s.version
}

// PutJSON is Put of the JSON of v.
func (s *Store) PutJSON(table, key string, v any) int64 {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // a mistake in a test
	}
	return s.Put(table, key, data)
}

// Remove removes a row as its owner does.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID{table, "", key}] = Row{Table: table, Key: key, Ver: s.version, Removed: true}
	s.notifyChange()
}

// Compact drops the history: changes so far can no longer be read one by one.
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

// Value returns the content of a row, nil where there is none.
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

// Calls returns how many calls were served.
func (s *Store) Calls() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}
