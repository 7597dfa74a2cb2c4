package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/call"
	"github.com/lagoonmux/lagoonmux/internal/completion"
	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/trace"
)

const (
	pathExport    = "/kv/export"
	pathImport    = "/kv/import"
	moveReserve   = time.Second     // before the end of the VM
	defaultNotice = 2 * time.Second // of a VM whose end is not known
	kvTimeout     = 500 * time.Millisecond
	minKVTokens   = 64 // below which computing them again is cheaper than two calls
	contextScale  = 1024.0
)

// errMoved ends an attempt whose upstream leaves before the answer is whole.
var errMoved = errors.New("moved off a leaving upstream")

// LeavingNotices tells which upstreams leave. Its methods may be called from any
// goroutine.
type LeavingNotices interface {
	// Leaving returns a channel that is closed while the upstream is leaving.
	Leaving(upstream string) <-chan struct{}
	// Deadline returns when a leaving upstream ends, zero if that is unknown,
	// and false if it is not leaving.
	Deadline(upstream string) (time.Time, bool)
}

// SetLeavingNotices makes streams move off upstreams that leave. It must be called before
// the first call.
func (d *Dispatcher) SetLeavingNotices(n LeavingNotices) { d.notices = n }

// mover decides when the stream of one attempt moves off its upstream. It
// belongs to one goroutine.
type mover struct {
	notices      LeavingNotices // nil for a stream that never moves
	call         *call.Call
	peer         string // upstream
	leaving      <-chan struct{}
	firstTokenAt time.Time // first token of the attempt
	firstIndex   int       // index of that token
	planned      bool
	moveAt       time.Time // zero for a stream that ends in time
}

func (d *Dispatcher) newMover(c *call.Call, u *manifest.Upstream, next int) *mover {
	m := &mover{notices: d.notices, call: c, peer: u.Name, firstIndex: next}
	if m.notices != nil {
		m.leaving = m.notices.Leaving(u.Name)
	}
	return m
}

// due tells whether the stream must move before the token with index next.
func (m *mover) due(now time.Time, next int) bool {
	if !m.planned {
		select {
		case <-m.leaving:
		default:
			return false
		}
		m.plan(now, next)
	}
	return !m.moveAt.IsZero() && !now.Before(m.moveAt)
}

// plan chooses the time of the move within the notice. Streams with a large
// context move first, so that the least is computed again if time runs out.
func (m *mover) plan(now time.Time, next int) {
	end, ok := m.notices.Deadline(m.peer)
	if !ok {
		return
	}
	m.planned = true
	if end.IsZero() {
		end = now.Add(defaultNotice)
	}
	available := end.Add(-moveReserve).Sub(now)
	if m.remaining(now, next) < available {
		return
	}
	contextTokens := completion.CountTokens(m.call.Prompt) + next
	fraction := rand.Float64() / (1 + float64(contextTokens)/contextScale)
	m.moveAt = now.Add(time.Duration(float64(max(available, 0)) * fraction))
}

// remaining estimates the time until the last token by the pace of the attempt so
// far, or by the service's target.
func (m *mover) remaining(now time.Time, next int) time.Duration {
	perToken := time.Duration(m.call.Service.Target.BetweenTokensMS) * time.Millisecond
	if received := next - m.firstIndex; received > 1 {
		perToken = now.Sub(m.firstTokenAt) / time.Duration(received-1)
	}
	return time.Duration(m.call.MaxTokens-next) * perToken
}

// kvExport is a KV cache that another upstream may import.
type kvExport struct {
	From   string `json:"from"` // address
	Handle string `json:"handle"`
}

type kvExportRequest struct {
	RequestID string `json:"request_id"`
}

type kvResponse struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// export asks the upstream to make the KV cache of the call available. It
// returns nil where that is not possible or not worth it.
func (d *Dispatcher) export(ctx context.Context, s *attempts, u *manifest.Upstream) *kvExport {
	var reply kvResponse
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	err := postJSON(ctx, d.pool, u.Address, pathExport, kvExportRequest{RequestID: s.call.ID}, &reply)
	detail := "exported"
	if err != nil {
		detail = err.Error()
	}
	s.call.Trace.Add(trace.Step{At: time.Now(), Name: "move", Peer: u.Name, Attempt: s.number, Detail: detail})
	d.stats.moved.Add(1)
	if err != nil || reply.Tokens < minKVTokens {
		return nil
	}
	return &kvExport{From: u.Address, Handle: reply.Handle}
}

// importKV gives the upstream a KV cache that another exported. A failure only
// means that the upstream computes the tokens again.
func (d *Dispatcher) importKV(ctx context.Context, s *attempts, u *manifest.Upstream) {
	kv := s.kv
	s.kv = nil
	if kv == nil || kv.From == u.Address {
		return
	}
	var reply kvResponse
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	if err := postJSON(ctx, d.pool, u.Address, pathImport, kv, &reply); err != nil {
		s.call.Trace.Add(trace.Step{At: time.Now(), Name: "import-failed", Peer: u.Name, Detail: err.Error()})
		return
	}
	d.stats.imported.Add(int64(reply.Tokens))
}
