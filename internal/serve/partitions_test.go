package serve

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/ledger"
)

// TestEveryPartitionIsScannedInTime checks that a partition is scanned again within two
// cycles, so that an expired lease is noticed in time. With independent random choices,
// one run in 120 missed a partition among 304 choices, the scans of 19 seconds.
func TestEveryPartitionIsScannedInTime(t *testing.T) {
	var cycle partitionCycle
	last := make(map[int]int)
	for i := range 100 * ledger.Partitions {
		n := cycle.next()
		assert.Assert(t, n >= 0 && n < ledger.Partitions)
		assert.Assert(t, i-last[n] < 2*ledger.Partitions, "partition %d was not returned for %d calls", n, i-last[n])
		last[n] = i
	}
	assert.Equal(t, len(last), ledger.Partitions)
}
