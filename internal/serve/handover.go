package serve

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/ledger"
	"github.com/lagoonmux/lagoonmux/internal/platform"
)

const (
	maxHandOvers     = 16      // in parallel
	maxHandOverInput = 1 << 20 // bytes; the peer reads a larger input from the object store
	releaseTimeout   = time.Second
)

// handOverMessage is the JSON message that hands a lot over to another daemon.
type handOverMessage struct {
	Lot      ledger.OpenLot    `json:"lot"`
	Claimed  bool              `json:"claimed"`
	Progress progress          `json:"progress"`
	Input    []byte            `json:"input,omitempty"`
	Result   *ledger.LotResult `json:"end,omitempty"` // set if the lot has ended and the result is not yet recorded
}

// HandOver hands all lots over to peers; afterwards this daemon starts no more lots. It
// works while the table is unavailable: the message contains all that the peer needs to
// run the lot, and the peer records its ownership when the table is available again. A
// lot that no peer accepts is released, so that any daemon may adopt it.
func (l *Lots) HandOver(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	lots := make([]*ownedLot, 0, len(l.owned))
	for _, o := range l.owned {
		lots = append(lots, o)
	}
	l.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(maxHandOvers)
	for _, o := range lots {
		g.Go(func() error {
			l.handOver(ctx, o)
			return nil
		})
	}
	_ = g.Wait()
}

func (l *Lots) handOver(ctx context.Context, o *ownedLot) {
	o.cancel()
	select {
	case <-o.done:
	case <-ctx.Done():
		return
	}
	if o.resolved {
		return
	}
	id := o.spec.ID
	body, err := o.encode()
	if err != nil {
		l.log.Error("lot not handed over", "id", id, "error", err)
		return
	}
	peer, err := l.peers.HandOver(ctx, LotKind, body)
	if err == nil {
		l.log.Info("lot handed over", "id", id, "peer", peer, "tokens", o.progress().Tokens)
		return
	}
	l.log.Warn("lot not handed over", "id", id, "peer", peer, "error", err)
	l.release(o)
}

// release records the progress and ends the lease immediately. A peer may have accepted
// the lot although the hand-over failed; the row's version then decides whether this peer
// or an adopting daemon owns the lot.
func (l *Lots) release(o *ownedLot) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	p := o.progress()
	object, err := l.putProgress(ctx, o, p)
	if err == nil {
		err = l.recordWithRetry(ctx, o, func(open ledger.OpenLot, now time.Time) (ledger.OpenLot, []platform.Write, error) {
			open.Ownership.Tokens, open.Ownership.ProgressObject = p.Tokens, object
			return ledger.UpdateLot(open, ledger.Keep, 0, now)
		})
	}
	if err != nil {
		l.log.Warn("lot not released", "id", o.spec.ID, "error", err)
	}
}

func (o *ownedLot) encode() ([]byte, error) {
	message := handOverMessage{Lot: o.open, Claimed: o.claimed, Progress: o.progress(), Result: o.result}
	if len(o.input) <= maxHandOverInput {
		message.Input = o.input
	}
	body, err := json.Marshal(message)
	return body, errors.Wrap(err, "encode lot for hand-over")
}

// Receive takes over a lot from another daemon. It returns false, without effect, if the
// message is invalid, this daemon is handing its lots over too, or it runs the lot already.
func (l *Lots) Receive(_ context.Context, from string, body []byte) bool {
	var message handOverMessage
	if err := json.Unmarshal(body, &message); err != nil {
		l.log.Error("lot not received: decoding the hand-over message failed", "peer", from, "error", err)
		return false
	}
	o := newOwnedLot(ledger.AssignOwner(message.Lot, l.daemon, uuid.NewString()), message.Input)
	o.previousToken = message.Lot.Ownership.Token
	o.claimed = false
	o.result = message.Result
	o.restore(message.Progress)
	accepted := l.start(o)
	l.log.Info("lot received", "id", message.Lot.Lot.ID, "peer", from, "tokens", message.Progress.Tokens, "taken", accepted)
	return accepted
}
