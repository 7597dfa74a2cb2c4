package routing

import "time"

const (
	tokensHalfWeightMS   = 200.0  // age at which a reported prefill queue counts half
	requestsHalfWeightMS = 1000.0 // age at which reported request counts count half
	peerSendRatio        = 0.75   // what each peer is assumed to have sent since a report, relative to this daemon
)

// estimate returns the prompt tokens that wait for prefill at the upstream and
// the requests in flight there, of all daemons.
//
// This daemon's own are known. Those of its peers are the reported ones minus
// this daemon's own at the time of the report; as the report ages, they decay to
// the peers' average. With includePeers, each peer is also assumed to have sent
// peerSendRatio times what this daemon has sent since the report. Without this,
// all daemons that hold the same report would send to the same idle upstream.
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

// decayToMean moves reported toward mean; at a relativeAge of 1 it is halfway.
func decayToMean(reported, mean, relativeAge float64) float64 {
	return mean + (reported-mean)/(1+relativeAge)
}

// slotFraction returns the node's fraction of the service's slots.
func (s *snapshot) slotFraction(n *node) float64 { return n.slots / max(s.shared.slots(), 1) }

// meanRequests returns how many requests of all daemons are in flight on
// average at a node with this number of slots.
func (s *snapshot) meanRequests(n *node) float64 {
	return float64(s.shared.inFlight.Load()) * s.daemons * s.slotFraction(n)
}
