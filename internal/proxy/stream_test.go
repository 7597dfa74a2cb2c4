package proxy

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/invariant"
)

// Makes a broken invariant panic in all tests of the package.
func init() { invariant.EnableStrict() }

// TestCompleteEventsLen checks that only complete events of a stream are relayed.
func TestCompleteEventsLen(t *testing.T) {
	for text, want := range map[string]int{
		"":                             0,
		"id: 1\ndata: a":               0,
		"id: 1\ndata: a\n":             0,
		"id: 1\ndata: a\n\n":           15,
		"id: 1\ndata: a\n\nid: 2\nda":  15,
		"id: 1\ndata: a\n\nid: 2\n\n":  22,
		": comment\n\nid: 3\ndata: \n": 11,
	} {
		assert.Equal(t, completeEventsLen([]byte(text)), want, "%q", text)
	}
}

// TestCheckEventIDs checks that event ids must increase. Events need not have an id, and
// only a line that begins with "id:" is one.
func TestCheckEventIDs(t *testing.T) {
	for _, tt := range []struct {
		events  string
		last    int64
		hasLast bool
		want    int64
		ok      bool
	}{
		{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 0, false, 2, true},
		{"id: 3\n\n", 2, true, 3, true},
		{"id: 5\n\n", 2, true, 5, true},
		{"id: 2\n\n", 2, true, 2, false},
		{"id: 4\n\nid: 3\n\n", 2, true, 4, false},
		{"id: x\n\n", 2, true, 2, false},
		{"data: no id\n\n", 2, true, 2, true},
		{"weights: 7\nid: 9\ndata: id: 1\n\n", 2, true, 9, true},
	} {
		last, _, err := checkEventIDs([]byte(tt.events), tt.last, tt.hasLast)
		assert.Equal(t, err == nil, tt.ok, "%q: %v", tt.events, err)
		assert.Equal(t, last, tt.want, "%q", tt.events)
	}
}

// FuzzCompleteEventsLen feeds a stream in pieces of any size. Only complete events may be
// relayed; they and the pending bytes must add up to the whole input, in order.
func FuzzCompleteEventsLen(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 7)
	f.Add([]byte("\n\n\n\nid: 1"), 3)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		size = 1 + max(size, 0)%64
		var relayed, pending []byte
		for rest := data; len(rest) > 0; {
			n := min(size, len(rest))
			pending = append(pending, rest[:n]...)
			rest = rest[n:]
			k := completeEventsLen(pending)
			relayed = append(relayed, pending[:k]...)
			pending = pending[k:]
		}
		assert.Assert(t, bytes.Equal(append(relayed, pending...), data))
		assert.Assert(t, len(relayed) == 0 || bytes.HasSuffix(relayed, eventEnd))
		assert.Equal(t, completeEventsLen(pending), 0)
	})
}

// FuzzCheckEventIDs checks that the last id never decreases, and that the same id is not
// accepted twice.
func FuzzCheckEventIDs(f *testing.F) {
	f.Add("id: 3\n\nid: 4\n\n", int64(2))
	f.Fuzz(func(t *testing.T, events string, last int64) {
		got, hasLast, err := checkEventIDs([]byte(events), last, true)
		assert.Assert(t, hasLast && got >= last)
		if err == nil && got > last {
			_, _, err = checkEventIDs([]byte(fmt.Sprintf("id: %d\n\n", got)), got, true)
			assert.Assert(t, err != nil, "the same id accepted twice")
		}
	})
}
