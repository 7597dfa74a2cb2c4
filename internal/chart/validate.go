package chart

import (
	"slices"

	"github.com/pkg/errors"
)

// validate checks the rules that Load documents.
func (d *definition) validate() error {
	if !slices.Contains(d.States, d.Initial) {
		return errors.Errorf("initial state %q is not listed", d.Initial)
	}
	if err := d.validateTransitions(); err != nil {
		return err
	}
	reached := d.reachable()
	for _, s := range d.States {
		if !reached[s] {
			return errors.Errorf("state %q is not reachable", s)
		}
		if d.hasOutgoing(s) == slices.Contains(d.Final, s) {
			return errors.Errorf("state %q must either be final or have an outgoing transition", s)
		}
	}
	return nil
}

func (d *definition) validateTransitions() error {
	for i, t := range d.Transitions {
		if !slices.Contains(d.States, t.From) || !slices.Contains(d.States, t.To) {
			return errors.Errorf("transition %s from %q to %q has a state that is not listed", t.Event, t.From, t.To)
		}
		for _, u := range d.Transitions[:i] {
			if t.From == u.From && t.Event == u.Event {
				return errors.Errorf("state %q has two transitions for event %s", t.From, t.Event)
			}
		}
	}
	return nil
}

// reachable returns the states that can be reached from the initial one.
func (d *definition) reachable() map[State]bool {
	reached := map[State]bool{d.Initial: true}
	for changed := true; changed; {
		changed = false
		for _, t := range d.Transitions {
			if reached[t.From] && !reached[t.To] {
				reached[t.To] = true
				changed = true
			}
		}
	}
	return reached
}

func (d *definition) hasOutgoing(s State) bool {
	return slices.ContainsFunc(d.Transitions, func(t transition) bool { return t.From == s })
}
