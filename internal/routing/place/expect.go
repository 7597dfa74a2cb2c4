package place

import (
	"cmp"
	"math"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/ablation"
)

// expectedMS returns the milliseconds to the first event or to the complete response.
// serviceMS is the average duration of a plain request to the service. slowdown is expected
// for the time of the request.
func (s *upstreamState) expectedMS(load Load, prefill int, q Query, serviceMS float64, model *latencyModel, slowdown float64) float64 {
	wait := s.queueMS(load, q, serviceMS, model, slowdown)
	if q.plain() {
		return wait + s.plainTimeMS(serviceMS, slowdown)
	}
	return model.baseMS() + wait + (float64(prefill)*model.msPerToken()+runningCostMS*float64(load.Running))*slowdown
}

// plainTimeMS returns the milliseconds that a plain request takes, without a wait. The part of
// the slowdown that was measured is contained in the average.
func (s *upstreamState) plainTimeMS(serviceMS, slowdown float64) float64 {
	return cmp.Or(s.plainMS, serviceMS, defaultPlainMS) * (slowdown / s.slowdown)
}

// queueMS returns the milliseconds until the upstream starts on the request.
func (s *upstreamState) queueMS(load Load, q Query, serviceMS float64, model *latencyModel, slowdown float64) float64 {
	if q.plain() {
		turns := math.Max(float64(load.Running+1)/float64(max(s.upstream.Slots, 1)), 1)
		return s.plainTimeMS(serviceMS, slowdown) * (turns - 1)
	}
	return float64(load.Backlog) * model.msPerToken() * slowdown
}

// plain reports whether the request has no prompt.
func (q Query) plain() bool { return len(q.Prompt) == 0 && q.PromptTokens == 0 }

// penaltyMS returns the surcharge in milliseconds for another zone, a full upstream,
// failures and silence.
func (s *upstreamState) penaltyMS(load Load, now time.Duration, zone string) float64 {
	sum := 0.0
	if s.upstream.Zone != zone && !ablation.Disabled(ablation.ZonePreference) {
		sum += crossZonePenaltyMS
	}
	if !ablation.Disabled(ablation.SlotPenalty) {
		if float64(load.Running) >= nearFullFraction*float64(s.upstream.Slots) {
			sum += fullPenaltyMS
		}
		if now < s.fullUntil {
			sum += fullPenaltyMS
		}
	}
	if !ablation.Disabled(ablation.FailurePenalty) {
		sum += failurePenaltyMS * s.failureRate(now)
	}
	if s.silent(now) {
		sum += silentPenaltyMS
	}
	return sum
}
