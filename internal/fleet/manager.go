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
	namePrefix     = "fleet-"         // of the names of upstreams that the fleet starts
	listTimeout    = 2 * time.Minute  // after which a started VM that is still not listed counts as failed
	resendInterval = 15 * time.Second // between repetitions of a target to one upstream
	maxTargets     = 1000             // targets read at most when this daemon becomes the holder
)

// Cloud lists, starts and stops VMs. *cloud.Client implements it.
type Cloud interface {
	VMs(ctx context.Context) ([]cloud.VM, error)
	Offers(ctx context.Context) ([]cloud.Offer, error)
	Start(ctx context.Context, s cloud.StartRequest) (cloud.VM, error)
	Stop(ctx context.Context, id string) error
}

// Order is the body of POST /orders at an upstream. It states the desired state of
// the upstream, so it may be sent again.
type Order struct {
	Fence        int64  `json:"fence"`
	Kind         string `json:"order"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Role         string `json:"role,omitempty"`
	ValidUntilMS int64  `json:"valid_until_ms"`
}

// Kinds of orders.
const (
	OrderLoad = "load"
	OrderRole = "role"
	OrderStop = "stop"
)

// ErrFenced means that an upstream refused an order: it has seen a higher fencing
// token, or the order had expired.
var ErrFenced = errors.New("upstream refused the order: old fencing token, or the order has expired")

// SendOrder sends an order to the upstream at address. It returns ErrFenced if the
// upstream refuses the order as stale.
type SendOrder func(ctx context.Context, address string, o Order) error

// Snapshot is the state outside of the cloud that a step of the Manager uses.
type Snapshot struct {
	Active    *manifest.Active
	Upstreams func(service string) []Upstream // returns the upstreams of a service with their loads
}

// target is the committed desired state of one upstream.
type target struct {
	Address string `json:"address"`
	Order   Order  `json:"order"`
}

// pendingVM is a VM that was started and is not in the list of VMs yet.
type pendingVM struct {
	name, service string
	offer         OfferKey
	startedAt     time.Time
}

// Manager performs the fleet duty. It is not safe for concurrent use.
type Manager struct {
	Duty *Duty

	cloud          Cloud
	send           SendOrder
	table          platform.Table
	log            hclog.Logger
	nameSerial     int // attempts to start a VM; part of the VM's name, to make it unique
	pending        []pendingVM
	refusals       []Refusal
	surplusSince   map[string]time.Time // since when a service has more upstreams than needed
	targets        map[string]target    // by upstream
	sentAt         map[string]time.Time // when the target was last sent to an upstream without an error, by upstream
	weightLoads    float64              // model loads that the weight store's rate limit allows now
	loadsUpdatedAt time.Time
	clock          func() time.Time
}

// NewManager returns a Manager for the duty. It reads clock again before each
// order, since a step may take long.
func NewManager(duty *Duty, table platform.Table, c Cloud, send SendOrder, clock func() time.Time, log hclog.Logger) *Manager {
	return &Manager{
		Duty: duty, cloud: c, send: send, table: table, log: log, clock: clock,
		surplusSince: make(map[string]time.Time), targets: make(map[string]target), sentAt: make(map[string]time.Time),
	}
}

// Step renews the lease and, while this daemon holds the duty, plans the fleet and
// sends orders. If the table or the cloud API fails it returns the error and leaves
// the running VMs as they are.
func (m *Manager) Step(ctx context.Context, now time.Time, s Snapshot) error {
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
	m.prunePending(now, vms)
	for i := range s.Active.Fleet.Templates {
		if err := m.planService(ctx, now, s, &s.Active.Fleet.Templates[i], vms, offers); err != nil {
			return err
		}
	}
	return m.resendTargets(ctx, now, vms)
}

// prunePending removes the pending VMs that are listed now or have not been listed
// for listTimeout.
func (m *Manager) prunePending(now time.Time, vms []cloud.VM) {
	m.pending = slices.DeleteFunc(m.pending, func(p pendingVM) bool {
		listed := slices.ContainsFunc(vms, func(vm cloud.VM) bool { return vm.Name == p.name })
		return listed || now.Sub(p.startedAt) > listTimeout
	})
}

func (m *Manager) planService(ctx context.Context, now time.Time, s Snapshot, t *manifest.Template, vms []cloud.VM, offers []cloud.Offer) error {
	if err := m.updateTargets(ctx, t, vms); err != nil {
		return err
	}
	in := m.planInput(now, s, t, vms, offers)
	d := Plan(in)
	if !d.Surplus {
		delete(m.surplusSince, t.Service)
	} else if m.surplusSince[t.Service].IsZero() {
		m.surplusSince[t.Service] = now
	}
	if len(d.Actions) == 0 {
		return nil
	}
	m.logDecision(in, &d)
	for _, a := range d.Actions {
		if err := m.execute(ctx, now, t, a, vms); err != nil {
			return err
		}
	}
	return nil
}

// updateTargets sets new targets for the fleet's upstreams whose address or model
// version differs from their target.
func (m *Manager) updateTargets(ctx context.Context, t *manifest.Template, vms []cloud.VM) error {
	for i := range vms {
		vm := &vms[i]
		if vm.Service != t.Service || !IsFleetVM(vm) || vm.Leaving {
			continue
		}
		current, ok := m.targets[vm.Name]
		if ok && current.Order.Version == t.Version && current.Address == vm.Address {
			continue
		}
		if err := m.setTarget(ctx, vm.Name, loadTarget(t, vm.Address)); err != nil {
			return err
		}
	}
	return nil
}

func loadTarget(t *manifest.Template, address string) target {
	return target{Address: address, Order: Order{Kind: OrderLoad, Model: t.Service, Version: t.Version}}
}

// logDecision logs the decision with its input, from which it can be replayed.
func (m *Manager) logDecision(in *Input, d *Decision) {
	input, err := json.Marshal(in)
	if err != nil {
		m.log.Error("encoding the fleet decision for the log failed", "error", err)
		return
	}
	actions, err := json.Marshal(d.Actions)
	if err != nil {
		m.log.Error("encoding the fleet decision for the log failed", "error", err)
		return
	}
	m.log.Info("fleet decision", "service", in.Service, "needed", d.Needed, "usable", d.Usable, "actions", string(actions), "input", string(input))
}

func (m *Manager) planInput(now time.Time, s Snapshot, t *manifest.Template, vms []cloud.VM, offers []cloud.Offer) *Input {
	m.refillWeightLoads(now, s.Active.Fleet.WeightLoads)
	in := &Input{
		Now: now, Service: t.Service, Floor: s.Active.Service(t.Service).Floor, Slots: t.Slots,
		Bounds: *s.Active.Fleet, Classes: s.Active.VMClasses, Upstreams: s.Upstreams(t.Service),
		Offers: offers, Refusals: m.refusals, WeightLoads: int(m.weightLoads),
	}
	m.addPending(in, vms)
	for i := range in.Upstreams {
		u := &in.Upstreams[i]
		u.PerHour = priceOf(offers, OfferKey{u.VMClass, u.Zone, u.Reclaimable})
		if j := slices.IndexFunc(vms, func(vm cloud.VM) bool { return vm.Name == u.Name }); j >= 0 && IsFleetVM(&vms[j]) {
			u.VM = vms[j].ID
		}
	}
	if since := m.surplusSince[t.Service]; !since.IsZero() {
		in.SurplusFor = now.Sub(since)
	}
	for i := range vms {
		if vms[i].Service != t.Service && vms[i].Role == cloud.RoleUpstream {
			in.OtherPerHour += priceOf(offers, OfferKey{vms[i].VMClass, vms[i].Zone, vms[i].Reclaimable})
		}
	}
	return in
}

// addPending adds the upstreams that were started and have not joined yet, whether
// their VMs are in the list of VMs or not.
func (m *Manager) addPending(in *Input, vms []cloud.VM) {
	known := make(map[string]bool, len(in.Upstreams))
	for i := range in.Upstreams {
		known[in.Upstreams[i].Name] = true
	}
	add := func(name string, o OfferKey) {
		if !known[name] {
			known[name] = true
			in.Upstreams = append(in.Upstreams, Upstream{Name: name, Zone: o.Zone, VMClass: o.VMClass, Reclaimable: o.Reclaimable, Slots: in.Slots})
		}
	}
	for i := range vms {
		if vm := &vms[i]; vm.Service == in.Service && IsFleetVM(vm) && !vm.Leaving {
			add(vm.Name, OfferKey{vm.VMClass, vm.Zone, vm.Reclaimable})
		}
	}
	for _, p := range m.pending {
		if p.service == in.Service {
			add(p.name, p.offer)
		}
	}
}

// refillWeightLoads refills the token bucket of model loads at the rate, in loads
// per second, that the weight store allows.
func (m *Manager) refillWeightLoads(now time.Time, perSecond float64) {
	if m.loadsUpdatedAt.IsZero() {
		m.weightLoads = 1
	} else {
		m.weightLoads = min(m.weightLoads+now.Sub(m.loadsUpdatedAt).Seconds()*perSecond, max(1, perSecond))
	}
	m.loadsUpdatedAt = now
}

func priceOf(offers []cloud.Offer, k OfferKey) float64 {
	for i := range offers {
		if o := &offers[i]; k == (OfferKey{o.VMClass, o.Zone, o.Reclaimable}) {
			return o.PerHour
		}
	}
	return 0
}

// IsFleetVM reports whether the fleet started the VM.
func IsFleetVM(vm *cloud.VM) bool {
	return vm.Role == cloud.RoleUpstream && strings.HasPrefix(vm.Name, namePrefix)
}

func (m *Manager) execute(ctx context.Context, now time.Time, t *manifest.Template, a Action, vms []cloud.VM) error {
	if a.Start != nil {
		return m.startVM(ctx, now, t, *a.Start)
	}
	return m.stopVM(ctx, t, a.Stop, vms)
}

func (m *Manager) startVM(ctx context.Context, now time.Time, t *manifest.Template, o OfferKey) error {
	m.nameSerial++
	name := fmt.Sprintf("%s%s-%d-%d", namePrefix, t.Service, m.Duty.Fence(), m.nameSerial)
	s := cloud.StartRequest{Token: name, Name: name, Service: t.Service, Zone: o.Zone, VMClass: o.VMClass, Reclaimable: o.Reclaimable}
	if err := m.commitDecision(ctx, "fleet/start-"+name, s); err != nil {
		return err
	}
	orderCtx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	vm, err := m.cloud.Start(orderCtx, s)
	if errors.Is(err, cloud.ErrNoCapacity) {
		m.refusals = AddRefusal(m.refusals, o, now)
		m.log.Warn("cloud refused to start a VM", "service", t.Service, "vm_class", o.VMClass, "zone", o.Zone, "reclaimable", o.Reclaimable)
		return nil
	}
	// After any other error the VM may have been started, so it counts as pending.
	m.pending = append(m.pending, pendingVM{name: name, service: t.Service, offer: o, startedAt: now})
	m.weightLoads--
	if err != nil {
		return err
	}
	m.refusals = ClearRefusal(m.refusals, o)
	return m.setTarget(ctx, name, loadTarget(t, vm.Address))
}

func (m *Manager) stopVM(ctx context.Context, t *manifest.Template, id string, vms []cloud.VM) error {
	i := slices.IndexFunc(vms, func(vm cloud.VM) bool { return vm.ID == id })
	if i < 0 {
		return nil
	}
	if err := m.commitDecision(ctx, "fleet/stop-"+id, t.Service); err != nil {
		return err
	}
	delete(m.targets, vms[i].Name)
	orderCtx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	return m.cloud.Stop(orderCtx, id)
}

// setTarget commits the desired state of an upstream and sends it as an order.
func (m *Manager) setTarget(ctx context.Context, name string, t target) error {
	if err := m.commitDecision(ctx, "fleet/target-"+name, t); err != nil {
		return err
	}
	m.targets[name] = t
	return m.sendTarget(ctx, name, t)
}

func (m *Manager) commitDecision(ctx context.Context, key string, decision any) error {
	value, err := json.Marshal(decision)
	if err != nil {
		return errors.Wrap(err, "encode fleet decision")
	}
	return m.Duty.CommitDecision(ctx, m.clock(), key, value)
}

// sendTarget sends a committed target with the fencing token and the end of its
// validity. It returns ErrNotHolder if the lease ends too soon, and an error that
// wraps ErrFenced if the upstream refuses the order as stale.
func (m *Manager) sendTarget(ctx context.Context, name string, t target) error {
	now := m.clock()
	remaining := m.Duty.Remaining(now)
	if remaining < OrderTimeout {
		return ErrNotHolder
	}
	t.Order.Fence = m.Duty.Fence()
	t.Order.ValidUntilMS = now.Add(remaining).UnixMilli()
	orderCtx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	err := m.send(orderCtx, t.Address, t.Order)
	m.log.Info("order to upstream", "upstream", name, "order", t.Order.Kind, "fence", t.Order.Fence, "error", err)
	if errors.Is(err, ErrFenced) {
		return errors.Wrapf(err, "send order to upstream %s", name)
	}
	if err == nil {
		m.sentAt[name] = now
	}
	return nil // resendTargets retries an order that failed otherwise
}

// readTargets reads the targets that earlier holders committed.
func (m *Manager) readTargets(ctx context.Context) error {
	rows, err := m.table.Scan(ctx, "fleet", "target-", maxTargets)
	if err != nil {
		return errors.Wrap(err, "read fleet targets")
	}
	clear(m.targets)
	clear(m.sentAt)
	for _, r := range rows {
		name, ok := strings.CutPrefix(r.Key, "fleet/target-")
		if !ok {
			continue
		}
		var t target
		if err := json.Unmarshal(r.Value, &t); err != nil {
			return errors.Wrapf(err, "decode fleet target %s", r.Key)
		}
		m.targets[name] = t
	}
	return nil
}

// resendTargets sends the targets of the running upstreams again, so that a stale
// order does not stay in effect at an upstream that does not check fencing tokens.
func (m *Manager) resendTargets(ctx context.Context, now time.Time, vms []cloud.VM) error {
	for i := range vms {
		name := vms[i].Name
		t, ok := m.targets[name]
		if !ok || vms[i].Leaving || now.Sub(m.sentAt[name]) < resendInterval {
			continue
		}
		if err := m.sendTarget(ctx, name, t); err != nil {
			return err
		}
	}
	return nil
}

// StartedUpstreams returns the upstreams on VMs that the fleet started, as the VMs
// and the templates describe them. The manifest does not list these upstreams.
func StartedUpstreams(a *manifest.Active, vms []cloud.VM) []manifest.Upstream {
	if a.Fleet == nil {
		return nil
	}
	var out []manifest.Upstream
	for i := range vms {
		vm := &vms[i]
		j := slices.IndexFunc(a.Fleet.Templates, func(t manifest.Template) bool { return t.Service == vm.Service })
		if j < 0 || !IsFleetVM(vm) {
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
