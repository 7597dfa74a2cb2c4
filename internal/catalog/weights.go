package catalog

// summarizeCustomers sets the customers' weights.
func (b *Builder) summarizeCustomers() {
	sums, counts := make(map[bool]float64), make(map[bool]float64) // by LimitByTokens
	for _, c := range b.c.Customers {
		if c.Rate > 0 {
			sums[c.LimitByTokens] += c.Rate
			counts[c.LimitByTokens]++
		}
	}
	for _, c := range b.c.Customers {
		if c.Weight = 1; c.Rate > 0 {
			c.Weight = c.Rate / (sums[c.LimitByTokens] / counts[c.LimitByTokens])
		}
	}
}
