package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLog = `0.1 d1 2026-03-15T11:23:50.000Z [INFO]  lagoonmux: upstream leaves: upstream=u1 leaving=true leaves_in=2s entry=9
0.2 d2 2026-03-15T11:23:50.100Z [WARN]  lagoonmux.views: store lost: table=op error="GET /x: no"
0.3 d1 2026-03-15T11:23:50.200Z [INFO]  lagoonmux: upstream gone: upstream=u7 service=s entry=3
not a log line
1.0 d1 2026-03-15T11:23:51.000Z [INFO]  lagoonmux: request: id=abc route=r kind=stream customer=c status=502 end=lost cut=false gone=false tries=u1:lost first_ms=0 total_ms=400 gap_ms=0 expected_ms=30 missing=10 usable=3 config=7 retry_ms=0 may_have_run=true reason="read from 1.2.3.4:5: reset"
1.1 d1 2026-03-15T11:23:51.100Z [INFO]  lagoonmux: request: id=def route=r kind=once customer=c status=200 end=done cut=false gone=false tries=u2:done first_ms=5 total_ms=5 gap_ms=0 expected_ms=30 missing=0 usable=3 config=7 retry_ms=0 may_have_run=true reason=""
`

func TestExplainFromLogs(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(sampleLog), 0o600))
	var out strings.Builder
	assert.NilError(t, ExplainFromLogs(&out, "abc", []string{file}))
	text := out.String()
	for _, want := range []string{
		"request abc", "(upstream leaves", "customer c", "configuration 7", "try 1: upstream u1, lost",
		"status 502", "may have run true", "reason: read from 1.2.3.4:5: reset",
	} {
		assert.Assert(t, strings.Contains(text, want), "%s lacks %q", text, want)
	}
	for _, other := range []string{"store lost", "u7", "def"} {
		assert.Assert(t, !strings.Contains(text, other), "%s has %q of another daemon, upstream or request", text, other)
	}
	assert.ErrorContains(t, ExplainFromLogs(&out, "nobody", []string{file}), "nobody")
	assert.ErrorContains(t, ExplainFromLogs(&out, "abc", []string{"/does/not/exist"}), "exist")
}
