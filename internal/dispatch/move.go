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
	moveReserve   = time.Second     // before the VM's end, reserved for moving
	defaultNotice = 2 * time.Second // assumed time until the end of a VM if it is unknown
	kvTimeout     = 500 * time.Millisecond
	minKVTokens   = 64     // below this, computing them again is cheaper than an export and an import
	contextScale  = 1024.0 // context tokens that halve the time within which a move begins
)

// errMoved ends an attempt whose upstream is leaving before the response is
// complete.
var errMoved = errors.New("stream moved off a leaving upstream")

// LeavingNotices reports which upstreams are leaving. Its methods may be called
// from any goroutine.
type LeavingNotices interface {
	// Leaving returns a channel that is closed while the upstream is leaving.
	Leaving(upstream string) <-chan struct{}
	// Deadline returns when the VM of a leaving upstream ends, zero if that is
	// unknown, and false if the upstream is not leaving.
	Deadline(upstream string) (time.Time, bool)
}

// SetLeavingNotices makes streams move to other upstreams when theirs is leaving.
// It must be called before the first call.
func (d *Dispatcher) SetLeavingNotices(n LeavingNotices) { d.notices = n }

// mover decides when the stream of one attempt moves off its upstream. It is not
// safe for concurrent use.
type mover struct {
	notices      LeavingNotices // nil if streams never move
	call         *call.Call
	peer         string // name of the upstream
	leaving      <-chan struct{}
	firstTokenAt time.Time // when the first token of the attempt arrived
	firstIndex   int       // index of that token
	planned      bool      // moveAt is final
	moveAt       time.Time // zero if the stream ends before the VM does
}

func (d *Dispatcher) newMover(c *call.Call, u *manifest.Upstream, next int) *mover {
	m := &mover{notices: d.notices, call: c, peer: u.Name, firstIndex: next}
	if m.notices != nil {
		m.leaving = m.notices.Leaving(u.Name)
	}
	return m
}

// due reports whether the stream must move before the token with index next.
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

// plan chooses a random time for the move before the VM's end. Streams with a
// large context tend to move first, so that little must be computed again if time
// runs out.
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

// remaining estimates the time until the last token from the token rate of the
// attempt so far, or from the service's target.
func (m *mover) remaining(now time.Time, next int) time.Duration {
	perToken := time.Duration(m.call.Service.Target.BetweenTokensMS) * time.Millisecond
	if received := next - m.firstIndex; received > 1 {
		perToken = now.Sub(m.firstTokenAt) / time.Duration(received-1)
	}
	return time.Duration(m.call.MaxTokens-next) * perToken
}

// kvExport is a KV cache that another upstream may import.
type kvExport struct {
	From   string `json:"from"` // address of the exporting upstream
	Handle string `json:"handle"`
}

type kvExportRequest struct {
	RequestID string `json:"request_id"`
}

type kvResponse struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// export asks the upstream to make the KV cache of the call available to others.
// It returns nil if that fails or the cache has fewer than minKVTokens.
func (d *Dispatcher) export(ctx context.Context, s *attempts, u *manifest.Upstream) *kvExport {
	var resp kvResponse
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	err := postJSON(ctx, d.pool, u.Address, pathExport, kvExportRequest{RequestID: s.call.ID}, &resp)
	detail := "exported"
	if err != nil {
		detail = err.Error()
	}
	s.call.Trace.Add(trace.Step{At: time.Now(), Name: "move", Peer: u.Name, Attempt: s.number, Detail: detail})
	d.stats.moved.Add(1)
	if err != nil || resp.Tokens < minKVTokens {
		return nil
	}
	return &kvExport{From: u.Address, Handle: resp.Handle}
}

// importKV asks the upstream to import the KV cache of the last attempt, if that
// was exported. After a failure, the upstream computes the tokens again.
func (d *Dispatcher) importKV(ctx context.Context, s *attempts, u *manifest.Upstream) {
	kv := s.kv
	s.kv = nil
	if kv == nil || kv.From == u.Address {
		return
	}
	var resp kvResponse
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	if err := postJSON(ctx, d.pool, u.Address, pathImport, kv, &resp); err != nil {
		s.call.Trace.Add(trace.Step{At: time.Now(), Name: "import-failed", Peer: u.Name, Detail: err.Error()})
		return
	}
	d.stats.imported.Add(int64(resp.Tokens))
}
