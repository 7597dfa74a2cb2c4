package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
)

// world is a region with one table, one cloud and engines.
type world struct {
	t       *testing.T
	now     time.Time
	table   *platform.Memory
	vms     []cloud.VM
	checks  bool              // engines refuse old fencing numbers
	fences  map[string]int64  // highest that an engine has seen
	loaded  map[string]string // version by engine's address
	refuse  func(cloud.Start) bool
	stopped []string
	before  func(o Order) // called once before an order arrives
}

func newWorld(t *testing.T, checks bool) *world {
	return &world{t: t, now: time.UnixMilli(1e12), table: platform.NewMemory(), checks: checks,
		fences: map[string]int64{}, loaded: map[string]string{}, refuse: func(cloud.Start) bool { return false }}
}

// VMs implements Cloud.
func (w *world) VMs(context.Context) ([]cloud.VM, error) { return w.vms, nil }

// Offers implements Cloud.
func (w *world) Offers(context.Context) ([]cloud.Offer, error) { return offers, nil }

// Start implements Cloud.
func (w *world) Start(_ context.Context, s cloud.Start) (cloud.VM, error) {
	if w.refuse(s) {
		return cloud.VM{}, cloud.ErrRefused
	}
	vm := cloud.VM{ID: s.Token, Name: s.Name, Role: cloud.RoleUpstream, Service: s.Service, Zone: s.Zone, VMClass: s.VMClass, Address: s.Name}
	w.vms = append(w.vms, vm)
	return vm, nil
}

// Stop implements Cloud.
func (w *world) Stop(_ context.Context, id string) error {
	w.stopped = append(w.stopped, id)
	return nil
}

func (w *world) send(_ context.Context, address string, o Order) error {
	if f := w.before; f != nil {
		w.before = nil
		f(o)
	}
	if w.checks && o.Fence < w.fences[address] {
		return ErrFenced
	}
	w.fences[address] = max(w.fences[address], o.Fence)
	w.loaded[address] = o.Version
	return nil
}

func (w *world) manager(name string) *Manager {
	clock := func() time.Time { return w.now }
	return NewManager(NewDuty(name, "r", w.table), w.table, w, w.send, clock, hclog.NewNullLogger())
}

// state declares one service with a floor of two and a template of the version.
func (w *world) state(version string) State {
	m := &manifest.Manifest{
		Services:  []manifest.Service{{Name: "s", Floor: 2}},
		VMClasses: classes,
		Fleet: &manifest.Fleet{MaxUpstreams: 8, MaxPerHour: 100, MaxReclaimableShare: 1, WeightLoads: 10,
			Templates: []manifest.Template{{Service: "s", Slots: 4, Version: version}}},
	}
	return State{Active: manifest.NewActive(1, m), Runners: func(string) []Runner {
		var out []Runner
		for _, vm := range w.vms {
			out = append(out, Runner{Name: vm.Name, Zone: vm.Zone, VMClass: vm.VMClass, Slots: 4})
		}
		return out
	}}
}

// run steps m every second for d and returns the last error.
func (w *world) run(m *Manager, version string, d time.Duration) error {
	var err error
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(time.Second) {
		err = m.Step(w.t.Context(), w.now, w.state(version))
	}
	return err
}

func TestHolderStartsTheFloorSpreadOverZones(t *testing.T) {
	w := newWorld(t, true)
	w.refuse = func(s cloud.Start) bool { return s.Zone == "a" }
	assert.NilError(t, w.run(w.manager("d1"), "v1", time.Minute))
	zones := map[string]bool{}
	for _, vm := range w.vms {
		zones[vm.Zone] = true
		assert.Equal(t, w.loaded[vm.Address], "v1")
	}
	assert.Assert(t, len(w.vms) >= 2 && zones["b"] && zones["c"] && !zones["a"], "%v", w.vms)
}

func TestOnlyOneOfManyHoldsTheDuty(t *testing.T) {
	w := newWorld(t, true)
	var all []*Manager
	for i := range 5 {
		all = append(all, w.manager(fmt.Sprintf("d%d", i)))
	}
	for range 120 {
		w.now = w.now.Add(time.Second)
		holders := 0
		for _, m := range all {
			_ = m.Step(t.Context(), w.now, w.state("v1"))
			if m.Duty.Left(w.now) > 0 {
				holders++
			}
		}
		assert.Assert(t, holders <= 1)
	}
	assert.Equal(t, all[0].Duty.State(), Holding)
}

// TestPausedHolderDoesNoLastingHarm pauses a holder between its check of the
// time left and the arrival of its order, for longer than its lease.
func TestPausedHolderDoesNoLastingHarm(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines check=%t", checks), func(t *testing.T) {
			w := newWorld(t, checks)
			old, successor := w.manager("old"), w.manager("new")
			assert.NilError(t, w.run(old, "v1", time.Minute))
			// "old" orders v2 and sleeps; "new" takes over and orders v3.
			var paused string
			w.before = func(Order) {
				assert.NilError(t, w.run(successor, "v3", time.Minute))
				assert.Equal(t, successor.Duty.State(), Holding)
				paused = "yes"
			}
			err := old.Step(t.Context(), w.now, w.state("v2"))
			assert.Equal(t, paused, "yes")
			assert.Assert(t, err != nil) // fenced by the engine, or by the table at its next decision
			assert.NilError(t, w.run(successor, "v3", 2*assertEvery))
			for _, vm := range w.vms {
				assert.Equal(t, w.loaded[vm.Address], "v3")
			}
			assert.Equal(t, len(w.stopped), 0)
			_ = old.Step(t.Context(), w.now, w.state("v2"))
			assert.Equal(t, old.Duty.Left(w.now), time.Duration(0))
		})
	}
}

func TestHolderThatWakesUpCannotStopAVM(t *testing.T) {
	w := newWorld(t, false)
	old, successor := w.manager("old"), w.manager("new")
	assert.NilError(t, w.run(old, "v1", time.Minute))
	assert.NilError(t, w.run(successor, "v1", time.Minute))
	tmpl := w.state("v1").Active.Fleet.Templates[0]
	err := old.stop(t.Context(), &tmpl, w.vms[0].ID, w.vms)
	assert.ErrorIs(t, err, ErrNotHolder)
	old.Duty.until = w.now.Add(time.Hour) // even if its clock stood still
	err = old.stop(t.Context(), &tmpl, w.vms[0].ID, w.vms)
	assert.ErrorIs(t, err, ErrNotHolder)
	assert.Equal(t, len(w.stopped), 0)
}

// TestWaveIsMadeUpForOnceStartsAreGranted reclaims two thirds of the runners at
// once while every start is refused, and lets the holder die in the middle.
func TestWaveIsMadeUpForOnceStartsAreGranted(t *testing.T) {
	w := newWorld(t, true)
	first, second := w.manager("first"), w.manager("second")
	assert.NilError(t, w.run(first, "v1", time.Minute))
	n := len(w.vms)
	w.vms = w.vms[:n/3]
	attempts := 0
	w.refuse = func(cloud.Start) bool { attempts++; return true }
	_ = w.run(first, "v1", 20*time.Second)
	_ = w.run(second, "v1", 5*time.Minute)
	assert.Assert(t, attempts > 0 && attempts < 200, "%d starts were tried", attempts) // back-off
	assert.Equal(t, len(w.vms), n/3)
	w.refuse = func(cloud.Start) bool { return false }
	assert.NilError(t, w.run(second, "v1", 11*time.Minute))
	assert.Equal(t, len(w.vms), n)
}

// TestListedRunnerThatHasNotJoinedYetIsCounted keeps started runners out of the
// daemon's own view for a while after the list of VMs shows them.
func TestListedRunnerThatHasNotJoinedYetIsCounted(t *testing.T) {
	w := newWorld(t, true)
	m := w.manager("d1")
	s := w.state("v1")
	s.Runners = func(string) []Runner { return nil }
	for range 60 {
		w.now = w.now.Add(time.Second)
		assert.NilError(t, m.Step(t.Context(), w.now, s))
	}
	assert.Equal(t, len(w.vms), 3) // the floor of two and one for the loss of a zone
}
