package serve

import (
	"context"
	"strings"
	"sync"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
)

// ownedLot is a lot that this daemon works at.
type ownedLot struct {
	spec   ledger.Lot // what was asked; never changes
	input  []byte     // nil until it is read
	cancel context.CancelFunc
	done   chan struct{} // closed when no task works at the lot any more

	recordLock    chan struct{}     // holds one element while a record is committed
	open          ledger.OpenLot    // changes while a record is committed
	previousToken string            // token of the owner that handed the lot over and has stopped; empty for none
	claimed       bool              // the row says that this daemon owns the lot
	result        *ledger.LotResult // reached, and not yet recorded
	resolved      bool              // recorded as ended, or lost to another daemon

	mu        sync.Mutex
	text      strings.Builder
	tokenEnds []int // offset in the text of the end of each token
	finish    string
	saved     int           // tokens that the row tells of
	closed    bool          // the end is recorded, or the lot is no longer this daemon's
	changed   chan struct{} // closed at the next change; nil while nobody waits
}

// newOwnedLot returns a lot whose row says already that this daemon owns it.
func newOwnedLot(lot ledger.OpenLot, input []byte) *ownedLot {
	return &ownedLot{spec: lot.Lot, open: lot, input: input, claimed: true, recordLock: make(chan struct{}, 1), done: make(chan struct{})}
}

// lock waits until no other record of the lot is being committed.
func (o *ownedLot) lock() { o.recordLock <- struct{}{} }

func (o *ownedLot) unlock() { <-o.recordLock }

// restore sets what earlier owners have kept, once, before the lot is begun.
func (o *ownedLot) restore(p progress) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text.WriteString(p.Text)
	o.tokenEnds = append([]int(nil), p.TokenEnds...)
	o.finish, o.saved = p.Finish, p.Tokens
}

// Token implements call.Sink.
func (o *ownedLot) Token(t call.Token) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.text.WriteString(t.Text)
	o.tokenEnds = append(o.tokenEnds, o.text.Len())
	o.finish = t.Finish
	o.notify()
	return nil
}

// close marks that nothing more will come from this daemon.
func (o *ownedLot) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.notify()
}

// notify tells those who wait. The caller holds the lock.
func (o *ownedLot) notify() {
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}

// progress returns what the lot has brought so far.
func (o *ownedLot) progress() progress {
	o.mu.Lock()
	defer o.mu.Unlock()
	// Ends are only appended to, so that the prefix may be shared.
	return progress{Tokens: len(o.tokenEnds), Text: o.text.String(), TokenEnds: o.tokenEnds[:len(o.tokenEnds):len(o.tokenEnds)], Finish: o.finish}
}

// savedProgress returns the part of progress that survives this daemon.
func (o *ownedLot) savedProgress() progress {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := progress{Tokens: o.saved, TokenEnds: o.tokenEnds[:o.saved:o.saved]}
	if o.saved > 0 {
		p.Text = o.text.String()[:o.tokenEnds[o.saved-1]]
	}
	return p
}

func (o *ownedLot) setSaved(tokens int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.saved = max(o.saved, tokens)
	o.notify()
}

// changeAfter returns a channel that is closed at the next change, or nil if more
// than n tokens are kept already or no more will come.
func (o *ownedLot) changeAfter(n int) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.saved > n || o.closed {
		return nil
	}
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.changed
}

func (o *ownedLot) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}
