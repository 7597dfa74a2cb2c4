package catalog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRouteIsTheLongestPrefix(t *testing.T) {
	b := NewBuilder(1, HTTPLimits{})
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
	r := &Route{Split: []WeightedService{{"a", 90}, {"b", 10}}}
	n := 0
	for i := range 10000 {
		id := fmt.Sprint("id", i)
		assert.Equal(t, r.Service(id), r.Service(id))
		if r.Service(id) == "b" {
			n++
		}
	}
	assert.Assert(t, n > 850 && n < 1150, "%d of 10000 requests went to b, not within five standard deviations (150) of 1000", n)
	assert.Equal(t, (&Route{Split: []WeightedService{{"a", 0}}}).Service("x"), "a")
}

func TestCustomerKeys(t *testing.T) {
	noKeys := NewBuilder(1, HTTPLimits{}).Build()
	assert.Assert(t, !noKeys.NeedsKey(&Route{}))
	b := NewBuilder(1, HTTPLimits{})
	b.AddCustomer(&Customer{Name: "c"}, []string{"k1", "k2"})
	c := b.Build()
	assert.Assert(t, c.NeedsKey(&Route{}))
	assert.Assert(t, !c.NeedsKey(&Route{Public: true}))
	assert.Equal(t, c.Customer("k2").Name, "c")
	assert.Assert(t, c.Customer("k3") == nil)
}
