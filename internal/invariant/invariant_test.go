package invariant

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

func TestBrokenLogsRuleAndInputs(t *testing.T) {
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out})
	before := BrokenCount()
	Broken(log, "TWICE", "id", "a1", "sends", 1)
	assert.Equal(t, BrokenCount(), before+1)
	assert.Assert(t, strings.Contains(out.String(), "rule=TWICE id=a1 sends=1"), out.String())
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
}

func TestStrictModePanics(t *testing.T) {
	EnableStrict()
	defer strict.Store(false)
	defer func() { assert.Assert(t, recover() != nil) }()
	Broken(hclog.NewNullLogger(), "TWICE")
}
