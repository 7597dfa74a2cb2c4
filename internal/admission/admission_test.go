package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	target         = 300 * time.Millisecond
	callerPatience = 2500 * time.Millisecond // of callers
	prefillTime    = 10 * time.Millisecond   // of one request
)

func TestShortQueueIsAdmitted(t *testing.T) {
	assert.Assert(t, Decide(Request{LatencyTarget: target}).OK)
	assert.Assert(t, Decide(Request{LatencyTarget: target, Rank: 9}).OK)
	assert.Assert(t, Decide(Request{Wait: time.Hour}).OK, "no target, no limit")
}

func TestLowPriorityIsRejectedFirst(t *testing.T) {
	last := target
	for rank := range 6 {
		d := Decide(Request{LatencyTarget: target, Rank: rank})
		assert.Assert(t, d.Limit <= last && d.Limit > 0, "rank %d: %v after %v", rank, d.Limit, last)
		last = d.Limit
	}
	first, second := Decide(Request{LatencyTarget: target}), Decide(Request{LatencyTarget: target, Rank: 1})
	assert.Assert(t, second.Limit < first.Limit)
}

// TestRetryAfterFindsRoom checks that a caller who comes back as told finds the
// queue below the limit, if it drains meanwhile.
func TestRetryAfterFindsRoom(t *testing.T) {
	for _, wait := range []time.Duration{target, 2 * target, 9 * target} {
		d := Decide(Request{Wait: wait, LatencyTarget: target})
		assert.Assert(t, !d.OK && d.RetryAfter >= minRetry && wait-d.RetryAfter <= d.Limit, "%+v", d)
	}
}

// outcome counts requests of one urgency.
type outcome struct{ sent, onTime, late, rejected int }

// waiting is a request in a queue.
type waiting struct {
	arrived time.Duration
	rank    int
}

// replay plays an excess of requests on one engine that reads in the order of arrival,
// for ten seconds. Every third request is urgent; callers leave when their patience ends.
func replay(excess float64, decide func(Request) Decision) [2]outcome {
	rnd := rand.New(rand.NewPCG(1, 2))
	var queue []waiting
	var out [2]outcome
	freeAt := time.Duration(0) // when the engine has read what it reads now
	for now := time.Duration(0); now < 10*time.Second; now += time.Duration(rnd.ExpFloat64() * float64(prefillTime) / excess) {
		for freeAt <= now && len(queue) > 0 {
			w := queue[0]
			queue = queue[1:]
			freeAt = max(freeAt, w.arrived)
			if freeAt-w.arrived > callerPatience {
				continue
			}
			freeAt += prefillTime
			if freeAt-w.arrived <= target {
				out[w.rank].onTime++
			} else {
				out[w.rank].late++
			}
		}
		rank := min(rnd.IntN(3), 1)
		out[rank].sent++
		if decide(Request{Wait: time.Duration(len(queue)) * prefillTime, LatencyTarget: target, Rank: rank}).OK {
			queue = append(queue, waiting{now, rank})
		} else {
			out[rank].rejected++
		}
	}
	return out
}

// TestBoundedQueueServesOnTime replays half as much again, and twice, as an engine can
// read, and compares with a queue that all may join.
func TestBoundedQueueServesOnTime(t *testing.T) {
	admitAll := func(Request) Decision { return Decision{OK: true} }
	for _, excess := range []float64{1.5, 2} {
		before, after := replay(excess, admitAll), replay(excess, Decide)
		served := func(o [2]outcome) float64 { return float64(o[0].onTime+o[1].onTime) / float64(o[0].sent+o[1].sent) }
		assert.Assert(t, served(after) > 0.85/excess, "%.2f of %.2f that an engine can read in time", served(after), 1/excess)
		assert.Assert(t, served(after) > served(before)+0.2, "%.2f, and %.2f without a limit", served(after), served(before))
		urgent := float64(after[0].onTime) / float64(after[0].sent)
		assert.Assert(t, urgent > 0.9, "%.2f of the urgent ones", urgent)
	}
}

// TestNormalLoadIsNeverRejected replays four fifths of what an engine can read.
func TestNormalLoadIsNeverRejected(t *testing.T) {
	out := replay(0.8, Decide)
	assert.Equal(t, out[0].rejected+out[1].rejected, 0)
}
