package node

import (
	"fmt"
	"time"

	"github.com/lagoonmux/lagoonmux/internal/hedge"
	"github.com/lagoonmux/lagoonmux/internal/proxy"
)

// hedgeMetrics counts hedged requests. The caller holds the mutex of metrics.
type hedgeMetrics struct {
	sent    int64
	ends    [proxy.HedgeEndCount]int64 // by end
	notSent [hedge.ReasonCount]int64   // by reason
	extra   time.Duration              // upstream time lost to hedges
}

// add counts the hedge of a request, if one was due.
func (m *hedgeMetrics) add(h proxy.Hedge) {
	switch {
	case m == nil || !h.Due:
	case h.Reason != hedge.Send:
		m.notSent[h.Reason]++
	default:
		m.sent++
		m.ends[h.End]++
		m.extra += h.Extra
	}
}

// appendTo appends the metrics to lines.
func (m *hedgeMetrics) appendTo(lines []string) []string {
	if m == nil {
		return lines
	}
	lines = append(lines, fmt.Sprintf("lagoonmux_hedges_sent_total %d", m.sent),
		fmt.Sprintf("lagoonmux_hedge_extra_ms_total %d", m.extra.Milliseconds()))
	for e, n := range m.ends {
		lines = append(lines, fmt.Sprintf("lagoonmux_hedges_total{end=%q} %d", proxy.HedgeEnd(e), n))
	}
	for r := hedge.Send + 1; r < hedge.ReasonCount; r++ {
		lines = append(lines, fmt.Sprintf("lagoonmux_hedges_not_sent_total{reason=%q} %d", r, m.notSent[r]))
	}
	return lines
}
