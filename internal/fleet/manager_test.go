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

// testRegion is a simulated region: a table, a cloud and upstreams.
type testRegion struct {
	t           *testing.T
	now         time.Time
	table       *platform.MemoryTable
	vms         []cloud.VM
	checkFences bool              // upstreams refuse old fencing tokens
	fences      map[string]int64  // highest fencing token seen, by address of the upstream
	loaded      map[string]string // model version, by address of the upstream
	refuseStart func(cloud.StartRequest) bool
	stopped     []string
	beforeOrder func(o Order) // called once, before the next order arrives
}

func newTestRegion(t *testing.T, checkFences bool) *testRegion {
	return &testRegion{t: t, now: time.UnixMilli(1e12), table: platform.NewMemoryTable(), checkFences: checkFences,
		fences: map[string]int64{}, loaded: map[string]string{}, refuseStart: func(cloud.StartRequest) bool { return false }}
}

// VMs implements Cloud.
func (r *testRegion) VMs(context.Context) ([]cloud.VM, error) { return r.vms, nil }

// Offers implements Cloud.
func (r *testRegion) Offers(context.Context) ([]cloud.Offer, error) { return offers, nil }

// Start implements Cloud.
func (r *testRegion) Start(_ context.Context, s cloud.StartRequest) (cloud.VM, error) {
	if r.refuseStart(s) {
		return cloud.VM{}, cloud.ErrNoCapacity
	}
	vm := cloud.VM{ID: s.Token, Name: s.Name, Role: cloud.RoleUpstream, Service: s.Service, Zone: s.Zone, VMClass: s.VMClass, Address: s.Name}
	r.vms = append(r.vms, vm)
	return vm, nil
}

// Stop implements Cloud.
func (r *testRegion) Stop(_ context.Context, id string) error {
	r.stopped = append(r.stopped, id)
	return nil
}

func (r *testRegion) send(_ context.Context, address string, o Order) error {
	if f := r.beforeOrder; f != nil {
		r.beforeOrder = nil
		f(o)
	}
	if r.checkFences && o.Fence < r.fences[address] {
		return ErrFenced
	}
	r.fences[address] = max(r.fences[address], o.Fence)
	r.loaded[address] = o.Version
	return nil
}

func (r *testRegion) manager(name string) *Manager {
	clock := func() time.Time { return r.now }
	return NewManager(NewDuty(name, "r", r.table), r.table, r, r.send, clock, hclog.NewNullLogger())
}

// snapshot returns a manifest with one service, whose floor is two upstreams and
// whose template has the model version, and the upstreams on all VMs.
func (r *testRegion) snapshot(version string) Snapshot {
	m := &manifest.Manifest{
		Services:  []manifest.Service{{Name: "s", Floor: 2}},
		VMClasses: classes,
		Fleet: &manifest.Fleet{MaxUpstreams: 8, MaxPerHour: 100, MaxReclaimableShare: 1, WeightLoads: 10,
			Templates: []manifest.Template{{Service: "s", Slots: 4, Version: version}}},
	}
	return Snapshot{Active: manifest.NewActive(1, m), Upstreams: func(string) []Upstream {
		var out []Upstream
		for _, vm := range r.vms {
			out = append(out, Upstream{Name: vm.Name, Zone: vm.Zone, VMClass: vm.VMClass, Slots: 4})
		}
		return out
	}}
}

// run steps m every second for d and returns the last error.
func (r *testRegion) run(m *Manager, version string, d time.Duration) error {
	var err error
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(time.Second) {
		err = m.Step(r.t.Context(), r.now, r.snapshot(version))
	}
	return err
}

func TestHolderSpreadsFloorOverZones(t *testing.T) {
	r := newTestRegion(t, true)
	r.refuseStart = func(s cloud.StartRequest) bool { return s.Zone == "a" }
	assert.NilError(t, r.run(r.manager("d1"), "v1", time.Minute))
	zones := map[string]bool{}
	for _, vm := range r.vms {
		zones[vm.Zone] = true
		assert.Equal(t, r.loaded[vm.Address], "v1")
	}
	assert.Assert(t, len(r.vms) >= 2 && zones["b"] && zones["c"] && !zones["a"], "VMs of the fleet: %v", r.vms)
}

func TestOneHolderAtATime(t *testing.T) {
	r := newTestRegion(t, true)
	var all []*Manager
	for i := range 5 {
		all = append(all, r.manager(fmt.Sprintf("d%d", i)))
	}
	for range 120 {
		r.now = r.now.Add(time.Second)
		holders := 0
		for _, m := range all {
			_ = m.Step(t.Context(), r.now, r.snapshot("v1"))
			if m.Duty.Remaining(r.now) > 0 {
				holders++
			}
		}
		assert.Assert(t, holders <= 1)
	}
	assert.Equal(t, all[0].Duty.State(), Holding)
}

// TestPausedHolderIsOverruled pauses a holder between its check of the remaining
// lease and the arrival of its order, for longer than its lease, so that its stale
// order arrives after another daemon has taken over. Upstreams that check fencing
// tokens refuse the order; the others get the new holder's target again.
func TestPausedHolderIsOverruled(t *testing.T) {
	for _, checkFences := range []bool{true, false} {
		t.Run(fmt.Sprintf("check_fences=%t", checkFences), func(t *testing.T) {
			r := newTestRegion(t, checkFences)
			old, successor := r.manager("old"), r.manager("new")
			assert.NilError(t, r.run(old, "v1", time.Minute))
			// "old" orders v2 and is paused; "new" takes over and orders v3.
			var wasPaused string
			r.beforeOrder = func(Order) {
				assert.NilError(t, r.run(successor, "v3", time.Minute))
				assert.Equal(t, successor.Duty.State(), Holding)
				wasPaused = "yes"
			}
			err := old.Step(t.Context(), r.now, r.snapshot("v2"))
			assert.Equal(t, wasPaused, "yes")
			assert.Assert(t, err != nil) // refused by the upstream, or by the table at its next commit
			assert.NilError(t, r.run(successor, "v3", 2*resendInterval))
			for _, vm := range r.vms {
				assert.Equal(t, r.loaded[vm.Address], "v3")
			}
			assert.Equal(t, len(r.stopped), 0)
			_ = old.Step(t.Context(), r.now, r.snapshot("v2"))
			assert.Equal(t, old.Duty.Remaining(r.now), time.Duration(0))
		})
	}
}

func TestResumedHolderCannotStopVM(t *testing.T) {
	r := newTestRegion(t, false)
	old, successor := r.manager("old"), r.manager("new")
	assert.NilError(t, r.run(old, "v1", time.Minute))
	assert.NilError(t, r.run(successor, "v1", time.Minute))
	tmpl := r.snapshot("v1").Active.Fleet.Templates[0]
	err := old.stopVM(t.Context(), &tmpl, r.vms[0].ID, r.vms)
	assert.ErrorIs(t, err, ErrNotHolder)
	old.Duty.leaseEnd = r.now.Add(time.Hour) // even if its clock had stopped
	err = old.stopVM(t.Context(), &tmpl, r.vms[0].ID, r.vms)
	assert.ErrorIs(t, err, ErrNotHolder)
	assert.Equal(t, len(r.stopped), 0)
}

// TestReplacesReclaimedOnceStartsSucceed reclaims two thirds of the upstreams at
// once while the cloud refuses every start, and the holder fails meanwhile. It
// checks that refused starts are retried with backoff and that the fleet recovers.
func TestReplacesReclaimedOnceStartsSucceed(t *testing.T) {
	r := newTestRegion(t, true)
	first, second := r.manager("first"), r.manager("second")
	assert.NilError(t, r.run(first, "v1", time.Minute))
	n := len(r.vms)
	r.vms = r.vms[:n/3]
	attempts := 0
	r.refuseStart = func(cloud.StartRequest) bool { attempts++; return true }
	_ = r.run(first, "v1", 20*time.Second)
	_ = r.run(second, "v1", 5*time.Minute)
	assert.Assert(t, attempts > 0 && attempts < 200, "%d starts attempted", attempts) // limited by the backoff
	assert.Equal(t, len(r.vms), n/3)
	r.refuseStart = func(cloud.StartRequest) bool { return false }
	assert.NilError(t, r.run(second, "v1", 11*time.Minute))
	assert.Equal(t, len(r.vms), n)
}

// TestCountsListedUpstreamBeforeItJoins checks that an upstream whose VM is listed
// but which has not joined yet counts as usable. Otherwise the planner would start
// another one in each step.
func TestCountsListedUpstreamBeforeItJoins(t *testing.T) {
	r := newTestRegion(t, true)
	m := r.manager("d1")
	s := r.snapshot("v1")
	s.Upstreams = func(string) []Upstream { return nil }
	for range 60 {
		r.now = r.now.Add(time.Second)
		assert.NilError(t, m.Step(t.Context(), r.now, s))
	}
	assert.Equal(t, len(r.vms), 3) // the floor of two, and one more in case a zone is lost
}
