package node

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
)

// TestStoredLimitsAge checks that stored limits are as old as the upstreams' responses, and end.
func TestStoredLimitsAge(t *testing.T) {
	stored := []*meshpb.Limit{{Upstream: 1, Rate: 4, AgeMs: 1000}, {Upstream: 2, AgeMs: 1000}, {Upstream: 3, Rate: 4, AgeMs: uint32(limitsKnownFor.Milliseconds())}}
	list := agedLimits(stored, 5*time.Second)
	assert.Equal(t, len(list), 1)
	assert.Equal(t, list[0].AgeMs, uint32(6000))
	assert.Equal(t, len(agedLimits(stored, limitsKnownFor)), 0)
}

// TestEvidenceRowIsBounded checks the bytes of the row, that it keeps what it has room for in order, and that
// it is read as it was written.
func TestEvidenceRowIsBounded(t *testing.T) {
	for _, ends := range []int{1, 16} {
		var list []quarantine.Statement
		for i := range uint64(maxStoredSuspects) {
			s := quarantine.Statement{Subject: quarantine.Subject{Service: "a service with a name", ID: i << 40, Request: i%2 == 0}}
			for n := range ends {
				s.Ends = append(s.Ends, quarantine.EndAge{Upstream: i + uint64(n), SentAge: 9 * time.Minute, Age: 8 * time.Minute, Stage: quarantine.AfterEvent,
					Progress: quarantine.Progress{Time: 50 * time.Second, Events: 1000}, Silent: n%2 == 1, Doubtful: n%4 == 1})
			}
			list = append(list, s)
		}
		row, kept := encodeEvidence(list, time.Hour)
		for i := range uint64(maxStoredLimits) {
			row.Limits = append(row.Limits, &meshpb.Limit{Upstream: i << 40, Rate: 12.345, AgeMs: 600_000})
		}
		value, err := proto.Marshal(row)
		assert.NilError(t, err)
		assert.Assert(t, len(value) <= 48<<10, "%d bytes", len(value))
		assert.Assert(t, len(kept) >= 60 && len(kept) == len(row.Suspects), "%d kept", len(kept))
		assert.Equal(t, quarantine.Digest(mesh.DecodeSuspects(row.Suspects)), quarantine.Digest(kept))
		t.Logf("%d of %d subjects with %d ends in %d bytes", len(kept), len(list), ends, len(value))
	}
}
