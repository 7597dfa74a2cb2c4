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
			TrialAgeMs: s.TrialAge.Milliseconds(), Confirmed: s.Confirmed, Software: s.Software, Companions: s.Companions,
			Survived: s.Survived, SurvivalAgeMs: s.SurvivalAge.Milliseconds(), ProgressMs: s.Progress.Time.Milliseconds(), Events: uint32(s.Progress.Events)}
		for _, e := range s.Ends {
			end := &meshpb.UpstreamEnd{Upstream: e.Upstream, SentAgeMs: uint32(e.SentAge.Milliseconds()), AgeMs: uint32(e.Age.Milliseconds()), Stored: e.Stored}
			if e.Silent {
				end.BeforeHead, end.Doubtful, end.Withdrawn = e.Stage == quarantine.BeforeHead, e.Doubtful, e.Withdrawn
				end.AfterEvent, end.ProgressMs, end.Events = e.Stage == quarantine.AfterEvent, uint32(e.Progress.Time.Milliseconds()), uint32(e.Progress.Events)
				out[i].SilentEnds = append(out[i].SilentEnds, end)
				continue
			}
			if isEarly(s.Subject, e.Stage) {
				out[i].Ends = append(out[i].Ends, end)
				continue
			}
			end.AfterEvent, end.ProgressMs, end.Events = e.Stage == quarantine.AfterEvent, uint32(e.Progress.Time.Milliseconds()), uint32(e.Progress.Events)
			out[i].FurtherEnds = append(out[i].FurtherEnds, end)
		}
	}
	return out
}

// isEarly reports whether an end at a stage is one of Suspect.ends, which older builds count.
// They know no progress and would count all others as strongly.
func isEarly(s quarantine.Subject, stage quarantine.Stage) bool {
	return stage == quarantine.BeforeEvent || stage == quarantine.BeforeHead && s.Request
}

// DecodeSuspects is the reverse of EncodeSuspects.
func DecodeSuspects(list []*meshpb.Suspect) []quarantine.Statement {
	out := make([]quarantine.Statement, len(list))
	for i, s := range list {
		out[i] = quarantine.Statement{Subject: quarantine.Subject{Service: s.Service, ID: s.Segment, Request: s.Request}, Cleared: s.Cleared,
			ClearedAge: millis(s.ClearedAgeMs), Quarantined: s.Quarantined, QuarantineAge: millis(s.QuarantineAgeMs), Ended: int(s.Ended),
			Trials: int(s.Trials), TrialAge: millis(s.TrialAgeMs), Confirmed: s.Confirmed, Software: s.Software, Companions: s.Companions,
			Survived: s.Survived, SurvivalAge: millis(s.SurvivalAgeMs), Progress: quarantine.Progress{Time: millis(s.ProgressMs), Events: int(s.Events)}}
		for _, e := range s.Ends {
			out[i].Ends = append(out[i].Ends, decodeEnd(e, quarantine.BeforeEvent))
		}
		for _, e := range s.FurtherEnds {
			stage := quarantine.BeforeHead
			if e.AfterEvent {
				stage = quarantine.AfterEvent
			}
			out[i].Ends = append(out[i].Ends, decodeEnd(e, stage))
		}
		for _, e := range s.SilentEnds {
			stage := quarantine.BeforeEvent
			switch {
			case e.AfterEvent:
				stage = quarantine.AfterEvent
			case e.BeforeHead:
				stage = quarantine.BeforeHead
			}
			end := decodeEnd(e, stage)
			end.Silent, end.Doubtful, end.Withdrawn = true, e.Doubtful, e.Withdrawn
			out[i].Ends = append(out[i].Ends, end)
		}
	}
	return out
}

func decodeEnd(e *meshpb.UpstreamEnd, stage quarantine.Stage) quarantine.EndAge {
	return quarantine.EndAge{Upstream: e.Upstream, Stored: e.Stored, SentAge: millis(int64(e.SentAgeMs)), Age: millis(int64(e.AgeMs)), Stage: stage,
		Progress: quarantine.Progress{Time: millis(int64(e.ProgressMs)), Events: int(e.Events)}}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
