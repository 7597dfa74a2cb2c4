// Package chart runs the state machines of requests, lots, upstreams, daemons and
// the fleet duty.
//
// Each state machine is defined by a state chart, a file in charts/ that lists its
// states and the transition for each event that a state allows. An event that the
// current state does not allow is a TransitionError.
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

// Event triggers a transition from one state to another, or to the same.
type Event string

// TransitionError is returned for an event that the current state does not allow.
type TransitionError struct {
	Chart string
	State State
	Event Event
	Step  string // operation of this daemon in which the event occurred
	Peer  string // peer that caused the event; empty for this daemon
}

// Error returns a message with all fields.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("step=%s peer=%s: chart %s does not allow event %s in state %s", e.Step, e.Peer, e.Chart, e.Event, e.State)
}

// Chart is a valid state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name         string
	initial      State
	final        []State
	states       []State
	stateMachine *stateless.StateMachine // holds no state: takes it from the context
}

// definition is the JSON content of a chart file.
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

// Load returns the chart in charts/name.json. It returns an error if the file is
// missing or invalid: the initial state and the states of all transitions must be
// listed, no state may have two transitions for one event, every state must be
// reachable, and exactly the final states must have no outgoing transition.
func Load(name string) (*Chart, error) {
	data, err := charts.Files.ReadFile(name + ".json")
	if err != nil {
		return nil, errors.Wrapf(err, "load state chart %s", name)
	}
	return parse(data)
}

// MustLoad is like Load but panics on an error, for charts that the program needs.
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
		return nil, errors.Wrap(err, "decode state chart")
	}
	if err := d.validate(); err != nil {
		return nil, errors.Wrapf(err, "validate state chart %s", d.Name)
	}
	c := &Chart{name: d.Name, initial: d.Initial, final: d.Final, states: d.States}
	c.stateMachine = stateless.NewStateMachineWithExternalStorage(loadState, storeState, stateless.FiringImmediate)
	for _, t := range d.Transitions {
		if t.From == t.To {
			c.stateMachine.Configure(t.From).PermitReentry(t.Event)
			continue
		}
		c.stateMachine.Configure(t.From).Permit(t.Event, t.To)
	}
	return c, nil
}

// stateKey is the context key of a pointer to the state on which an event acts.
type stateKey struct{}

func loadState(ctx context.Context) (stateless.State, error) {
	return *ctx.Value(stateKey{}).(*State), nil
}

func storeState(ctx context.Context, s stateless.State) error {
	*ctx.Value(stateKey{}).(*State) = s.(State)
	return nil
}

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.initial }

// IsFinal reports whether s is a final state, which allows no event.
func (c *Chart) IsFinal(s State) bool { return slices.Contains(c.final, s) }

// HasState reports whether s is a state of the chart.
func (c *Chart) HasState(s State) bool { return slices.Contains(c.states, s) }

// Next returns the state that follows state s on event e. If s does not allow e, it
// returns s and a *TransitionError; step and peer are used only in that error.
func (c *Chart) Next(s State, e Event, step, peer string) (State, error) {
	current := s
	ctx := context.WithValue(context.Background(), stateKey{}, &current)
	if err := c.stateMachine.FireCtx(ctx, e); err != nil {
		return s, &TransitionError{Chart: c.name, State: s, Event: e, Step: step, Peer: peer}
	}
	return current, nil
}

// Machine is an instance of a chart with its current state. It is not safe for
// concurrent use.
type Machine struct {
	chart *Chart
	state State
}

// Start returns a machine in the initial state.
func (c *Chart) Start() *Machine { return &Machine{chart: c, state: c.initial} }

// Resume returns a machine in state s.
func (c *Chart) Resume(s State) *Machine { return &Machine{chart: c, state: s} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Fire makes the transition for event e. If the current state does not allow e, it
// keeps the state and returns a *TransitionError.
func (m *Machine) Fire(e Event, step, peer string) error {
	next, err := m.chart.Next(m.state, e, step, peer)
	if err != nil {
		return err
	}
	m.state = next
	return nil
}
