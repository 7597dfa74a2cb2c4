package manifest_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
)

// valid is a valid manifest. Each case of TestParseRejects makes it invalid by
// replacing one text.
const valid = `// comment
{
  "services": [
    {"name": "m", "kind": "model", "target": {"total_ms": 1000}},
    {"name": "p", "kind": "plain", "target": {"total_ms": 1000}, "routes": [
      {"method": "GET", "path": "/a"},
      {"method": "GET", "path": "/ab"},
    ]},
  ],
  "upstreams": [
    {"name": "u1", "service": "m", "address": "127.0.0.1:1", "zone": "z", "vm_class": "g", "slots": 1},
    {"name": "u2", "service": "p", "address": "127.0.0.1:2", "zone": "z", "vm_class": "g", "slots": 1},
  ],
  "customers": [
    {"name": "c1", "key": "key-number-1", "weight": 1, "requests_per_second": 1, "tokens_per_second": 1, "concurrency": 1},
    {"name": "c2", "key": "key-number-2", "weight": 1, "requests_per_second": 1, "tokens_per_second": 1, "concurrency": 1},
  ],
  "vm_classes": [{"name": "g", "on_demand_per_hour": 2, "reclaimable_per_hour": 1}],
}`

func TestParseValid(t *testing.T) {
	m, err := manifest.Parse("m", []byte(valid))
	assert.NilError(t, err)
	assert.Equal(t, m.Services[0].Policy, manifest.ExpectedLatency)
	text, err := m.Encode()
	assert.NilError(t, err)
	reparsed, err := manifest.Parse("again", text)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, reparsed)
}

func TestParseRejects(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown field", `"slots": 1},
    {"name": "u2"`, `"slots": 1, "colour": 2},
    {"name": "u2"`, `m:11: upstreams[0].colour: unknown field`},
		{"field twice", `"kind": "model"`, `"kind": "model", "kind": "model"`, `m:4: services[0].kind: duplicate field`},
		{"duplicate name", `"name": "c2"`, `"name": "c1"`, `m:16: customers[1].name: name "c1" is used twice`},
		{"duplicate key", `key-number-2`, `key-number-1`, `m:16: customers[1].key: key belongs to another customer`},
		{"duplicate address", `127.0.0.1:2`, `127.0.0.1:1`, `m:12: upstreams[1].address: address 127.0.0.1:1 belongs`},
		{"unknown service", `"service": "p"`, `"service": "x"`, `m:12: upstreams[1].service: no service is named "x"`},
		{"unknown class", `"vm_class": "g", "slots": 1},
  ]`, `"vm_class": "x", "slots": 1},
  ]`, `m:12: upstreams[1].vm_class: no VM class is named "x"`},
		{"no limit", `"concurrency": 1},
  ]`, `"concurrency": 0},
  ]`, `m:16: customers[1].concurrency: is required`},
		{"negative limit", `"weight": 1, "requests_per_second": 1, "tokens_per_second": 1, "concurrency": 1},
  ]`, `"weight": -1, "requests_per_second": 1, "tokens_per_second": 1, "concurrency": 1},
  ]`, `m:16: customers[1].weight: value -1 violates gt=0`},
		{"overlapping routes", `"path": "/ab"`, `"path": "/a/b"`, `m:7: services[1].routes[1].path: overlaps with route GET /a`},
		{"wrong type", `"slots": 1},
    {"name": "u2"`, `"slots": "one"},
    {"name": "u2"`, `m:11: upstreams.slots: a string cannot be read as int`},
		{"model with routes", `"kind": "plain"`, `"kind": "model"`, `m:5: services[1].routes: a model service has no routes`},
		{"syntax", `"services": [`, `"services": [[`, `line `},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			assert.Assert(t, text != valid, "the replaced text does not occur in the manifest")
			_, err := manifest.Parse("m", []byte(text))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestQuickExampleIsValid(t *testing.T) {
	text, err := os.ReadFile("../../examples/quick/manifest.json")
	assert.NilError(t, err)
	_, err = manifest.Parse("manifest.json", text)
	assert.NilError(t, err)
}

func TestAdvanceRejectsOlderGenerations(t *testing.T) {
	var c manifest.Current
	m, err := manifest.Parse("m", []byte(valid))
	assert.NilError(t, err)
	assert.Assert(t, c.Advance(manifest.NewActive(2, m)))
	assert.Assert(t, !c.Advance(manifest.NewActive(1, m)))
	assert.Assert(t, !c.Advance(manifest.NewActive(2, m)))
	assert.Equal(t, c.Load().Generation, int64(2))
}
