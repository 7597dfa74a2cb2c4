package node

import (
	"fmt"
	"sync"

	"github.com/lagoonmux/lagoonmux/internal/quota"
)

// customerCost counts the cost that was admitted and refused by customers' limits. Its methods
// may be called from any goroutine.
type customerCost struct {
	mu     sync.Mutex
	totals map[costKey]float64
}

// costKey is the label set of a counter of cost.
type costKey struct {
	customer string
	rank     int
	result   string
}

func newCustomerCost() *customerCost { return &customerCost{totals: make(map[costKey]float64)} }

// add counts a request that was admitted or refused.
func (c *customerCost) add(r *quota.Request, admitted bool) {
	key := costKey{r.Customer, r.Rank, "refused"}
	if admitted {
		key.result = "admitted"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.totals[key]; ok || len(c.totals) < maxSeries {
		c.totals[key] += r.Cost
	}
}

// lines returns the counters, one per line.
func (c *customerCost) lines() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]string, 0, len(c.totals))
	for k, total := range c.totals {
		list = append(list, fmt.Sprintf("lagoonmux_customer_cost_total{customer=%q,rank=\"%d\",result=%q} %.0f", k.customer, k.rank, k.result, total))
	}
	return list
}
