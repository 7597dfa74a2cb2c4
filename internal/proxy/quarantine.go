package proxy

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
)

// trialTTL is how long after its permit a trial may be sent. A daemon that was suspended in
// between must not send it: others may have made a trial since.
const trialTTL = time.Second

// errQuarantined means that the request or a segment of its prompt was quarantined after the
// request had been admitted.
var errQuarantined = errors.New("request or a segment of its prompt is in quarantine")

// checkQuarantine returns the reply to a request that must not be sent because of its
// content or prompt. The status is not one that invites the caller to return: every daemon refuses the
// request.
func (t *task) checkQuarantine(ctx context.Context) *localReply {
	v := t.Quarantine.Check(t.subjects)
	if v == nil {
		return nil
	}
	if v.TrialDue && t.Quarantine.StartTrial(ctx, v.Subject) {
		t.trialAt = boottime.Now()
		return nil
	}
	return &localReply{status: fasthttp.StatusUnprocessableEntity, reason: quarantineReason(v)}
}

// mustNotTry reports whether the request must not be sent because of its content or prompt: it
// may have been quarantined since it was admitted, and a trial is sent at once and once.
func (t *task) mustNotTry() bool {
	if t.trialAt > 0 {
		return t.sends > 0 || boottime.Now()-t.trialAt > trialTTL
	}
	return t.Quarantine.Check(t.subjects) != nil
}

// quarantineReason describes a verdict for the log.
func quarantineReason(v *quarantine.Verdict) string {
	what := "prompt segment"
	if v.Request {
		what = "content"
	}
	return fmt.Sprintf("%s %x is in quarantine for %v, %d upstreams ended under it", what, v.ID, (boottime.Now() - v.Since).Round(time.Millisecond), v.Ended)
}
