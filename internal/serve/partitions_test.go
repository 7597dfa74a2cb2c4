package serve

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/ledger"
)

// TestEveryPartitionIsScannedInTime checks that a lapsed lease is seen within two rounds, whatever the
// order: of 304 partitions drawn by chance, as in 19 seconds, one run in 120 misses one.
func TestEveryPartitionIsScannedInTime(t *testing.T) {
	var cycle partitionCycle
	last := make(map[int]int)
	for i := range 100 * ledger.Partitions {
		n := cycle.next()
		assert.Assert(t, n >= 0 && n < ledger.Partitions)
		assert.Assert(t, i-last[n] < 2*ledger.Partitions, "partition %d was not drawn for %d", n, i-last[n])
		last[n] = i
	}
	assert.Equal(t, len(last), ledger.Partitions)
}
