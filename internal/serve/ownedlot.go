package serve

import (
	"context"
	"strings"
	"sync"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/ledger"
)

// ownedLot is a lot that this daemon runs.
type ownedLot struct {
	spec   ledger.Lot // the request; never changes
	input  []byte     // prompt or body; nil until it is loaded
	cancel context.CancelFunc
	done   chan struct{} // closed when all tasks of the lot have stopped

	recordLock    chan struct{}     // semaphore of size 1, held while a record is committed
	open          ledger.OpenLot    // guarded by recordLock
	previousToken string            // claim token of the stopped owner that handed the lot over; else empty
	claimed       bool              // the ownership row names this daemon
	result        *ledger.LotResult // set before it is recorded
	resolved      bool              // the result is recorded, or another daemon owns the lot

	mu        sync.Mutex
	text      strings.Builder
	tokenEnds []int         // offset in text at which each token ends
	finish    string        // finish reason; empty until the last token
	saved     int           // number of tokens of the last recorded progress
	closed    bool          // this daemon no longer runs the lot
	changed   chan struct{} // closed at the next change; nil if no goroutine waits
}

// newOwnedLot returns a lot whose ownership row names this daemon.
func newOwnedLot(lot ledger.OpenLot, input []byte) *ownedLot {
	return &ownedLot{spec: lot.Lot, open: lot, input: input, claimed: true, recordLock: make(chan struct{}, 1), done: make(chan struct{})}
}

// lock waits until no other goroutine commits a record of the lot.
func (o *ownedLot) lock() { o.recordLock <- struct{}{} }

func (o *ownedLot) unlock() { <-o.recordLock }

// restore sets the progress of earlier owners. It must be called before the lot is started.
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

// close marks the lot as no longer run by this daemon.
func (o *ownedLot) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.notify()
}

// notify wakes the goroutines that wait for a change. The caller holds mu.
func (o *ownedLot) notify() {
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}

// progress returns all tokens generated so far.
func (o *ownedLot) progress() progress {
	o.mu.Lock()
	defer o.mu.Unlock()
	// Sharing the slice is safe, since tokenEnds is only appended to.
	return progress{Tokens: len(o.tokenEnds), Text: o.text.String(), TokenEnds: o.tokenEnds[:len(o.tokenEnds):len(o.tokenEnds)], Finish: o.finish}
}

// savedProgress returns the tokens that are recorded and survive a crash of this daemon.
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

// changeAfter returns a channel that is closed at the next change. It returns nil if more
// than n tokens are saved already or if this daemon no longer runs the lot.
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
