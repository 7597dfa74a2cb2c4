package chart

import (
	"io/fs"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/charts"
)

func TestEveryChartLoads(t *testing.T) {
	files, err := fs.Glob(charts.Files, "*.json")
	assert.NilError(t, err)
	for _, f := range files {
		_, err := Load(strings.TrimSuffix(f, ".json"))
		assert.NilError(t, err, f)
	}
}

// TestMachineRejectsDisallowedEvents checks that an event that the state does not allow
// is an error and leaves the state as it is.
func TestMachineRejectsDisallowedEvents(t *testing.T) {
	m := MustLoad("request").Start()
	assert.NilError(t, m.Fire("dispatch", "test", "e1"))
	err := m.Fire("dispatch", "test", "e1")
	assert.Error(t, err, "step=test peer=e1: chart request does not allow event dispatch in state dispatched")
	assert.Equal(t, m.State(), State("dispatched"))
	assert.NilError(t, m.Fire("answer", "test", "e1"))
	assert.Assert(t, MustLoad("request").IsFinal(m.State()))
}

func TestInvalidChartsAreRejected(t *testing.T) {
	for want, text := range map[string]string{
		`initial state "x" is not listed`:                               `{"initial":"x","states":["a"]}`,
		`state "b" is not reachable`:                                    `{"initial":"a","states":["a","b"],"final":["a","b"]}`,
		`state "a" must either be final or have an outgoing transition`: `{"initial":"a","states":["a"]}`,
		`has a state that is not listed`:                                `{"initial":"a","states":["a"],"transitions":[{"from":"a","event":"e","to":"c"}]}`,
		`state "a" has two transitions for event e`:                     `{"initial":"a","states":["a"],"transitions":[{"from":"a","event":"e","to":"a"},{"from":"a","event":"e","to":"a"}]}`,
	} {
		_, err := parse([]byte(text))
		assert.ErrorContains(t, err, want)
	}
}
