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

	leaseDuration = 15 * time.Second
	saveInterval  = 5 * time.Second // between two records of the progress of a lot; each renews the lease
	acceptTimeout = 2 * time.Second
)

// Errors of recording a change of an open lot.
var (
	errNotOwner = errors.New("another daemon owns the lot")
	errEnded    = errors.New("the lot has ended")

	// errDispatched means that the progress of a dispatched lot can't be saved. Such a
	// lot has none, and needs no lease, since no other daemon may adopt it.
	errDispatched = errors.New("a dispatched lot has no progress")
)

// LotDispatcher runs admitted calls. Resume continues the partial response that earlier
// runs generated.
type LotDispatcher interface {
	Dispatcher
	Resume(ctx context.Context, c *call.Call, partial dispatch.PartialResponse, sink call.Sink) error
}

// Peers hands lots (requests accepted for asynchronous processing) over to other daemons.
// HandOver returns the name of the daemon that accepted the lot. If it returns a name and an
// error, the named daemon may have accepted the lot nevertheless.
type Peers interface {
	HandOver(ctx context.Context, kind string, body []byte) (string, error)
}

// LotKind is the kind of hand-over messages that contain a lot.
const LotKind = "lot"

// Lots accepts, runs and hands over the lots of this daemon. Its methods may be called
// from any goroutine.
type Lots struct {
	daemon      string
	table       platform.Table
	objects     platform.Objects
	writer      Committer
	admitter    Admitter
	dispatcher  LotDispatcher
	manifests   *manifest.Current
	peers       Peers
	log         hclog.Logger
	daemonCount atomic.Int64 // daemons that share the scans

	mu     sync.Mutex
	owned  map[string]*ownedLot // by lot id
	closed bool                 // HandOver was called; no more lots are started
}

// LotsConfig holds the dependencies of Lots.
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

// NewLots returns a Lots that owns no lots yet.
func NewLots(c LotsConfig) *Lots {
	l := &Lots{
		daemon: c.Daemon, table: c.Table, objects: c.Objects, writer: c.Writer, admitter: c.Admitter,
		dispatcher: c.Dispatcher, manifests: c.Manifests, peers: c.Peers, log: c.Log,
		owned: make(map[string]*ownedLot),
	}
	l.daemonCount.Store(batch.DefaultDaemons)
	return l
}

// SetDaemons sets the number of daemons among which the scans for expired leases are
// divided.
func (l *Lots) SetDaemons(n int) { l.daemonCount.Store(int64(max(n, 1))) }

// Accept records a call as a lot, starts it and returns its id. Once Accept returns without
// error, the lot is processed even if this daemon stops. The error is a *call.Error.
func (l *Lots) Accept(ctx context.Context, c *call.Call) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	lot := newLot(c)
	input := []byte(c.Prompt)
	if c.Prompt == "" {
		input = append([]byte(nil), c.Body...)
	}
	if err := l.objects.Put(ctx, ledger.InputObject(lot.ID), input); err != nil {
		return "", call.NotRunError(stepLots, "objects", fasthttp.StatusServiceUnavailable, err)
	}
	var keyRow ledger.StoredRecord // assumed to be absent: if it exists, the commit conflicts
	for range maxClaims {
		found, err := l.tryAccept(ctx, lot, input, keyRow)
		if found == nil {
			return lot.ID, err
		}
		keyRow = *found
	}
	err := errors.New("record changes too often")
	return "", call.MayHaveRunError(stepLots, peerTable, fasthttp.StatusConflict, err)
}

// tryAccept commits a lot, assuming that keyRow is the row of its idempotency key. If the
// commit conflicts because the row differs, tryAccept returns the current row.
func (l *Lots) tryAccept(ctx context.Context, lot ledger.Lot, input []byte, keyRow ledger.StoredRecord) (*ledger.StoredRecord, error) {
	token := uuid.NewString()
	open, writes, err := ledger.AcceptLot(lot, l.daemon, token, leaseDuration, time.Now())
	if err != nil {
		return nil, call.NotRunError(stepLots, "", fasthttp.StatusInternalServerError, err)
	}
	if mustReserveKey(&lot) {
		claim := ledger.Claim{ID: lot.ID, Customer: lot.Customer, Hash: lot.Hash, Daemon: l.daemon, Token: token}
		d, err := ledger.ReserveKey(keyRow, claim, time.Now())
		if err != nil {
			return nil, call.MayHaveRunError(stepLots, peerTable, fasthttp.StatusInternalServerError, err)
		}
		if d.Verdict != ledger.MayDispatch {
			return nil, keyConflictError(d)
		}
		writes = append(writes, d.Write)
	}
	return l.commitAccept(ctx, newOwnedLot(open, input), token, writes)
}

func (l *Lots) commitAccept(ctx context.Context, o *ownedLot, token string, writes []platform.Write) (*ledger.StoredRecord, error) {
	uncertain := false
	retry := newBackoff(minBackoff)
	for {
		err := l.writer.Commit(ctx, batch.Lots, token, writes)
		if err == nil {
			l.start(o)
			return nil, nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return l.resolveAcceptConflict(ctx, o)
		}
		uncertain = uncertain || errors.Is(err, platform.ErrOutcomeUnknown)
		if errors.Is(err, batch.ErrBudget) || !retry.wait(ctx) {
			return nil, acceptError(err, uncertain)
		}
	}
}

// mustReserveKey reports whether the lot must reserve its idempotency key, so that the
// same request can't also run as a non-repeatable call, that is twice.
func mustReserveKey(lot *ledger.Lot) bool {
	return lot.IdempotencyKey != "" && !lot.Repeatable
}

// keyConflictError returns the error for a lot whose key is in use. It returns nil if a
// call with the key is done: Status with the lot's id then returns the call's response.
func keyConflictError(d ledger.Decision) error {
	rec := &d.Next.Record
	switch d.Verdict {
	case ledger.Replay:
		return nil
	case ledger.KeyReused:
		return keyReusedError(stepLots)
	default:
		err := errors.Errorf("request %s was made before and is %s by daemon %s", rec.ID, rec.State, rec.Daemon)
		return call.MayHaveRunError(stepLots, rec.Daemon, fasthttp.StatusConflict, err)
	}
}

func keyReusedError(step string) error {
	err := errors.New("the idempotency key was used with another request")
	return call.NotRunError(step, "", fasthttp.StatusUnprocessableEntity, err)
}

// acceptError returns the error for a lot whose acceptance failed. If the outcome of a
// commit is unknown, the rows may exist, and then some daemon runs the lot.
func acceptError(err error, uncertain bool) error {
	if uncertain {
		return call.MayHaveRunError(stepLots, peerTable, fasthttp.StatusServiceUnavailable, err)
	}
	return call.NotRunError(stepLots, peerTable, fasthttp.StatusServiceUnavailable, err)
}

// resolveAcceptConflict handles a conflict of the commit that accepts a lot. The lot's row
// may have been written by an earlier try of the same commit or by an earlier request
// with the same key. If there is no such row, the row of the key conflicted; it is
// returned.
func (l *Lots) resolveAcceptConflict(ctx context.Context, o *ownedLot) (*ledger.StoredRecord, error) {
	id := o.spec.ID
	lot, _, err := l.readLot(ctx, id)
	if errors.Is(err, platform.ErrNotFound) && mustReserveKey(&o.spec) {
		keyRow, err := readCall(ctx, l.table, id)
		if err != nil {
			return nil, call.MayHaveRunError(stepLots, peerTable, fasthttp.StatusServiceUnavailable, err)
		}
		return &keyRow, nil
	}
	if err != nil {
		return nil, call.MayHaveRunError(stepLots, peerTable, fasthttp.StatusServiceUnavailable, err)
	}
	if lot.Hash != o.spec.Hash || lot.Customer != o.spec.Customer {
		return nil, keyReusedError(stepLots)
	}
	ownership, version, err := l.readOwnership(ctx, id)
	if err == nil && ownership.HasToken(o.open.Ownership.Token) {
		o.open.Version = version
		l.start(o)
	}
	return nil, nil
}

func newLot(c *call.Call) ledger.Lot {
	lot := ledger.Lot{
		ID: uuid.NewString(), Customer: c.Customer.Name, Service: c.Service.Name, Class: c.Class,
		Deadline: c.Deadline, MaxTokens: c.MaxTokens, Chat: c.Chat,
		Method: c.Method, Path: c.Path, ContentType: c.ContentType, IdempotencyKey: c.IdempotencyKey, Repeatable: c.Repeatable,
	}
	if c.IdempotencyKey != "" {
		lot.ID = ledger.RequestID(c.Customer.Name, c.IdempotencyKey)
	}
	body := c.Body
	if c.Prompt != "" {
		body = []byte(c.Prompt)
	}
	variant := lot.ContentType
	if lot.MaxTokens > 0 {
		variant += strconv.Itoa(lot.MaxTokens)
	}
	lot.Hash = ledger.HashRequest(lot.Service, lot.Method, lot.Path, variant, body)
	return lot
}

// start runs a lot in the background. It returns false if this daemon runs the lot already
// or HandOver was called.
func (l *Lots) start(o *ownedLot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := o.spec.ID
	if l.closed || l.owned[id] != nil {
		return false
	}
	l.owned[id] = o
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	go func() {
		defer close(o.done)
		defer cancel()
		l.runLot(ctx, o)
	}()
	return true
}

func (l *Lots) remove(o *ownedLot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owned[o.spec.ID] == o {
		delete(l.owned, o.spec.ID)
	}
}

func (l *Lots) find(id string) *ownedLot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owned[id]
}

// OwnedCount returns the number of lots that this daemon owns.
func (l *Lots) OwnedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.owned)
}

func (l *Lots) readLot(ctx context.Context, id string) (ledger.Lot, int64, error) {
	var lot ledger.Lot
	row, err := l.table.Get(ctx, ledger.LotKey(id))
	if err != nil {
		return lot, 0, err
	}
	return lot, row.Version, ledger.DecodeRow(row, &lot)
}

func (l *Lots) readOwnership(ctx context.Context, id string) (ledger.Ownership, int64, error) {
	var ownership ledger.Ownership
	row, err := l.table.Get(ctx, ledger.OwnershipKey(id))
	if err != nil {
		return ownership, 0, err
	}
	return ownership, row.Version, ledger.DecodeRow(row, &ownership)
}

// progress is the content of a progress object.
type progress struct {
	Tokens    int    `json:"tokens"`
	Text      string `json:"text"`
	TokenEnds []int  `json:"ends"` // offset in Text at which each token ends
	Finish    string `json:"finish,omitempty"`
}

// token returns the text of token i.
func (p *progress) token(i int) string {
	start := 0
	if i > 0 {
		start = p.TokenEnds[i-1]
	}
	return p.Text[start:p.TokenEnds[i]]
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
	return p, errors.Wrap(json.Unmarshal(data, &p), "decode progress object")
}
