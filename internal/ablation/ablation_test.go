package ablation

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLoad(t *testing.T) {
	t.Cleanup(func() { clear(off) })
	list, err := Load()
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0, "nothing is off unless asked for")
	t.Setenv(Variable, "homes, blur")
	list, err = Load()
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []Mechanism{Homes, Blur})
	assert.Assert(t, Without(Homes) && Without(Blur) && !Without(Speeds))
	t.Setenv(Variable, "homes,luck")
	_, err = Load()
	assert.ErrorContains(t, err, `"luck"`)
}
