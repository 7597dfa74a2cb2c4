package throttle

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

var up = roster.Key{ID: "i-1", Incarnation: 7}

// TestOvertakenResponseDoesNotEndLimit checks that a limit is not ended by a response
// without one to a request that was sent before the limit was known: it may have been
// overtaken.
func TestOvertakenResponseDoesNotEndLimit(t *testing.T) {
	l := NewLimits()
	assert.Assert(t, l.Named(up, 3.5, time.Second))
	assert.Assert(t, !l.Named(up, 3.5, 2*time.Second), "the same rate again")
	assert.Assert(t, !l.NotNamed(up, 1500*time.Millisecond, 3*time.Second))
	rate, limited := l.Rate(Hash(up))
	assert.Assert(t, limited && rate == 3.5)
	assert.Assert(t, l.NotNamed(up, 2100*time.Millisecond, 3*time.Second))
	_, limited = l.Rate(Hash(up))
	assert.Assert(t, !limited)
	assert.Assert(t, !l.NotNamed(up, 4*time.Second, 5*time.Second), "ended already")
}

// TestLimitBelongsToOneIncarnation checks that an upstream which starts again is not
// bound by its earlier limit.
func TestLimitBelongsToOneIncarnation(t *testing.T) {
	l := NewLimits()
	l.Named(up, 1, time.Second)
	_, limited := l.Rate(Hash(roster.Key{ID: up.ID, Incarnation: 8}))
	assert.Assert(t, !limited)
}

// TestLimitsAreDroppedWithTheirUpstream checks that the limit of an upstream in the roster is kept however old it is:
// without it all daemons would send there at once.
func TestLimitsAreDroppedWithTheirUpstream(t *testing.T) {
	l := NewLimits()
	gone, ended := roster.Key{ID: "i-2"}, roster.Key{ID: "i-3"}
	l.Named(up, 1, time.Second)
	l.Named(gone, 1, time.Second)
	l.Named(ended, 1, time.Second)
	l.NotNamed(ended, 2*time.Second, 2*time.Second)
	r := roster.New([]*roster.Upstream{{ID: up.ID, Incarnation: up.Incarnation}, {ID: ended.ID}})
	l.Update(r, 20*time.Second)
	assert.Equal(t, len(l.All()), 3)
	l.Update(r, time.Hour)
	assert.Equal(t, len(l.All()), 1)
	_, limited := l.Rate(Hash(up))
	assert.Assert(t, limited)
}

// TestLimitOutlivesEntry guards against a limit that is forgotten when the upstream's entry is
// away for minutes: all daemons would send there without a limit once it is back.
func TestLimitOutlivesEntry(t *testing.T) {
	l := NewLimits()
	l.Named(up, 2, time.Second)
	for at := 10 * time.Second; at <= 5*time.Minute; at += 10 * time.Second {
		l.Update(roster.New(nil), at)
	}
	l.Update(roster.New([]*roster.Upstream{{ID: up.ID, Incarnation: up.Incarnation}}), 5*time.Minute)
	rate, limited := l.Rate(Hash(up))
	assert.Assert(t, limited && rate == 2)
	l.Update(roster.New(nil), 2*absentRetention)
	assert.Equal(t, len(l.All()), 0, "it does not return")
}

// TestMergeOrdersStatements checks what a statement from another daemon replaces. The end
// of a limit must be newer by more than the time that a message may take.
func TestMergeOrdersStatements(t *testing.T) {
	const now = time.Minute
	r := roster.New([]*roster.Upstream{{ID: up.ID, Incarnation: up.Incarnation}})
	for name, tt := range map[string]struct {
		known     float64 // rate; below 0 for none
		knownAge  time.Duration
		told      Statement
		wantRate  float64
		wantNews  int
		wantKnown bool
	}{
		"first limit":             {-1, 0, Statement{Rate: 2, Age: time.Hour}, 2, 1, true},
		"end of an unknown limit": {-1, 0, Statement{Rate: 0, Age: time.Second}, 0, 0, false},
		"newer rate":              {4, 2 * time.Second, Statement{Rate: 2, Age: time.Second}, 2, 1, true},
		"older rate":              {4, time.Second, Statement{Rate: 2, Age: 2 * time.Second}, 4, 0, true},
		"same rate":               {4, 2 * time.Second, Statement{Rate: 4, Age: time.Second}, 4, 0, true},
		"newer end":               {4, 3 * time.Second, Statement{Rate: 0, Age: time.Second}, 0, 1, true},
		"end that may be older":   {4, 1500 * time.Millisecond, Statement{Rate: 0, Age: time.Second}, 4, 0, true},
		"limit after the end":     {0, 2 * time.Second, Statement{Rate: 4, Age: time.Second}, 4, 1, true},
		"limit before the end":    {0, time.Second, Statement{Rate: 4, Age: 2 * time.Second}, 0, 0, true},
		"not a number":            {4, 2 * time.Second, Statement{Rate: math.NaN(), Age: time.Second}, minRate, 1, true},
		"rate below 0":            {4, 2 * time.Second, Statement{Rate: -3, Age: time.Second}, minRate, 1, true},
		"age below 0":             {4, time.Second, Statement{Rate: 2, Age: -time.Second}, 4, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLimits()
			if tt.known >= 0 {
				l.Named(up, max(tt.known, 1), now-tt.knownAge-time.Millisecond)
				l.Named(up, tt.known, now-tt.knownAge)
			}
			if tt.known == 0 {
				l.NotNamed(up, now, now-tt.knownAge)
			}
			tt.told.Hash = Hash(up)
			changed := l.Merge([]Statement{tt.told}, r, now)
			rate, _ := l.Rate(Hash(up))
			assert.Equal(t, rate, tt.wantRate)
			assert.Equal(t, len(changed), tt.wantNews)
			assert.Equal(t, len(l.All()) > 0, tt.wantKnown)
			for _, c := range changed {
				assert.Equal(t, c.Upstream, up)
			}
		})
	}
}

// TestStatementsDoNotGetNewerOnTheWay passes one statement to and fro with the time that
// messages take. It must not outlive the end of the limit.
func TestStatementsDoNotGetNewerOnTheWay(t *testing.T) {
	a, b := NewLimits(), NewLimits()
	now, transit := time.Minute, 20*time.Millisecond
	a.Named(up, 4, now)
	for range 1000 {
		sent := a.Statements(true, now)
		now += transit
		b.Merge(sent, nil, now)
		sent = b.Statements(true, now)
		now += transit
		a.Merge(sent, nil, now)
	}
	assert.Assert(t, a.All()[0].At <= time.Minute+refreshAfter, "%v", a.All()[0].At)
}

// TestStatementsAreResentInTurn checks that a changed limit is in each message for some
// time, and that messages of a deployment where all upstreams are limited stay small and
// still carry each limit every few seconds.
func TestStatementsAreResentInTurn(t *testing.T) {
	const upstreams = 800
	l, now := NewLimits(), time.Hour
	for i := range upstreams {
		l.Named(roster.Key{ID: fmt.Sprint("i-", i)}, 3, now)
	}
	assert.Equal(t, len(l.Statements(false, now+newsTime)), upstreams)
	now += 10 * time.Second
	l.Named(up, 3, now)
	seen := make(map[uint64]int)
	for range resendTurns {
		list := l.Statements(false, now)
		assert.Assert(t, len(list) < 2*upstreams/resendTurns, "%d statements", len(list))
		for _, s := range list {
			seen[s.Hash]++
		}
		now += resendTurn
	}
	assert.Equal(t, len(seen), upstreams+1)
	assert.Equal(t, seen[Hash(up)], 7, "the news for 3 s, at 7 moments")
	assert.Equal(t, len(l.Statements(true, now)), upstreams+1)
}
