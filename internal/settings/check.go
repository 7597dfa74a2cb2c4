package settings

import (
	"net"

	"github.com/lagoonmux/lagoonmux/internal/jsonc"
)

// check validates the rules that involve more than one field.
func (s *Settings) check(doc *jsonc.Document) {
	s.checkListener(doc, "operator_address", s.OperatorAddress)
	s.checkListener(doc, "peer_address", s.PeerAddress)
	if s.OperatorAddress == s.PeerAddress || s.OperatorAddress == s.CallerAddress || s.PeerAddress == s.CallerAddress {
		doc.Reject("caller_address", "caller, operator and peer addresses must differ")
	}
}

// checkListener rejects a host that is not an IP address, and without TLS also a
// non-loopback address.
func (s *Settings) checkListener(doc *jsonc.Document, field, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		doc.Reject(field, "%v", err)
		return
	}
	ip := net.ParseIP(host)
	if ip == nil {
		doc.Reject(field, "host must be an IP address")
		return
	}
	if s.TLS == nil && !ip.IsLoopback() {
		doc.Reject(field, "a non-loopback address requires tls")
	}
}
