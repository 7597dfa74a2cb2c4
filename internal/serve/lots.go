package serve

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/dispatch"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/batch"
)

const (
	stepLots = "lots"

	leaseTime     = 15 * time.Second
	keepInterval  = 5 * time.Second // between two records of progress
	acceptTimeout = 2 * time.Second
)

// Errors of a record of an open lot.
var (
	errNotOwner = errors.New("another daemon owns the lot")
	errEnded    = errors.New("the lot has ended")

	// errDispatched says that a dispatched lot has no progress to record, and
	// no lease: it is its daemon's for good.
	errDispatched = errors.New("the lot is dispatched")
)

// LotDispatcher runs admitted calls, and goes on with answers of which a part
// is kept.
type LotDispatcher interface {
	Dispatcher
	Resume(ctx context.Context, c *call.Call, kept dispatch.PartialResponse, sink call.Sink) error
}

// Peers hands lots to another daemon, which it names. After an error with a
// named daemon, that one may have taken the lot.
type Peers interface {
	HandOver(ctx context.Context, kind string, body []byte) (string, error)
}

// LotKind is the kind under which lots are handed over.
const LotKind = "lot"

// Lots owns the accepted lots of this daemon. Its methods may be called from
// any goroutine.
type Lots struct {
	daemon     string
	table      platform.Table
	objects    platform.Objects
	writer     Committer
	admitter   Admitter
	dispatcher LotDispatcher
	manifests  *manifest.Current
	peers      Peers
	log        hclog.Logger
	daemons    atomic.Int64 // live ones

	mu     sync.Mutex
	held   map[string]*held // by id
	closed bool
}

// LotsConfig names the parts that lots need.
type LotsConfig struct {
	Daemon     string
	Table      platform.Table
	Objects    platform.Objects
	Writer     Committer
	Admitter   Admitter
	Dispatcher LotDispatcher
	Manifests  *manifest.Current
	Peers      Peers
	Log        hclog.Logger
}

// NewLots returns the owner of no lots.
func NewLots(c LotsConfig) *Lots {
	l := &Lots{
		daemon: c.Daemon, table: c.Table, objects: c.Objects, writer: c.Writer, admitter: c.Admitter,
		dispatcher: c.Dispatcher, manifests: c.Manifests, peers: c.Peers, log: c.Log,
		held: make(map[string]*held),
	}
	l.daemons.Store(batch.DefaultDaemons)
	return l
}

// SetDaemons tells how many daemons share the work of watching lots.
func (l *Lots) SetDaemons(n int) { l.daemons.Store(int64(max(n, 1))) }

// Accept keeps a call as a lot and begins it. Once it returns without error,
// the lot is owed. The id names it. The error is a *call.Error.
func (l *Lots) Accept(ctx context.Context, c *call.Call) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	lot := newLot(c)
	input := []byte(c.Prompt)
	if c.Prompt == "" {
		input = append([]byte(nil), c.Body...)
	}
	if err := l.objects.Put(ctx, ledger.InputObject(lot.ID), input); err != nil {
		return "", call.Refused(stepLots, "objects", fasthttp.StatusServiceUnavailable, err)
	}
	var key ledger.Stored // an unknown row is taken for absent: the commit finds out
	for range maxAdmissions {
		found, err := l.tryAccept(ctx, lot, input, key)
		if found == nil {
			return lot.ID, err
		}
		key = *found
	}
	err := errors.New("record changes too often")
	return "", call.Lost(stepLots, peerTable, fasthttp.StatusConflict, err)
}

// tryAccept commits a lot whose idempotency key has the row key. It returns the
// row that stands in the way if there is another.
func (l *Lots) tryAccept(ctx context.Context, lot ledger.Lot, input []byte, key ledger.Stored) (*ledger.Stored, error) {
	token := uuid.NewString()
	hold, writes, err := ledger.AcceptLot(lot, l.daemon, token, leaseTime, time.Now())
	if err != nil {
		return nil, call.Refused(stepLots, "", fasthttp.StatusInternalServerError, err)
	}
	if reservesKey(&lot) {
		in := ledger.Intent{ID: lot.ID, Customer: lot.Customer, Hash: lot.Hash, Daemon: l.daemon, Token: token}
		d, err := ledger.AdmitLot(key, in, time.Now())
		if err != nil {
			return nil, call.Lost(stepLots, peerTable, fasthttp.StatusInternalServerError, err)
		}
		if d.Verdict != ledger.MayDispatch {
			return nil, keyTaken(d)
		}
		writes = append(writes, d.Write)
	}
	return l.commitAccept(ctx, newHeld(hold, input), token, writes)
}

func (l *Lots) commitAccept(ctx context.Context, h *held, token string, writes []platform.Write) (*ledger.Stored, error) {
	uncertain := false
	again := newBackoff(minBackoff)
	for {
		err := l.writer.Commit(ctx, batch.Lots, token, writes)
		if err == nil {
			l.hold(h)
			return nil, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return l.acceptedBefore(ctx, h)
		}
		uncertain = uncertain || errors.Is(err, platform.ErrOutcomeUnknown)
		if errors.Is(err, batch.ErrBudget) || !again.wait(ctx) {
			return nil, acceptError(err, uncertain)
		}
	}
}

// reservesKey tells whether the lot must hold its idempotency key against calls
// that are not lots, since running both would run it twice.
func reservesKey(lot *ledger.Lot) bool {
	return lot.Key != "" && !lot.Repeatable
}

// keyTaken returns the error of a lot whose key belongs to a call, or nil if
// the call is answered: its status answers for the lot.
func keyTaken(d ledger.Decision) error {
	rec := &d.Next.Record
	switch d.Verdict {
	case ledger.Replay:
		return nil
	case ledger.Mismatch:
		return mismatch(stepLots)
	default:
		err := errors.Errorf("request %s was made before and is %s by daemon %s", rec.ID, rec.State, rec.Daemon)
		return call.Lost(stepLots, rec.Daemon, fasthttp.StatusConflict, err)
	}
}

func mismatch(step string) error {
	err := errors.New("the idempotency key was used with another request")
	return call.Refused(step, "", fasthttp.StatusUnprocessableEntity, err)
}

// acceptError returns the error of a lot that was not accepted. If a commit is
// uncertain the rows may exist, and then some daemon runs the lot.
func acceptError(err error, uncertain bool) error {
	if uncertain {
		return call.Lost(stepLots, peerTable, fasthttp.StatusServiceUnavailable, err)
	}
	return call.Refused(stepLots, peerTable, fasthttp.StatusServiceUnavailable, err)
}

// acceptedBefore answers for a lot of which a row exists: by the same commit, by
// an earlier call with the same key, or as the row of the key, which it returns.
func (l *Lots) acceptedBefore(ctx context.Context, h *held) (*ledger.Stored, error) {
	id := h.spec.ID
	lot, _, err := l.readLot(ctx, id)
	if errors.Is(err, platform.ErrNotFound) && reservesKey(&h.spec) {
		key, err := readCall(ctx, l.table, id)
		if err != nil {
			return nil, call.Lost(stepLots, peerTable, fasthttp.StatusServiceUnavailable, err)
		}
		return &key, nil
	}
	if err != nil {
		return nil, call.Lost(stepLots, peerTable, fasthttp.StatusServiceUnavailable, err)
	}
	if lot.Hash != h.spec.Hash || lot.Customer != h.spec.Customer {
		return nil, mismatch(stepLots)
	}
	open, version, err := l.readOpen(ctx, id)
	if err == nil && open.Owns(h.lot.Open.Token) {
		h.lot.Version = version
		l.hold(h)
	}
	return nil, nil
}

func newLot(c *call.Call) ledger.Lot {
	lot := ledger.Lot{
		ID: uuid.NewString(), Customer: c.Customer.Name, Service: c.Service.Name, Class: c.Class,
		Deadline: c.Deadline, MaxTokens: c.MaxTokens, Chat: c.Chat,
		Method: c.Method, Path: c.Path, ContentType: c.ContentType, Key: c.IdempotencyKey, Repeatable: c.Repeatable,
	}
	if c.IdempotencyKey != "" {
		lot.ID = ledger.RequestID(c.Customer.Name, c.IdempotencyKey)
	}
	body := c.Body
	if c.Prompt != "" {
		body = []byte(c.Prompt)
	}
	kind := lot.ContentType
	if lot.MaxTokens > 0 {
		kind += strconv.Itoa(lot.MaxTokens)
	}
	lot.Hash = ledger.HashRequest(lot.Service, lot.Method, lot.Path, kind, body)
	return lot
}

// hold begins to work at a lot, unless this daemon does already or is leaving.
func (l *Lots) hold(h *held) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := h.spec.ID
	if l.closed || l.held[id] != nil {
		return false
	}
	l.held[id] = h
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.stopped)
		defer cancel()
		l.own(ctx, h)
	}()
	return true
}

func (l *Lots) drop(h *held) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held[h.spec.ID] == h {
		delete(l.held, h.spec.ID)
	}
}

func (l *Lots) find(id string) *held {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held[id]
}

// Held returns the number of lots that this daemon owns.
func (l *Lots) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

func (l *Lots) readLot(ctx context.Context, id string) (ledger.Lot, int64, error) {
	var lot ledger.Lot
	row, err := l.table.Get(ctx, ledger.LotKey(id))
	if err != nil {
		return lot, 0, err
	}
	return lot, row.Version, ledger.Decode(row, &lot)
}

func (l *Lots) readOpen(ctx context.Context, id string) (ledger.Open, int64, error) {
	var open ledger.Open
	row, err := l.table.Get(ctx, ledger.OpenKey(id))
	if err != nil {
		return open, 0, err
	}
	return open, row.Version, ledger.Decode(row, &open)
}

// progress is the content of a progress object.
type progress struct {
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
	Ends   []int  `json:"ends"` // offset in the text of the end of each token
	Finish string `json:"finish,omitempty"`
}

// token returns the text of the token at index i.
func (p *progress) token(i int) string {
	begin := 0
	if i > 0 {
		begin = p.Ends[i-1]
	}
	return p.Text[begin:p.Ends[i]]
}

func (l *Lots) readProgress(ctx context.Context, name string) (progress, error) {
	var p progress
	if name == "" {
		return p, nil
	}
	data, err := l.objects.Get(ctx, name)
	if err != nil {
		return p, err
	}
	return p, errors.Wrap(json.Unmarshal(data, &p), "decode progress")
}
