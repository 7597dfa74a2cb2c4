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
	Worth   float64 `json:"G"`
	Parts   []Part  `json:"parts"`
	Prices  []Price `json:"prices"`
	Classes []Tally `json:"classes"`
	Windows []Tally `json:"windows"` // named by the second in which they begin
	Events  []Event `json:"events"`
}

// Part is a part of the worth: a weight and the share of credit earned there.
type Part struct {
	Name   string
	Weight float64
	Earned float64
}

// Price is what is taken off for something used.
type Price struct {
	Name   string
	Amount float64
	Cost   float64
}

// Tally counts the requests of a kind or a window.
type Tally struct {
	Name    string  `json:"name"`
	N       int     `json:"n"`
	InTime  int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	NotOwed int     `json:"not_owed"`
	Worth   float64 `json:"worth"`
}

// Event is something that happened to the deployment.
type Event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
	What string  `json:"what"`
}

// Credit is what an answer of a kind of request earns.
type Credit struct{ InTime, Late float64 }

// UnmarshalJSON reads [name, weight, earned].
func (p *Part) UnmarshalJSON(data []byte) error {
	return tuple(data, &p.Name, &p.Weight, &p.Earned)
}

// UnmarshalJSON reads [name, amount, cost].
func (p *Price) UnmarshalJSON(data []byte) error {
	return tuple(data, &p.Name, &p.Amount, &p.Cost)
}

// tuple reads the first values of a JSON list.
func tuple(data []byte, into ...any) error {
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	if len(list) < len(into) {
		return errors.Errorf("%d values, want %d", len(list), len(into))
	}
	for i, v := range into {
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
	if len(out.Parts) == 0 {
		return nil, errors.New("report names no parts of the worth")
	}
	return &out, nil
}

// Row is a part of what is missing.
type Row struct {
	Where string
	What  string
	Lost  float64 // of the worth
	Count float64 // requests, or what was paid for
}

// Rows splits what is missing from a worth of 1. The rows add up to it.
func (r *Report) Rows(credits map[string]Credit) []Row {
	var rows []Row
	sum := 0.0
	add := func(where, what string, lost, count float64) {
		if lost != 0 {
			rows = append(rows, Row{where, what, lost, count})
			sum += lost
		}
	}
	for _, p := range r.Parts {
		missing := p.Weight * (1 - p.Earned)
		switch p.Name {
		case "whole day":
			share(add, p.Name+", ", missing, r.byClass(credits))
		case "worst windows":
			share(add, p.Name+", ", missing, r.byWindow())
		default:
			add(p.Name, "", missing, 0)
		}
	}
	for _, p := range r.Prices {
		add("price", p.Name, p.Cost, p.Amount)
	}
	add("rounding", "", 1-r.Worth-sum, 0)
	return rows
}

// weighed is a group of requests that earned less than they could, and how much less.
type weighed struct {
	where, what string
	weight      float64
	count       int
}

// share splits a loss by weights.
func share(add func(where, what string, lost, count float64), prefix string, lost float64, list []weighed) {
	total := 0.0
	for _, w := range list {
		total += w.weight
	}
	for _, w := range list {
		if total > 0 {
			add(prefix+w.where, w.what, lost*w.weight/total, float64(w.count))
		}
	}
}

// byClass weighs what kinds of requests lost over the whole day.
func (r *Report) byClass(credits map[string]Credit) []weighed {
	var list []weighed
	for _, c := range r.Classes {
		credit, ok := credits[c.Name]
		if !ok {
			credit = Credit{InTime: 1}
		}
		list = append(list, c.lost(c.Name, credit)...)
	}
	return list
}

// worstWindows is how many windows count as the worst ones.
const worstWindows = 2

// byWindow weighs what the worst windows lost. Their tallies do not tell kinds apart.
func (r *Report) byWindow() []weighed {
	windows := slices.Clone(r.Windows)
	slices.SortFunc(windows, func(a, b Tally) int { return cmp.Compare(a.Worth, b.Worth) })
	var list []weighed
	for _, w := range windows[:min(worstWindows, len(windows))] {
		lost := w.lost("from "+w.Name+" s ("+r.during(w.Name)+")", Credit{InTime: 1, Late: 0.1})
		total := 0.0
		for _, l := range lost {
			total += l.weight
		}
		for i := range lost {
			lost[i].weight *= (1 - w.Worth) / total
		}
		list = append(list, lost...)
	}
	return list
}

// during names what happened in the two seconds from a second on.
func (r *Report) during(second string) string {
	var from float64
	if _, err := fmt.Sscan(second, &from); err != nil {
		return ""
	}
	text := ""
	for _, e := range r.Events {
		if e.From < from+2 && e.To > from {
			if text != "" {
				text += ", "
			}
			text += e.Kind
		}
	}
	return cmp.Or(text, "nothing")
}

// lost weighs the requests of a tally that earned less than they could.
func (t Tally) lost(where string, c Credit) []weighed {
	var list []weighed
	for _, w := range []weighed{
		{where, "late", float64(t.Late) * (c.InTime - c.Late), t.Late},
		{where, "refused", float64(t.Refused) * c.InTime, t.Refused},
		{where, "failed", float64(t.Failed) * c.InTime, t.Failed},
	} {
		if w.count > 0 {
			list = append(list, w)
		}
	}
	return list
}
