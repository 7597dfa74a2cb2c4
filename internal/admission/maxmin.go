package admission

import (
	"cmp"
	"slices"
)

// claim is what one customer asks for, and the weight of its share.
type claim struct{ asked, weight float64 }

// fairLevel returns the level of the weighted max-min division of capacity: each claim gets
// the smaller of what it asks for and weight times the level. It is 0 if the capacity
// suffices for all claims.
func fairLevel(claims []claim, capacity float64) float64 {
	sorted := slices.Clone(claims)
	slices.SortFunc(sorted, func(a, b claim) int { return cmp.Compare(a.asked/a.weight, b.asked/b.weight) })
	weights := 0.0
	for _, c := range sorted {
		weights += c.weight
	}
	for _, c := range sorted {
		if level := capacity / weights; c.asked > c.weight*level {
			return level
		}
		capacity -= c.asked
		weights -= c.weight
	}
	return 0
}

// excessFractions returns, for each class of a customer that asks for asked in all and may get
// share, the fraction of requests to refuse: the share goes to the more urgent classes first,
// but each class gets at least minClassFraction of what it would get if all got the same.
func excessFractions(asked [Classes]float64, share float64) (excess [Classes]float64) {
	sum := 0.0
	for _, a := range asked {
		sum += a
	}
	if sum <= share {
		return excess
	}
	reserved := minClassFraction * share / sum
	free := share * (1 - minClassFraction)
	for class, a := range asked {
		if a <= 0 {
			continue
		}
		extra := min(a*(1-reserved), free)
		free -= extra
		excess[class] = 1 - reserved - extra/a
	}
	return excess
}
