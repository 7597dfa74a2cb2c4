package routing

import "time"

const (
	tokensHalfWeightMS   = 200.0  // after which a reported prefill queue says half as much
	requestsHalfWeightMS = 1000.0 // the same for the requests in the batch
	peerSendRatio        = 0.75   // of what this daemon has sent since a report, that each peer is taken to have sent too
)

// estimate returns the prompt tokens waiting and the requests at the upstream.
//
// This daemon's own are known. Those of the peers are taken from the report,
// less what was this daemon's own when it was measured; as the report ages,
// they revert to what the peers send on average. With herd, the peers are also
// taken to have sent more since, if this daemon has, so that a report that all
// of them hold draws no herd.
func (s *snapshot) estimate(n *node, now int64, includePeers bool) (tokens, requests float64) {
	ownTokens, ownRequests := float64(n.pending.Load()), float64(n.inFlight.Load())
	peers := s.daemons - 1
	peersFraction := peers * s.slotFraction(n)
	meanTokens := float64(s.shared.pending.Load()) * peersFraction
	meanRequests := float64(s.shared.inFlight.Load()) * peersFraction
	l := n.load.Load()
	if l == nil || now-l.at > int64(maxLoadAge) {
		return ownTokens + meanTokens, ownRequests + meanRequests
	}
	ageMS := float64(max(now-l.at, 0)) / float64(time.Millisecond)
	tokens = decayToMean(max(float64(l.WaitingTokens-int(l.ownPending)), 0), meanTokens, ageMS/tokensHalfWeightMS)
	requests = decayToMean(max(float64(l.Running+l.Waiting-int(l.ownInFlight)), 0), meanRequests, ageMS/requestsHalfWeightMS)
	if includePeers {
		tokens += max(ownTokens-float64(l.ownPending), 0) * peers * peerSendRatio
		requests += max(ownRequests-float64(l.ownInFlight), 0) * peers * peerSendRatio
	}
	return ownTokens + tokens, ownRequests + requests
}

// decayToMean moves reported towards usual by its relative age.
func decayToMean(reported, mean, relativeAge float64) float64 {
	return mean + (reported-mean)/(1+relativeAge)
}

// slotFraction returns the part of the service's slots that are the node's.
func (s *snapshot) slotFraction(n *node) float64 { return n.slots / max(s.shared.slots(), 1) }

// meanRequests returns the requests of all daemons that a node of this size
// has on average.
func (s *snapshot) meanRequests(n *node) float64 {
	return float64(s.shared.inFlight.Load()) * s.daemons * s.slotFraction(n)
}
