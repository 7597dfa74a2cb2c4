package quota

import (
	"math"
	"time"
)

const (
	// maxRanks is the number of ranks that are told apart; later ones count as the last.
	maxRanks = 8
	// headroomTime is the time of the demand of more urgent ranks for which a less urgent one
	// leaves room: 150 ms serves urgent requests 5 in 100 less often, 500 ms leaves 1 in 100 more of
	// a limit unused.
	headroomTime = 300 * time.Millisecond
	// headroomRequests is the smallest headroom, as a number of requests of mean cost.
	headroomRequests = 2
	// maxHeadroomFraction of an allowance is the largest headroom, so that a small share of a
	// limit is not left unused.
	maxHeadroomFraction = 0.5
	// floorFraction is the fraction of its fair share that every rank gets. A quarter is
	// required; the rest covers credit that finds no room.
	floorFraction = 0.35
	// maxCreditRequests bounds the credit of a rank, as a number of requests of mean cost.
	maxCreditRequests = 8
)

// Request is a request of a customer.
type Request struct {
	Customer string
	Cost     float64
	Rank     int    // priority below the most urgent of its service; 0 is the most urgent
	Content  uint64 // hash of what a repeated request has in common with the first; 0 if unknown
	// MaxWait is the longest delay that the caller honours after a refusal; 0 if unknown.
	MaxWait time.Duration
}

func (r *Request) rank() int { return min(max(r.Rank, 0), maxRanks-1) }

// ranks holds what the requests of each rank asked for and are owed.
type ranks struct {
	demand   [maxRanks]float64 // requested cost per second, moving averages
	credit   [maxRanks]float64 // cost that a rank may use without leaving headroom
	admitted float64           // cost per second, moving average over all ranks
}

// decay applies the factor of the moving averages.
func (r *ranks) decay(keep float64) {
	for i := range r.demand {
		r.demand[i] *= keep
	}
	r.admitted *= keep
}

// record adds a request, whose rank earns credit for a part of what all ranks get.
func (r *ranks) record(rank int, cost, meanCost float64) {
	total := 0.0
	for _, d := range r.demand {
		total += d
	}
	r.demand[rank] += cost / demandDecay.Seconds()
	if total > 0 {
		r.credit[rank] += floorFraction * math.Min(r.admitted/total, 1) * cost
	}
	r.credit[rank] = math.Min(r.credit[rank], maxCredit(meanCost))
}

// maxCredit returns the bound on the credit of a rank. A larger request needs no more than that,
// since it would never be covered.
func maxCredit(meanCost float64) float64 { return maxCreditRequests * meanCost }

// moreUrgent returns the demand of the ranks before a rank.
func (r *ranks) moreUrgent(rank int) (sum float64) {
	for _, d := range r.demand[:rank] {
		sum += d
	}
	return sum
}

// headroom returns the cost that a request leaves to more urgent ones. A request that the
// credit of its rank covers leaves none, so that no rank is starved.
func (r *ranks) headroom(rank int, cost, allowance, rate, meanCost float64) float64 {
	urgent := r.moreUrgent(rank)
	if urgent <= 0 || r.credit[rank] >= math.Min(cost, maxCredit(meanCost)) {
		return 0
	}
	room := math.Max(math.Min(urgent, rate)*headroomTime.Seconds(), headroomRequests*meanCost)
	return math.Min(room, maxHeadroomFraction*allowance)
}

// recordAdmitted adds an admitted request, which uses up credit of its rank.
func (r *ranks) recordAdmitted(rank int, cost float64) {
	r.admitted += cost / demandDecay.Seconds()
	r.credit[rank] = math.Max(r.credit[rank]-cost, 0)
}
