package ablation

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLoad(t *testing.T) {
	t.Cleanup(func() { clear(disabled) })
	list, err := Load()
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0, "no mechanism is disabled by default")
	t.Setenv(EnvVar, "homes, blur")
	list, err = Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []Mechanism{HomeUpstreams, EstimateNoise})
	assert.Assert(t, Disabled(HomeUpstreams) && Disabled(EstimateNoise) && !Disabled(SlowdownEstimates))
	t.Setenv(EnvVar, "homes,luck")
	_, err = Load()
	assert.ErrorContains(t, err, `"luck"`)
}
