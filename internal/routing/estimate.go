package routing

import "time"

const (
	tokensMemoryMS   = 200.0  // after which a reported prefill queue says half as much
	requestsMemoryMS = 1000.0 // the same for the requests in the batch
	herdShare        = 0.75   // of what this daemon has sent since a report, that each peer is taken to have sent too
)

// estimate returns the prompt tokens waiting and the requests at the upstream.
//
// This daemon's own are known. Those of the peers are taken from the report,
// less what was this daemon's own when it was measured; as the report ages,
// they revert to what the peers send on average. With herd, the peers are also
// taken to have sent more since, if this daemon has, so that a report that all
// of them hold draws no herd.
func (s *snapshot) estimate(n *node, now int64, herd bool) (tokens, requests float64) {
	ownTokens, ownRequests := float64(n.pending.Load()), float64(n.inFlight.Load())
	others := s.peers - 1
	part := others * s.part(n)
	usualTokens := float64(s.shared.pending.Load()) * part
	usualRequests := float64(s.shared.inFlight.Load()) * part
	l := n.load.Load()
	if l == nil || now-l.at > int64(maxLoadAge) {
		return ownTokens + usualTokens, ownRequests + usualRequests
	}
	ageMS := float64(max(now-l.at, 0)) / float64(time.Millisecond)
	tokens = revert(max(float64(l.WaitingTokens-int(l.pendingThen)), 0), usualTokens, ageMS/tokensMemoryMS)
	requests = revert(max(float64(l.Running+l.Waiting-int(l.ownThen)), 0), usualRequests, ageMS/requestsMemoryMS)
	if herd {
		tokens += max(ownTokens-float64(l.pendingThen), 0) * others * herdShare
		requests += max(ownRequests-float64(l.ownThen), 0) * others * herdShare
	}
	return ownTokens + tokens, ownRequests + requests
}

// revert moves reported towards usual by its relative age.
func revert(reported, usual, age float64) float64 {
	return usual + (reported-usual)/(1+age)
}

// part returns the part of the service's slots that are the node's.
func (s *snapshot) part(n *node) float64 { return n.slots / max(s.shared.slots(), 1) }

// usualRequests returns the requests of all daemons that a node of this size
// has on average.
func (s *snapshot) usualRequests(n *node) float64 {
	return float64(s.shared.inFlight.Load()) * s.peers * s.part(n)
}
