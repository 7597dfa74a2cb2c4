// Package losses tells where the worth of a day went: what is missing from 1 by part,
// moment, kind of request and price, which adds up, and from the daemons' logs for what
// reasons requests were not answered in time.
package losses

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// Report is what a played day says of itself (the users' bench, run --report).
type Report struct {
	Score      float64         `json:"G"`
	Components []Component     `json:"parts"`
	Penalties  []Penalty       `json:"prices"`
	Classes    []OutcomeCounts `json:"classes"`
	Windows    []OutcomeCounts `json:"windows"` // named by the second in which they begin
	Events     []Event         `json:"events"`
}

// Component is a part of the worth: a weight and the share of credit earned there.
type Component struct {
	Name   string
	Weight float64
	Earned float64
}

// Penalty is what is taken off for something used.
type Penalty struct {
	Name   string
	Amount float64
	Cost   float64
}

// OutcomeCounts counts the requests of a kind or a window.
type OutcomeCounts struct {
	Name    string  `json:"name"`
	Total   int     `json:"n"`
	InTime  int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Exempt  int     `json:"not_owed"`
	Score   float64 `json:"worth"`
}

// Event is something that happened to the deployment.
type Event struct {
	From   float64 `json:"at_s"`
	To     float64 `json:"to_s"`
	Kind   string  `json:"kind"`
	Detail string  `json:"what"`
}

// Credit is what an answer of a kind of request earns.
type Credit struct{ InTime, Late float64 }

// UnmarshalJSON reads [name, weight, earned].
func (p *Component) UnmarshalJSON(data []byte) error {
	return decodeTuple(data, &p.Name, &p.Weight, &p.Earned)
}

// UnmarshalJSON reads [name, amount, cost].
func (p *Penalty) UnmarshalJSON(data []byte) error {
	return decodeTuple(data, &p.Name, &p.Amount, &p.Cost)
}

// decodeTuple reads the first values of a JSON list.
func decodeTuple(data []byte, fields ...any) error {
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	if len(list) < len(fields) {
		return errors.Errorf("%d values, want %d", len(list), len(fields))
	}
	for i, v := range fields {
		if err := json.Unmarshal(list[i], v); err != nil {
			return errors.Wrapf(err, "value %d", i+1)
		}
	}
	return nil
}

// ReadReport reads a report.
func ReadReport(r io.Reader) (*Report, error) {
	var out Report
	if err := json.NewDecoder(r).Decode(&out); err != nil {
		return nil, errors.Wrap(err, "decode report")
	}
	if len(out.Components) == 0 {
		return nil, errors.New("report names no parts of the worth")
	}
	return &out, nil
}

// Loss is a part of what is missing.
type Loss struct {
	Category string
	Detail   string
	Lost     float64 // of the worth
	Count    float64 // requests, or what was paid for
}

// Breakdown splits what is missing from a worth of 1. The rows add up to it.
func (r *Report) Breakdown(credits map[string]Credit) []Loss {
	var losses []Loss
	sum := 0.0
	add := func(category, detail string, lost, count float64) {
		if lost != 0 {
			losses = append(losses, Loss{category, detail, lost, count})
			sum += lost
		}
	}
	for _, p := range r.Components {
		lost := p.Weight * (1 - p.Earned)
		switch p.Name {
		case "whole day":
			distribute(add, p.Name+", ", lost, r.lossByClass(credits))
		case "worst windows":
			distribute(add, p.Name+", ", lost, r.lossByWindow())
		default:
			add(p.Name, "", lost, 0)
		}
	}
	for _, p := range r.Penalties {
		add("price", p.Name, p.Cost, p.Amount)
	}
	add("rounding", "", 1-r.Score-sum, 0)
	return losses
}

// weightedLoss is a group of requests that earned less than they could, and how much less.
type weightedLoss struct {
	category, detail string
	weight           float64
	count            int
}

// distribute splits a loss by weights.
func distribute(add func(category, detail string, lost, count float64), prefix string, lost float64, list []weightedLoss) {
	total := 0.0
	for _, w := range list {
		total += w.weight
	}
	for _, w := range list {
		if total > 0 {
			add(prefix+w.category, w.detail, lost*w.weight/total, float64(w.count))
		}
	}
}

// lossByClass weighs what kinds of requests lost over the whole day.
func (r *Report) lossByClass(credits map[string]Credit) []weightedLoss {
	var list []weightedLoss
	for _, c := range r.Classes {
		credit, ok := credits[c.Name]
		if !ok {
			credit = Credit{InTime: 1}
		}
		list = append(list, c.weightedLosses(c.Name, credit)...)
	}
	return list
}

// worstWindows is how many windows count as the worst ones.
const worstWindows = 2

// lossByWindow weighs what the worst windows lost. Their tallies do not tell kinds apart.
func (r *Report) lossByWindow() []weightedLoss {
	windows := slices.Clone(r.Windows)
	slices.SortFunc(windows, func(a, b OutcomeCounts) int { return cmp.Compare(a.Score, b.Score) })
	var list []weightedLoss
	for _, w := range windows[:min(worstWindows, len(windows))] {
		losses := w.weightedLosses("from "+w.Name+" s ("+r.eventsDuring(w.Name)+")", Credit{InTime: 1, Late: 0.1})
		total := 0.0
		for _, l := range losses {
			total += l.weight
		}
		for i := range losses {
			losses[i].weight *= (1 - w.Score) / total
		}
		list = append(list, losses...)
	}
	return list
}

// eventsDuring names what happened in the two seconds from a second on.
func (r *Report) eventsDuring(second string) string {
	var start float64
	if _, err := fmt.Sscan(second, &start); err != nil {
		return ""
	}
	text := ""
	for _, e := range r.Events {
		if e.From < start+2 && e.To > start {
			if text != "" {
				text += ", "
			}
			text += e.Kind
		}
	}
	return cmp.Or(text, "nothing")
}

// weightedLosses weighs the requests of a tally that earned less than they could.
func (t OutcomeCounts) weightedLosses(category string, credit Credit) []weightedLoss {
	var list []weightedLoss
	for _, w := range []weightedLoss{
		{category, "late", float64(t.Late) * (credit.InTime - credit.Late), t.Late},
		{category, "refused", float64(t.Refused) * credit.InTime, t.Refused},
		{category, "failed", float64(t.Failed) * credit.InTime, t.Failed},
	} {
		if w.count > 0 {
			list = append(list, w)
		}
	}
	return list
}
