package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
)

const (
	namePrefix   = "fleet-"         // of the upstreams that the fleet starts
	listPatience = 2 * time.Minute  // after which a started VM that is not listed is given up
	assertEvery  = 15 * time.Second // between two repetitions of a target to one engine
	maxWanted    = 1000             // targets read when the duty is taken
)

// Cloud buys and returns VMs. *cloud.Client implements it.
type Cloud interface {
	VMs(ctx context.Context) ([]cloud.VM, error)
	Offers(ctx context.Context) ([]cloud.Offer, error)
	Start(ctx context.Context, s cloud.StartRequest) (cloud.VM, error)
	Stop(ctx context.Context, id string) error
}

// Order is the body of POST /orders of an engine. It states what the engine
// shall be, so that a repetition does no harm.
type Order struct {
	Fence        int64  `json:"fence"`
	Order        string `json:"order"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Role         string `json:"role,omitempty"`
	ValidUntilMS int64  `json:"valid_until_ms"`
}

// Kinds of order.
const (
	OrderLoad = "load"
	OrderRole = "role"
	OrderStop = "stop"
)

// ErrFenced says that an engine refused an order with an old fencing number.
var ErrFenced = errors.New("order refused: old fencing number")

// SendOrder gives an order to the engine at address. It returns ErrFenced.
type SendOrder func(ctx context.Context, address string, o Order) error

// State is what the manager needs to know at one moment.
type State struct {
	Active  *manifest.Active
	Runners func(service string) []Runner // the upstreams of a service with their loads
}

// target is the committed wish for one engine.
type target struct {
	Address string `json:"address"`
	Order   Order  `json:"order"`
}

// started is a VM that was started and is not listed yet.
type started struct {
	name, service string
	offer         OfferKey
	at            time.Time
}

// Manager carries out the fleet duty. It is not safe for concurrent use.
type Manager struct {
	Duty *Duty

	cloud    Cloud
	send     SendOrder
	table    platform.Table
	log      hclog.Logger
	serial   int
	starting []started
	refusals []Refusal
	surplus  map[string]time.Time // since when a service has too many runners
	targets  map[string]target    // by engine
	asserted map[string]time.Time
	loads    float64 // weights that may be loaded now
	filledAt time.Time
	clock    func() time.Time
}

// NewManager returns a manager for the duty. clock is read again before each
// order.
func NewManager(duty *Duty, table platform.Table, c Cloud, send SendOrder, clock func() time.Time, log hclog.Logger) *Manager {
	return &Manager{
		Duty: duty, cloud: c, send: send, table: table, log: log, clock: clock,
		surplus: make(map[string]time.Time), targets: make(map[string]target), asserted: make(map[string]time.Time),
	}
}

// Step renews the lease and, while this daemon holds the duty, plans and gives
// orders. While the table or the cloud API is down, what runs is kept.
func (m *Manager) Step(ctx context.Context, now time.Time, s State) error {
	before := m.Duty.State()
	if err := m.Duty.Step(ctx, now); err != nil {
		return err
	}
	if m.Duty.State() != Holding || s.Active == nil || s.Active.Fleet == nil {
		return nil
	}
	if before != Holding {
		if err := m.readTargets(ctx); err != nil {
			return err
		}
	}
	vms, err := m.cloud.VMs(ctx)
	if err != nil {
		return err
	}
	offers, err := m.cloud.Offers(ctx)
	if err != nil {
		return err
	}
	m.noteListed(now, vms)
	for i := range s.Active.Fleet.Templates {
		if err := m.stepService(ctx, now, s, &s.Active.Fleet.Templates[i], vms, offers); err != nil {
			return err
		}
	}
	return m.assert(ctx, now, vms)
}

// noteListed forgets the started VMs that the list shows by now, or never will.
func (m *Manager) noteListed(now time.Time, vms []cloud.VM) {
	m.starting = slices.DeleteFunc(m.starting, func(s started) bool {
		listed := slices.ContainsFunc(vms, func(vm cloud.VM) bool { return vm.Name == s.name })
		return listed || now.Sub(s.at) > listPatience
	})
}

func (m *Manager) stepService(ctx context.Context, now time.Time, s State, t *manifest.Template, vms []cloud.VM, offers []cloud.Offer) error {
	if err := m.align(ctx, t, vms); err != nil {
		return err
	}
	in := m.input(now, s, t, vms, offers)
	d := Plan(in)
	if !d.Surplus {
		delete(m.surplus, t.Service)
	} else if m.surplus[t.Service].IsZero() {
		m.surplus[t.Service] = now
	}
	if len(d.Actions) == 0 {
		return nil
	}
	m.logDecision(in, &d)
	for _, a := range d.Actions {
		if err := m.act(ctx, now, t, a, vms); err != nil {
			return err
		}
	}
	return nil
}

// align gives the engines of the fleet the target that the template states.
func (m *Manager) align(ctx context.Context, t *manifest.Template, vms []cloud.VM) error {
	for i := range vms {
		vm := &vms[i]
		if vm.Service != t.Service || !Owned(vm) || vm.Leaving {
			continue
		}
		known, ok := m.targets[vm.Name]
		if ok && known.Order.Version == t.Version && known.Address == vm.Address {
			continue
		}
		if err := m.want(ctx, vm.Name, loadTarget(t, vm.Address)); err != nil {
			return err
		}
	}
	return nil
}

func loadTarget(t *manifest.Template, address string) target {
	return target{Address: address, Order: Order{Order: OrderLoad, Model: t.Service, Version: t.Version}}
}

// logDecision writes the decision with its input, from which it can be
// replayed.
func (m *Manager) logDecision(in *Input, d *Decision) {
	input, err := json.Marshal(in)
	if err != nil {
		m.log.Error("decision not encoded", "error", err)
		return
	}
	actions, err := json.Marshal(d.Actions)
	if err != nil {
		m.log.Error("decision not encoded", "error", err)
		return
	}
	m.log.Info("fleet decision", "service", in.Service, "needed", d.Needed, "usable", d.Usable, "actions", string(actions), "input", string(input))
}

func (m *Manager) input(now time.Time, s State, t *manifest.Template, vms []cloud.VM, offers []cloud.Offer) *Input {
	m.fillLoads(now, s.Active.Fleet.WeightLoads)
	in := &Input{
		Now: now, Service: t.Service, Floor: s.Active.Service(t.Service).Floor, Slots: t.Slots,
		Bounds: *s.Active.Fleet, Classes: s.Active.VMClasses, Runners: s.Runners(t.Service),
		Offers: offers, Refusals: m.refusals, Loads: int(m.loads),
	}
	m.addComing(in, vms)
	for i := range in.Runners {
		r := &in.Runners[i]
		r.PerHour = priceOf(offers, OfferKey{r.VMClass, r.Zone, r.Reclaimable})
		if j := slices.IndexFunc(vms, func(vm cloud.VM) bool { return vm.Name == r.Name }); j >= 0 && Owned(&vms[j]) {
			r.VM = vms[j].ID
		}
	}
	if since := m.surplus[t.Service]; !since.IsZero() {
		in.IdleFor = now.Sub(since)
	}
	for i := range vms {
		if vms[i].Service != t.Service && vms[i].Role == cloud.RoleUpstream {
			in.OtherPerHour += priceOf(offers, OfferKey{vms[i].VMClass, vms[i].Zone, vms[i].Reclaimable})
		}
	}
	return in
}

// addComing adds the runners that were started and have not joined yet, whether
// the list of VMs shows them by now or not.
func (m *Manager) addComing(in *Input, vms []cloud.VM) {
	known := make(map[string]bool, len(in.Runners))
	for i := range in.Runners {
		known[in.Runners[i].Name] = true
	}
	add := func(name string, o OfferKey) {
		if !known[name] {
			known[name] = true
			in.Runners = append(in.Runners, Runner{Name: name, Zone: o.Zone, VMClass: o.VMClass, Reclaimable: o.Reclaimable, Slots: in.Slots})
		}
	}
	for i := range vms {
		if vm := &vms[i]; vm.Service == in.Service && Owned(vm) && !vm.Leaving {
			add(vm.Name, OfferKey{vm.VMClass, vm.Zone, vm.Reclaimable})
		}
	}
	for _, s := range m.starting {
		if s.service == in.Service {
			add(s.name, s.offer)
		}
	}
}

// fillLoads counts the loads of weights that the store's rate limit allows.
func (m *Manager) fillLoads(now time.Time, perSecond float64) {
	if m.filledAt.IsZero() {
		m.loads = 1
	} else {
		m.loads = min(m.loads+now.Sub(m.filledAt).Seconds()*perSecond, max(1, perSecond))
	}
	m.filledAt = now
}

func priceOf(offers []cloud.Offer, k OfferKey) float64 {
	for i := range offers {
		if o := &offers[i]; k == (OfferKey{o.VMClass, o.Zone, o.Reclaimable}) {
			return o.PerHour
		}
	}
	return 0
}

// Owned tells whether the fleet started the VM.
func Owned(vm *cloud.VM) bool {
	return vm.Role == cloud.RoleUpstream && strings.HasPrefix(vm.Name, namePrefix)
}

func (m *Manager) act(ctx context.Context, now time.Time, t *manifest.Template, a Action, vms []cloud.VM) error {
	if a.Start != nil {
		return m.start(ctx, now, t, *a.Start)
	}
	return m.stop(ctx, t, a.Stop, vms)
}

func (m *Manager) start(ctx context.Context, now time.Time, t *manifest.Template, o OfferKey) error {
	m.serial++
	name := fmt.Sprintf("%s%s-%d-%d", namePrefix, t.Service, m.Duty.Fence(), m.serial)
	s := cloud.StartRequest{Token: name, Name: name, Service: t.Service, Zone: o.Zone, VMClass: o.VMClass, Reclaimable: o.Reclaimable}
	if err := m.decide(ctx, "fleet/start-"+name, s); err != nil {
		return err
	}
	octx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	vm, err := m.cloud.Start(octx, s)
	if errors.Is(err, cloud.ErrNoCapacity) {
		m.refusals = Refused(m.refusals, o, now)
		m.log.Warn("start refused", "service", t.Service, "vm_class", o.VMClass, "zone", o.Zone, "reclaimable", o.Reclaimable)
		return nil
	}
	// After any other error the VM may have been started.
	m.starting = append(m.starting, started{name: name, service: t.Service, offer: o, at: now})
	m.loads--
	if err != nil {
		return err
	}
	m.refusals = Granted(m.refusals, o)
	return m.want(ctx, name, loadTarget(t, vm.Address))
}

func (m *Manager) stop(ctx context.Context, t *manifest.Template, id string, vms []cloud.VM) error {
	i := slices.IndexFunc(vms, func(vm cloud.VM) bool { return vm.ID == id })
	if i < 0 {
		return nil
	}
	if err := m.decide(ctx, "fleet/stop-"+id, t.Service); err != nil {
		return err
	}
	delete(m.targets, vms[i].Name)
	octx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return m.cloud.Stop(octx, id)
}

// want commits what an engine shall be and orders it.
func (m *Manager) want(ctx context.Context, name string, t target) error {
	if err := m.decide(ctx, "fleet/target-"+name, t); err != nil {
		return err
	}
	m.targets[name] = t
	return m.order(ctx, name, t)
}

func (m *Manager) decide(ctx context.Context, key string, want any) error {
	value, err := json.Marshal(want)
	if err != nil {
		return errors.Wrap(err, "encode fleet decision")
	}
	return m.Duty.Decide(ctx, m.clock(), key, value)
}

// order sends a committed target with the fencing number and the time left.
func (m *Manager) order(ctx context.Context, name string, t target) error {
	now := m.clock()
	left := m.Duty.Left(now)
	if left < OrderTimeout {
		return ErrNotHolder
	}
	t.Order.Fence = m.Duty.Fence()
	t.Order.ValidUntilMS = now.Add(left).UnixMilli()
	octx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	err := m.send(octx, t.Address, t.Order)
	m.log.Info("order", "upstream", name, "order", t.Order.Order, "fence", t.Order.Fence, "error", err)
	if errors.Is(err, ErrFenced) {
		return errors.Wrapf(err, "order %s", name)
	}
	if err == nil {
		m.asserted[name] = now
	}
	return nil // an engine that does not answer gets its target again
}

// readTargets learns what earlier holders wanted.
func (m *Manager) readTargets(ctx context.Context) error {
	rows, err := m.table.Scan(ctx, "fleet", "target-", maxWanted)
	if err != nil {
		return errors.Wrap(err, "read targets")
	}
	clear(m.targets)
	clear(m.asserted)
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, "fleet/target-")
		if !ok {
			continue
		}
		var t target
		if err := json.Unmarshal(r.Value, &t); err != nil {
			return errors.Wrapf(err, "decode %s", r.Key)
		}
		m.targets[name] = t
	}
	return nil
}

// assert repeats the targets of the engines that run, so that an old order that
// reached an engine without check of fencing numbers does not last.
func (m *Manager) assert(ctx context.Context, now time.Time, vms []cloud.VM) error {
	for i := range vms {
		name := vms[i].Name
		t, ok := m.targets[name]
		if !ok || vms[i].Leaving || now.Sub(m.asserted[name]) < assertEvery {
			continue
		}
		if err := m.order(ctx, name, t); err != nil {
			return err
		}
	}
	return nil
}

// Joined returns the upstreams that the fleet runs beside those of the
// manifest, as the list of VMs and the templates describe them.
func Joined(a *manifest.Active, vms []cloud.VM) []manifest.Upstream {
	if a.Fleet == nil {
		return nil
	}
	var out []manifest.Upstream
	for i := range vms {
		vm := &vms[i]
		j := slices.IndexFunc(a.Fleet.Templates, func(t manifest.Template) bool { return t.Service == vm.Service })
		if j < 0 || !Owned(vm) {
			continue
		}
		t := &a.Fleet.Templates[j]
		out = append(out, manifest.Upstream{
			Name: vm.Name, Service: vm.Service, Address: vm.Address, Zone: vm.Zone, VMClass: vm.VMClass,
			Reclaimable: vm.Reclaimable, ChecksFence: t.ChecksFence, Slots: t.Slots, CacheTokens: t.CacheTokens,
		})
	}
	return out
}
