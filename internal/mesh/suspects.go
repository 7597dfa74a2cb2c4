package mesh

import (
	"time"

	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
	"github.com/lagoonmux/lagoonmux/internal/quarantine"
)

// EncodeSuspects encodes statements about prompt segments and requests for a State.
func EncodeSuspects(list []quarantine.Statement) []*meshpb.Suspect {
	out := make([]*meshpb.Suspect, len(list))
	for i, s := range list {
		out[i] = &meshpb.Suspect{Service: s.Service, Segment: s.ID, Request: s.Request, Cleared: s.Cleared, ClearedAgeMs: s.ClearedAge.Milliseconds(),
			Quarantined: s.Quarantined, QuarantineAgeMs: s.QuarantineAge.Milliseconds(), Ended: uint32(s.Ended), Trials: uint32(s.Trials),
			TrialAgeMs: s.TrialAge.Milliseconds(), Confirmed: s.Confirmed, Software: s.Software}
		for _, e := range s.Ends {
			end := &meshpb.UpstreamEnd{Upstream: e.Upstream, SentAgeMs: uint32(e.SentAge.Milliseconds()), AgeMs: uint32(e.Age.Milliseconds())}
			out[i].Ends = append(out[i].Ends, end)
		}
	}
	return out
}

// DecodeSuspects is the reverse of EncodeSuspects.
func DecodeSuspects(list []*meshpb.Suspect) []quarantine.Statement {
	out := make([]quarantine.Statement, len(list))
	for i, s := range list {
		out[i] = quarantine.Statement{Subject: quarantine.Subject{Service: s.Service, ID: s.Segment, Request: s.Request}, Cleared: s.Cleared,
			ClearedAge: millis(s.ClearedAgeMs), Quarantined: s.Quarantined, QuarantineAge: millis(s.QuarantineAgeMs), Ended: int(s.Ended),
			Trials: int(s.Trials), TrialAge: millis(s.TrialAgeMs), Confirmed: s.Confirmed, Software: s.Software}
		for _, e := range s.Ends {
			end := quarantine.EndAge{Upstream: e.Upstream, SentAge: millis(int64(e.SentAgeMs)), Age: millis(int64(e.AgeMs))}
			out[i].Ends = append(out[i].Ends, end)
		}
	}
	return out
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
