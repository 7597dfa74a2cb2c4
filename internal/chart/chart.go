// Package chart interprets the state charts of requests, lots, upstreams,
// daemons and the fleet duty.
//
// A chart is a file in charts/ and lists its states and the events that each
// allows. An event that a state does not allow is an error with the step and
// the peer at which it arose.
package chart

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/pkg/errors"
	"github.com/qmuntal/stateless"

	"github.com/lagoonmux/lagoonmux/charts"
)

// State is a state of a chart.
type State string

// Event is something that may move a chart from one state to another.
type Event string

// TransitionError is an event that the state does not allow.
type TransitionError struct {
	Chart string
	State State
	Event Event
	Step  string // of the program at which the event arose
	Peer  string // from which the event came; empty for this daemon
}

// Error formats all fields.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("step=%s peer=%s: chart %s does not allow event %s in state %s", e.Step, e.Peer, e.Chart, e.Event, e.State)
}

// Chart is a checked state chart. It is immutable and may be used from any
// goroutine.
type Chart struct {
	name    string
	initial State
	final   []State
	states  []State
	machine *stateless.StateMachine // keeps no state of its own
}

// definition is the content of a chart file.
type definition struct {
	Name        string       `json:"name"`
	Initial     State        `json:"initial"`
	Final       []State      `json:"final"`
	States      []State      `json:"states"`
	Transitions []transition `json:"transitions"`
}

type transition struct {
	From  State `json:"from"`
	Event Event `json:"event"`
	To    State `json:"to"`
}

// Load returns the chart charts/name.json. It returns an error if the file is
// missing or breaks a rule: every transition joins listed states, no state has
// two transitions for one event, every state can be reached, and only final
// states have no way out.
func Load(name string) (*Chart, error) {
	data, err := charts.Files.ReadFile(name + ".json")
	if err != nil {
		return nil, errors.Wrapf(err, "load chart %s", name)
	}
	return parse(data)
}

// MustLoad is Load for charts that the program is built with. It panics on an
// error.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

func parse(data []byte) (*Chart, error) {
	var d definition
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, errors.Wrap(err, "decode chart")
	}
	if err := d.validate(); err != nil {
		return nil, errors.Wrapf(err, "chart %s", d.Name)
	}
	c := &Chart{name: d.Name, initial: d.Initial, final: d.Final, states: d.States}
	c.machine = stateless.NewStateMachineWithExternalStorage(loadState, storeState, stateless.FiringImmediate)
	for _, t := range d.Transitions {
		if t.From == t.To {
			c.machine.Configure(t.From).PermitReentry(t.Event)
			continue
		}
		c.machine.Configure(t.From).Permit(t.Event, t.To)
	}
	return c, nil
}

// stateKey is the context key under which an event carries the state that it
// acts on.
type stateKey struct{}

func loadState(ctx context.Context) (stateless.State, error) {
	return *ctx.Value(stateKey{}).(*State), nil
}

func storeState(ctx context.Context, s stateless.State) error {
	*ctx.Value(stateKey{}).(*State) = s.(State)
	return nil
}

// Initial returns the state in which the chart begins.
func (c *Chart) Initial() State { return c.initial }

// IsFinal tells whether s is a state in which nothing more happens.
func (c *Chart) IsFinal(s State) bool { return slices.Contains(c.final, s) }

// HasState tells whether s is a state of the chart.
func (c *Chart) HasState(s State) bool { return slices.Contains(c.states, s) }

// Next returns the state that follows when event e meets state s. The error is
// an *Error when s does not allow e; step and peer are for that error only.
func (c *Chart) Next(s State, e Event, step, peer string) (State, error) {
	current := s
	ctx := context.WithValue(context.Background(), stateKey{}, &current)
	if err := c.machine.FireCtx(ctx, e); err != nil {
		return s, &TransitionError{Chart: c.name, State: s, Event: e, Step: step, Peer: peer}
	}
	return current, nil
}

// Machine is one thing that moves through a chart. It is not safe for
// concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// Start returns a machine in the initial state.
func (c *Chart) Start() *Machine { return &Machine{chart: c, state: c.initial} }

// Resume returns a machine in state s.
func (c *Chart) Resume(s State) *Machine { return &Machine{chart: c, state: s} }

// State returns the state that the machine is in.
func (m *Machine) State() State { return m.state }

// Fire moves the machine by event e, or returns an *Error and leaves it.
func (m *Machine) Fire(e Event, step, peer string) error {
	next, err := m.chart.Next(m.state, e, step, peer)
	if err != nil {
		return err
	}
	m.state = next
	return nil
}
