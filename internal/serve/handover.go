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
	handOversAtOnce = 16
	maxHandedInput  = 1 << 20 // bytes of a larger input are left to the object store
	releaseTimeout  = time.Second
)

// handed is a lot on its way to another daemon.
type handed struct {
	Lot      ledger.Hold `json:"lot"`
	Claimed  bool        `json:"claimed"`
	Progress progress    `json:"progress"`
	Input    []byte      `json:"input,omitempty"`
	End      *ledger.End `json:"end,omitempty"` // reached, and not yet recorded
}

// HandOver gives every lot to a peer and takes no more. It works with the table
// down: the peer learns from this daemon what it needs, and records that it
// owns the lot when it can. A lot that no peer takes is released, so that any
// daemon may adopt it.
func (l *Lots) HandOver(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	leaving := make([]*held, 0, len(l.held))
	for _, h := range l.held {
		leaving = append(leaving, h)
	}
	l.mu.Unlock()
	var g errgroup.Group
	g.SetLimit(handOversAtOnce)
	for _, h := range leaving {
		g.Go(func() error {
			l.handOver(ctx, h)
			return nil
		})
	}
	_ = g.Wait()
}

func (l *Lots) handOver(ctx context.Context, h *held) {
	h.cancel()
	select {
	case <-h.stopped:
	case <-ctx.Done():
		return
	}
	if h.settled {
		return
	}
	id := h.spec.ID
	body, err := h.encode()
	if err != nil {
		l.log.Error("lot not handed over", "id", id, "error", err)
		return
	}
	name, err := l.peers.HandOver(ctx, LotKind, body)
	if err == nil {
		l.log.Info("lot handed over", "id", id, "peer", name, "tokens", h.progress().Tokens)
		return
	}
	l.log.Warn("lot not handed over", "id", id, "peer", name, "error", err)
	l.release(h)
}

// release records the progress and ends the lease at once. If a peer has taken
// the lot nevertheless, the version decides between it and an adopter.
func (l *Lots) release(h *held) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	p := h.progress()
	name, err := l.storeProgress(ctx, h, p)
	if err == nil {
		err = l.insist(ctx, h, func(hold ledger.Hold, now time.Time) (ledger.Hold, []platform.Write, error) {
			hold.Open.Tokens, hold.Open.Progress = p.Tokens, name
			return ledger.Change(hold, ledger.Keep, 0, now)
		})
	}
	if err != nil {
		l.log.Warn("lot not released", "id", h.spec.ID, "error", err)
	}
}

func (h *held) encode() ([]byte, error) {
	v := handed{Lot: h.lot, Claimed: h.claimed, Progress: h.progress(), End: h.pending}
	if len(h.input) <= maxHandedInput {
		v.Input = h.input
	}
	body, err := json.Marshal(v)
	return body, errors.Wrap(err, "encode lot")
}

// Receive takes over a lot from another daemon. It returns false, and has no
// effect, if this daemon is leaving itself.
func (l *Lots) Receive(_ context.Context, from string, body []byte) bool {
	var v handed
	if err := json.Unmarshal(body, &v); err != nil {
		l.log.Error("lot not received", "peer", from, "error", err)
		return false
	}
	h := newHeld(ledger.Take(v.Lot, l.daemon, uuid.NewString()), v.Input)
	h.from = v.Lot.Open.Token
	h.claimed = false
	h.pending = v.End
	h.restore(v.Progress)
	taken := l.hold(h)
	l.log.Info("lot received", "id", v.Lot.Lot.ID, "peer", from, "tokens", v.Progress.Tokens, "taken", taken)
	return taken
}
