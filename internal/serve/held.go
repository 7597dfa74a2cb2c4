package serve

import (
	"context"
	"strings"
	"sync"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
)

// held is a lot that this daemon works at.
type held struct {
	spec    ledger.Lot // what was asked; never changes
	input   []byte     // nil until it is read
	cancel  context.CancelFunc
	stopped chan struct{} // closed when no task works at the lot any more

	recording chan struct{} // holds one element while a record is committed
	lot       ledger.Hold   // changes while a record is committed
	from      string        // token of the owner that handed the lot over and has stopped; empty for none
	claimed   bool          // the row says that this daemon owns the lot
	pending   *ledger.End   // reached, and not yet recorded
	settled   bool          // recorded as ended, or lost to another daemon

	mu      sync.Mutex
	text    strings.Builder
	ends    []int // offset in the text of the end of each token
	finish  string
	kept    int           // tokens that the row tells of
	ended   bool          // the end is recorded, or the lot is no longer this daemon's
	changed chan struct{} // closed at the next change; nil while nobody waits
}

// newHeld returns a lot whose row says already that this daemon owns it.
func newHeld(lot ledger.Hold, input []byte) *held {
	return &held{spec: lot.Lot, lot: lot, input: input, claimed: true, recording: make(chan struct{}, 1), stopped: make(chan struct{})}
}

// lock waits until no other record of the lot is being committed.
func (h *held) lock() { h.recording <- struct{}{} }

func (h *held) unlock() { <-h.recording }

// restore sets what earlier owners have kept, once, before the lot is begun.
func (h *held) restore(p progress) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.text.WriteString(p.Text)
	h.ends = append([]int(nil), p.Ends...)
	h.finish, h.kept = p.Finish, p.Tokens
}

// Token implements call.Sink.
func (h *held) Token(t call.Token) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.text.WriteString(t.Text)
	h.ends = append(h.ends, h.text.Len())
	h.finish = t.Finish
	h.wake()
	return nil
}

// end marks that nothing more will come from this daemon.
func (h *held) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	h.wake()
}

// wake tells those who wait. The caller holds the lock.
func (h *held) wake() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// progress returns what the lot has brought so far.
func (h *held) progress() progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Ends are only appended to, so that the prefix may be shared.
	return progress{Tokens: len(h.ends), Text: h.text.String(), Ends: h.ends[:len(h.ends):len(h.ends)], Finish: h.finish}
}

// keptProgress returns the part of progress that survives this daemon.
func (h *held) keptProgress() progress {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := progress{Tokens: h.kept, Ends: h.ends[:h.kept:h.kept]}
	if h.kept > 0 {
		p.Text = h.text.String()[:h.ends[h.kept-1]]
	}
	return p
}

func (h *held) setKept(tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kept = max(h.kept, tokens)
	h.wake()
}

// waitBeyond returns a channel that is closed at the next change, or nil if more
// than n tokens are kept already or no more will come.
func (h *held) waitBeyond(n int) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.kept > n || h.ended {
		return nil
	}
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

func (h *held) isEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}
