package quarantine

import "time"

const (
	// recentSpan is how long a time is kept at least, unless there are more than
	// maxRecent.
	recentSpan = 5 * time.Second
	maxRecent  = 4096
)

// recentTimes keeps the last times of many keys in bounded memory: in two maps, the older of
// which is dropped at intervals.
type recentTimes struct {
	newer, older map[uint64]time.Duration
	rotatedAt    time.Duration
}

func (r *recentTimes) add(key uint64, now time.Duration) {
	if r.newer == nil {
		r.newer, r.rotatedAt = make(map[uint64]time.Duration), now
	}
	r.newer[key] = now
	if len(r.newer) >= maxRecent {
		r.shift(now)
	}
}

func (r *recentTimes) get(key uint64) (time.Duration, bool) {
	if at, ok := r.newer[key]; ok {
		return at, true
	}
	at, ok := r.older[key]
	return at, ok
}

// rotate drops times that are older than recentSpan.
func (r *recentTimes) rotate(now time.Duration) {
	if now-r.rotatedAt >= recentSpan {
		r.shift(now)
	}
}

func (r *recentTimes) shift(now time.Duration) {
	r.older, r.newer, r.rotatedAt = r.newer, make(map[uint64]time.Duration), now
}
