package proxy

import (
	"context"
	"encoding/binary"
	"io"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/egress"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
	"github.com/lagoonmux/lagoonmux/internal/roster"
	"github.com/lagoonmux/lagoonmux/internal/routing/place"
)

// BrokenAnswer describes a request whose connection the upstream ended before the response
// was complete.
type BrokenAnswer struct {
	Request  *Request
	Content  uint64               // see Request.Content
	Subjects []quarantine.Subject // of the request
	Service  string
	Upstream *roster.Upstream
	Stage    quarantine.Stage
	SentAt   time.Duration // boot time
	// Suspended is set if this VM was suspended since then. The connection may then have
	// ended at any time.
	Suspended bool
	Progress  quarantine.Progress
	Err       error // how the connection ended
}

// maxClockGap is how much the boot clock may run ahead of the monotonic clock, which stops
// while the VM is suspended.
const maxClockGap = 500 * time.Millisecond

// maxListedSegments bounds the segments in one log line.
const maxListedSegments = 16

// SharedPrompt returns the segments of the prompt that other requests may have too: all but
// the last one.
func (r *Request) SharedPrompt() []place.Segment {
	if len(r.Prompt) == 0 {
		return nil
	}
	return r.Prompt[:len(r.Prompt)-1]
}

// Content returns a hash of what identifies a request that a caller sends again: host, path,
// method, caller and body, or the prompt of a request without a body.
func (r *Request) Content(customer string) uint64 {
	h := xxhash.New()
	for _, part := range []string{r.Host, r.Path, r.Method, customer} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	if len(r.Body) == 0 {
		for _, s := range r.Prompt {
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, s.ID))
		}
	}
	return h.Sum64()
}

// FormatSegments lists the IDs of segments in hexadecimal, separated by commas, for logs.
func FormatSegments(segments []place.Segment) string {
	var b strings.Builder
	for i, s := range segments {
		if i == maxListedSegments {
			return b.String() + ",..."
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.FormatUint(s.ID, 16))
	}
	return b.String()
}

// connectionEnded reports whether err means that the peer closed or reset the connection.
func connectionEnded(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// reportBroken notifies the observer if the response was malformed, or if the upstream ended
// the connection before it was complete.
func (a *attempt) reportBroken(ctx context.Context, res result, err error) {
	if res != lost && res != broken || ctx.Err() != nil {
		return
	}
	if malformed := (*egress.MalformedError)(nil); errors.As(err, &malformed) {
		a.Observer.AnswerMalformed(a.req.ID, a.service.Name, a.choice.Upstream, malformed)
		return
	}
	if !connectionEnded(err) {
		return
	}
	b := BrokenAnswer{Request: a.req, Content: a.record.Content, Subjects: a.subjects, Service: a.service.Name, Upstream: a.choice.Upstream, SentAt: a.sentAt,
		Progress: a.progress(boottime.Now()), Err: err}
	b.Suspended = boottime.Now()-a.sentAt > time.Since(a.startTime)+maxClockGap
	switch {
	case a.responded:
		b.Stage = quarantine.AfterEvent
	case a.headArrived:
		b.Stage = quarantine.BeforeEvent
	}
	a.Observer.AnswerBroken(b)
	if !a.Quarantine.Broken(ctx, b) {
		a.endedOne = true
	}
}
