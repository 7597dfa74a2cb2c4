package catalog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRouteIsTheLongestPrefix(t *testing.T) {
	b := NewBuilder(1, Limits{})
	for _, p := range []string{"/a/", "/a/b/", "/"} {
		b.AddRoute(&Route{Name: p, Host: "X.example", Prefix: p})
	}
	c := b.Build()
	assert.Equal(t, c.Route("x.example", "/a/b/c").Name, "/a/b/")
	assert.Equal(t, c.Route("x.example:80", "/a/bc").Name, "/a/")
	assert.Equal(t, c.Route("X.EXAMPLE", "/a?x=/a/b/").Name, "/")
	assert.Assert(t, c.Route("y.example", "/a/") == nil)
}

func TestSplitFollowsWeights(t *testing.T) {
	r := &Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	n := 0
	for i := range 10000 {
		id := fmt.Sprint("id", i)
		assert.Equal(t, r.Service(id), r.Service(id))
		if r.Service(id) == "b" {
			n++
		}
	}
	assert.Assert(t, n > 850 && n < 1150, "%d of 10000, five standard deviations around 1000", n)
	assert.Equal(t, (&Route{Targets: []Target{{"a", 0}}}).Service("x"), "a")
}

func TestKeys(t *testing.T) {
	open := NewBuilder(1, Limits{}).Build()
	assert.Assert(t, !open.NeedsKey(&Route{}))
	b := NewBuilder(1, Limits{})
	b.AddCustomer(&Customer{Name: "c"}, []string{"k1", "k2"})
	c := b.Build()
	assert.Assert(t, c.NeedsKey(&Route{}))
	assert.Assert(t, !c.NeedsKey(&Route{Open: true}))
	assert.Equal(t, c.Customer("k2").Name, "c")
	assert.Assert(t, c.Customer("k3") == nil)
}
