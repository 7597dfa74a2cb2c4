// Package losses analyzes why a day of the users' bench scored less than 1. From the bench's
// report it splits the loss by score component, time window, class of requests and penalty;
// from the daemons' logs it counts the reasons for which requests were not answered in time.
package losses

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// Report is the result of one day, as the users' bench writes it (run --report).
type Report struct {
	Score      float64         `json:"G"`
	Components []Component     `json:"parts"`
	Penalties  []Penalty       `json:"prices"`
	Classes    []OutcomeCounts `json:"classes"`
	Windows    []OutcomeCounts `json:"windows"` // named by their start in seconds
	Events     []Event         `json:"events"`
}

// Component is a weighted part of the score.
type Component struct {
	Name   string
	Weight float64
	Earned float64 // fraction of the credit that was earned
}

// Penalty is subtracted from the score for the use of a resource.
type Penalty struct {
	Name   string
	Amount float64 // units used
	Cost   float64 // subtracted from the score
}

// OutcomeCounts counts the requests of a class or a time window by outcome.
type OutcomeCounts struct {
	Name    string  `json:"name"`
	Total   int     `json:"n"`
	InTime  int     `json:"in_aim"` // within the latency target
	Late    int     `json:"late"`   // after the latency target
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Exempt  int     `json:"not_owed"` // do not count in the score
	Score   float64 `json:"worth"`    // fraction of the credit that was earned
}

// Event is something that happened to the deployment, such as a reclaim of VMs.
type Event struct {
	From   float64 `json:"at_s"` // seconds since the start of the day
	To     float64 `json:"to_s"`
	Kind   string  `json:"kind"`
	Detail string  `json:"what"`
}

// Credit is the credit toward the score that a response to a request of one class
// earns, within the latency target (InTime) or after it.
type Credit struct{ InTime, Late float64 }

// UnmarshalJSON decodes the list [name, weight, earned].
func (p *Component) UnmarshalJSON(data []byte) error {
	return decodeTuple(data, &p.Name, &p.Weight, &p.Earned)
}

// UnmarshalJSON decodes the list [name, amount, cost].
func (p *Penalty) UnmarshalJSON(data []byte) error {
	return decodeTuple(data, &p.Name, &p.Amount, &p.Cost)
}

// decodeTuple decodes the first values of a JSON list into fields and ignores the rest.
func decodeTuple(data []byte, fields ...any) error {
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	if len(list) < len(fields) {
		return errors.Errorf("list of a score component or score penalty has %d values, want at least %d", len(list), len(fields))
	}
	for i, v := range fields {
		if err := json.Unmarshal(list[i], v); err != nil {
			return errors.Wrapf(err, "decode value %d of score component or score penalty", i+1)
		}
	}
	return nil
}

// ReadReport decodes a report. A report without components is an error.
func ReadReport(r io.Reader) (*Report, error) {
	var out Report
	if err := json.NewDecoder(r).Decode(&out); err != nil {
		return nil, errors.Wrap(err, "decode JSON")
	}
	if len(out.Components) == 0 {
		return nil, errors.New("report has no parts (score components)")
	}
	return &out, nil
}

// Loss is an amount by which the score is below 1, and its cause.
type Loss struct {
	Category string  // score component with class or window, "price" for a penalty, or "rounding"
	Detail   string  // outcome of the requests, or name of the penalty; may be empty
	Lost     float64 // points of the score
	Count    float64 // requests, or units that the penalty charges for; 0 if not known
}

// Breakdown splits the difference between 1 and the score. The losses add up to it; the last
// one is the rounding error of the report. credits maps class names to credits; a request
// of a class that is not in it earns 1 in time and 0 late.
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

// weightedLoss is a group of requests with the same outcome. The weight is proportional to
// the credit that they lost.
type weightedLoss struct {
	category, detail string
	weight           float64
	count            int
}

// distribute splits the loss of one component in proportion to the weights and passes each
// part to add.
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

// lossByClass returns the losses of each class of requests over the whole day.
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

// worstWindows is the number of windows, those with the lowest scores, among which the loss of
// the component "worst windows" is split.
const worstWindows = 2

// lossByWindow returns the losses of the windows with the lowest scores. The counts of a window
// are not split by class, so all classes get the same credit.
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

// eventsDuring returns the kinds of the events that overlap the two seconds from the given
// second on, or "nothing".
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

// weightedLosses returns the requests that earned less than full credit, by outcome.
func (o OutcomeCounts) weightedLosses(category string, credit Credit) []weightedLoss {
	var list []weightedLoss
	for _, w := range []weightedLoss{
		{category, "late", float64(o.Late) * (credit.InTime - credit.Late), o.Late},
		{category, "refused", float64(o.Refused) * credit.InTime, o.Refused},
		{category, "failed", float64(o.Failed) * credit.InTime, o.Failed},
	} {
		if w.count > 0 {
			list = append(list, w)
		}
	}
	return list
}
