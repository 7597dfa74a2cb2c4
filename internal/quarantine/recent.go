package quarantine

import "time"

const (
	// recentSpan is how long a time is kept at least, unless there are more than
	// maxRecent.
	recentSpan = 5 * time.Second
	maxRecent  = 4096
)

// recent keeps the last values of many keys in bounded memory: in two maps, the older of
// which is dropped at intervals.
type recent[V any] struct {
	newer, older map[uint64]V
	rotatedAt    time.Duration
}

// recentTimes keeps times of whole responses, recentSurvivals those of responses that go on.
type (
	recentTimes     = recent[time.Duration]
	recentSurvivals struct{ recent[survival] }
)

func (r *recent[V]) add(key uint64, value V, now time.Duration) {
	if r.newer == nil {
		r.newer, r.rotatedAt = make(map[uint64]V), now
	}
	r.newer[key] = value
	if len(r.newer) >= maxRecent {
		r.shift(now)
	}
}

func (r *recent[V]) get(key uint64) (V, bool) {
	if v, ok := r.newer[key]; ok {
		return v, true
	}
	v, ok := r.older[key]
	return v, ok
}

// rotate drops values that are older than recentSpan.
func (r *recent[V]) rotate(now time.Duration) {
	if now-r.rotatedAt >= recentSpan {
		r.shift(now)
	}
}

func (r *recent[V]) shift(now time.Duration) {
	r.older, r.newer, r.rotatedAt = r.newer, make(map[uint64]V), now
}

// survival is how far a response had come that went on.
type survival struct {
	progress Progress
	at       time.Duration // boot time; 0 for none
}

// voids reports whether the response had come clearly further than the one under which an
// upstream ended.
func (v survival) voids(end End) bool {
	return v.at > 0 && end.At <= v.at+clearMargin && end.Progress.clearlyBefore(v.progress)
}

// merge returns the newer survival, with the progress of the other one if that is recent too.
func (v survival) merge(o survival) survival {
	if o.at < v.at {
		v, o = o, v
	}
	if v.at > 0 && o.at-v.at <= recentSpan && v.progress.Time > o.progress.Time {
		o.progress = v.progress
	}
	return o
}

// add merges a survival into that of the key, and returns the result.
func (r *recentSurvivals) add(key uint64, v survival) survival {
	if old, ok := r.get(key); ok {
		v = old.merge(v)
	}
	r.recent.add(key, v, v.at)
	return v
}
