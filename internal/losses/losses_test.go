package losses

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/logline"
)

const sampleReport = `{"G": 0.5, "parts": [["whole day", 0.5, 0.9], ["worst windows", 0.35, 0.5], ["worst class", 0.15, 0.8]],
"prices": [["seconds of servers ordered", 1000.5, 0.2], ["probes", 0.0, 0.0], ["calls", 20, 0.045]],
"classes": [{"name": "long", "n": 100, "in_aim": 80, "late": 10, "refused": 5, "failed": 5, "not_owed": 0, "worth": 0.85},
 {"name": "short", "n": 50, "in_aim": 40, "late": 0, "refused": 0, "failed": 0, "not_owed": 10, "worth": 1}],
"windows": [{"name": "0", "n": 9, "in_aim": 9, "worth": 1}, {"name": "2", "n": 9, "in_aim": 3, "late": 2, "failed": 4, "worth": 0.4},
 {"name": "4", "n": 9, "in_aim": 5, "refused": 4, "worth": 0.6}],
"events": [{"at_s": 3.5, "to_s": 5, "kind": "reclaim", "what": "z"}],
"unserved_by": [["502", 3, ["x"]]]}`

// TestBreakdownAddsUp checks that the losses add up to 1 minus the score and that late responses
// are weighted by the credit that they still earn.
func TestBreakdownAddsUp(t *testing.T) {
	r, err := ReadReport(strings.NewReader(sampleReport))
	assert.NilError(t, err)
	losses := r.Breakdown(map[string]Credit{"long": {6, 0.6}, "short": {1, 0.1}})
	sum := 0.0
	found := make(map[string]float64)
	for _, loss := range losses {
		sum += loss.Lost
		found[loss.Category+"|"+loss.Detail] = loss.Lost
	}
	assert.Assert(t, math.Abs(sum-0.5) < 1e-9, "%v", sum)
	assert.Assert(t, math.Abs(found["whole day, long|late"]-0.05*54/114) < 1e-9, "%v", found)
	assert.Assert(t, math.Abs(found["worst windows, from 4 s (reclaim)|refused"]-0.175*0.4) < 1e-9, "%v", found)
	assert.Equal(t, found["price|calls"], 0.045)
	_, listed := found["price|probes"]
	assert.Assert(t, !listed)
	_, err = ReadReport(strings.NewReader(`{"parts": [["x"]]}`))
	assert.ErrorContains(t, err, "1 values")
	_, err = ReadReport(strings.NewReader(`{}`))
	assert.ErrorContains(t, err, "no parts")
}

const sampleLog = `
0.0 d1 2026-03-15T11:23:50.000Z [INFO]  lagoonmux: request: id=a kind=stream status=200 end=done late=false tries=u1:done
0.5 d1 2026-03-15T11:23:50.500Z [INFO]  lagoonmux: request: id=b kind=stream status=401 end=done late=false tries=
1.0 d1 2026-03-15T11:23:51.000Z [INFO]  lagoonmux: request: id=c kind=stream status=503 end=unplaced reason="would wait for 215ms, limit 180ms"
1.0 d1 2026-03-15T11:23:51.100Z [INFO]  lagoonmux: request: id=d kind=stream status=503 end=unplaced reason="would wait for 90ms, limit 80ms"
1.2 d1 2026-03-15T11:23:51.200Z [INFO]  lagoonmux: request: id=e kind=once status=502 end=lost may_have_run=true reason="read from 1.2.3.4:5: read tcp4 1.2.3.4:6->1.2.3.4:5: connection reset by peer"
2.0 d1 2026-03-15T11:23:52.000Z [INFO]  lagoonmux: daemon started: name=d1 zone=z
2.2 d1 2026-03-15T11:23:52.200Z [INFO]  lagoonmux: request: id=f kind=stream status=200 end=done late=true tries=u1:done
9.2 d1 2026-03-15T11:23:59.200Z [INFO]  lagoonmux: request: id=g kind=stream status=200 end=done late=true tries=u1:lost,u2:done
9.3 d1 2026-03-15T11:23:59.300Z [INFO]  lagoonmux: request: id=h kind=stream status=200 end=broken late=false tries=u1:broken
`

func TestCauses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(sampleLog), 0o600))
	lines, err := logline.Read([]string{file})
	assert.NilError(t, err)
	assert.DeepEqual(t, Causes(lines, lines[0].At), []Cause{
		{"stream", "turned away, the queue was too long", 2, "1 s: 2"},
		{"once", "answer lost: connection reset by peer", 1, "1 s: 1"},
		{"stream", "cut in the middle of the answer", 1, "9 s: 1"},
		{"stream", "late after a start", 1, "2 s: 1"},
		{"stream", "late, sent to another upstream", 1, "9 s: 1"},
	})
}

const outageLog = `
0.0 d1 2026-03-15T11:23:50.000Z [INFO]  lagoonmux: daemon started: name=d1 zone=z
1.0 d1 2026-03-15T11:23:51.000Z [INFO]  lagoonmux: request: id=a kind=stream status=200 end=done total_ms=2000
2.0 d1 2026-03-15T11:23:52.000Z [INFO]  lagoonmux: request: id=b kind=stream status=200 end=done total_ms=2000
3.0 d1 2026-03-15T11:23:53.000Z [INFO]  lagoonmux: request: id=c kind=stream status=200 end=done total_ms=2000
3.5 d1 2026-03-15T11:23:53.500Z [INFO]  lagoonmux: request: id=d kind=once status=500 end=done may_have_run=true total_ms=2000
3.6 d1 2026-03-15T11:23:53.600Z [INFO]  lagoonmux: request: id=e kind=stream status=429 end=done total_ms=9000
5.6 d1 2026-03-15T11:23:55.600Z [INFO]  lagoonmux: daemon started: name=d1 zone=z
5.7 d2 2026-03-15T11:23:55.700Z [INFO]  lagoonmux: daemon started: name=d2 zone=z
`

// TestCountUnservable logs one request a second, of two seconds each, before an outage of all
// daemons that lasts two seconds.
func TestCountUnservable(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(outageLog), 0o600))
	lines, err := logline.Read([]string{file})
	assert.NilError(t, err)
	count := make(map[string]int)
	for _, l := range CountUnservable(lines) {
		count[l.Reason] = l.Count
	}
	assert.Equal(t, count["asked for while no daemon ran"], 2)
	assert.Equal(t, count["under way when all daemons ended"], 2)
	assert.Equal(t, count["may run once, the upstream failed after it ran"], 1)
}
