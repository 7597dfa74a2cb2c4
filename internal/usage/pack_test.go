package usage

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// randomTallies returns one tally for each daemon, with two windows. Each window counts
// the given number of requests, whose customers are drawn with a fixed seed.
func randomTallies(daemons, customers, requests int) []Tally {
	rnd := rand.New(rand.NewPCG(1, 2))
	var list []Tally
	for d := range daemons {
		t := Tally{Name: fmt.Sprintf("front-zone-%c-%d", 'a'+d%5, d), Incarnation: rnd.Int64N(1e18)}
		for number := range int64(2) {
			w := Window{Number: 353445120 + number, Counts: make(map[string]int64)}
			for range requests {
				w.Counts[fmt.Sprintf("customer%03d", min(rnd.IntN(customers), rnd.IntN(customers)))]++
			}
			t.Windows = append(t.Windows, w)
		}
		list = append(list, t)
	}
	return list
}

func TestPackRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 6, 300} {
		list := randomTallies(n, 40, 25)
		data, err := Pack(list)
		assert.NilError(t, err)
		got, err := Unpack(data)
		assert.NilError(t, err)
		assert.Equal(t, len(got), n)
		for i := range got {
			assert.DeepEqual(t, got[i], list[i])
		}
	}
}

// TestPackedTalliesOf295DaemonsFitInARow packs the tallies of 295 daemons, each with 40
// customers and 5 requests per second. Their base64 must fit in half of a row of 64 KB.
func TestPackedTalliesOf295DaemonsFitInARow(t *testing.T) {
	data, err := Pack(randomTallies(295, 40, 25))
	assert.NilError(t, err)
	t.Logf("%d bytes", len(data))
	assert.Assert(t, len(data)*4/3 <= 32<<10)
}

// FuzzUnpack checks that Unpack does not panic on any input.
func FuzzUnpack(f *testing.F) {
	data, _ := Pack(randomTallies(2, 3, 4))
	f.Add(data)
	f.Add([]byte("nonsense"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Unpack(data) })
}

func TestDecodeWindowsRejectsMalformedCounts(t *testing.T) {
	p := packed{Customers: []string{"a"}}
	for _, nums := range [][]int64{{1}, {1, 2, 0, 5}, {1, 1, 7, 5}, {1, -1}, {1, 1, -1, 5}, {1, 1 << 62, 0, 1}} {
		_, err := p.decodeWindows(nums)
		assert.Assert(t, err != nil, "%v", nums)
	}
}
