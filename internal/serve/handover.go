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
	maxHandOvers     = 16
	maxHandOverInput = 1 << 20 // bytes of a larger input are left to the object store
	releaseTimeout   = time.Second
)

// handOverMessage is a lot on its way to another daemon.
type handOverMessage struct {
	Lot      ledger.OpenLot    `json:"lot"`
	Claimed  bool              `json:"claimed"`
	Progress progress          `json:"progress"`
	Input    []byte            `json:"input,omitempty"`
	Result   *ledger.LotResult `json:"end,omitempty"` // reached, and not yet recorded
}

// HandOver gives every lot to a peer and takes no more. It works with the table
// down: the peer learns from this daemon what it needs, and records that it
// owns the lot when it can. A lot that no peer takes is released, so that any
// daemon may adopt it.
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

// release records the progress and ends the lease at once. If a peer has taken
// the lot nevertheless, the version decides between it and an adopter.
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
	return body, errors.Wrap(err, "encode lot")
}

// Receive takes over a lot from another daemon. It returns false, and has no
// effect, if this daemon is leaving itself.
func (l *Lots) Receive(_ context.Context, from string, body []byte) bool {
	var message handOverMessage
	if err := json.Unmarshal(body, &message); err != nil {
		l.log.Error("lot not received", "peer", from, "error", err)
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
