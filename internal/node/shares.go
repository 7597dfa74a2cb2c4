package node

import (
	"fmt"
	"io"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/admission"
	"github.com/lagoonmux/lagoonmux/internal/boottime"
	"github.com/lagoonmux/lagoonmux/internal/catalog"
	"github.com/lagoonmux/lagoonmux/internal/mesh"
	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
)

// setShareWeights sets the weights of customers' shares.
func (n *Node) setShareWeights(customers []*catalog.Customer) {
	weights := make(map[admission.Customer]float64, len(customers))
	for _, c := range customers {
		weights[admission.HashCustomer(c.Name)] = c.Weight
	}
	n.shares.SetWeights(weights)
}

// fillShares adds the work of customers to a State.
func (n *Node) fillShares(s *meshpb.State, to mesh.Recipient) {
	recipient := admission.ToPeer
	if to == mesh.ToMember {
		recipient = admission.ToMember
	}
	s.Shares = encodeShares(n.shares.Reports(recipient, boottime.Now()))
}

// mergeShares takes in the work of customers from another daemon's State.
func (n *Node) mergeShares(s *meshpb.State) {
	if len(s.Shares) == 0 {
		return
	}
	source := admission.FromPeer
	switch {
	case s.Member:
		source = admission.FromMember
	case n.mesh.Role() == mesh.Member:
		source = admission.FromHub
	}
	n.shares.Merge(s.Self.Name, source, decodeShares(s.Shares), boottime.Now())
}

func encodeShares(list []admission.Report) []*meshpb.ServiceShares {
	out := make([]*meshpb.ServiceShares, len(list))
	for i, r := range list {
		out[i] = &meshpb.ServiceShares{Service: r.Service, PressureAgeMs: uint32(r.PressureAge.Milliseconds())}
		for _, c := range r.Customers {
			out[i].Customers = append(out[i].Customers, &meshpb.CustomerShare{Customer: uint32(c.Customer), Asked: trimZeros(c.Asked), Served: trimZeros(c.Served)})
		}
	}
	return out
}

// trimZeros returns the values without trailing zeros.
func trimZeros(values [admission.Classes]uint32) []uint32 {
	n := len(values)
	for n > 0 && values[n-1] == 0 {
		n--
	}
	return values[:n]
}

func decodeShares(list []*meshpb.ServiceShares) []admission.Report {
	out := make([]admission.Report, len(list))
	for i, s := range list {
		out[i] = admission.Report{Service: s.Service, PressureAge: time.Duration(s.PressureAgeMs) * time.Millisecond}
		for _, c := range s.Customers {
			r := admission.CustomerReport{Customer: admission.Customer(c.Customer)}
			copy(r.Asked[:], c.Asked)
			copy(r.Served[:], c.Served)
			out[i].Customers = append(out[i].Customers, r)
		}
	}
	return out
}

// writeShareMetrics writes what customers asked for and got of services that recently refused or nearly
// refused requests, in ms of upstream time per second.
func (n *Node) writeShareMetrics(w io.Writer) {
	now := boottime.Now()
	names := make(map[admission.Customer]string)
	if c := n.proxy.Catalog(); c != nil {
		for _, customer := range c.Customers {
			names[admission.HashCustomer(customer.Name)] = customer.Name
		}
	}
	for _, r := range n.shares.Reports(admission.ToMember, now) {
		for _, c := range r.Customers {
			labels := fmt.Sprintf("{service=%q,customer=%q}", r.Service, names[c.Customer])
			_, _ = fmt.Fprintf(w, "lagoonmux_share_asked_ms%s %.1f\nlagoonmux_share_served_ms%s %.1f\nlagoonmux_share_ms%s %.1f\n",
				labels, c.AskedMS(), labels, c.ServedMS(), labels, n.shares.Share(r.Service, c.Customer))
		}
	}
}
