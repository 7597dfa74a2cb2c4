// Package cloud is a stand-in for the platform's cloud API: a list of VMs that lags,
// reclaim notices, offers with prices, starts of VMs that may be refused, and a store of
// model weights with a rate limit.
package cloud

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/platform/cloud"
	"github.com/lagoonmux/lagoonmux/internal/standin/httpjson"
)

// Paths by which tests and tools control the stand-in.
const (
	ReclaimPath = "/reclaim" // POST a Reclaim; returns the reclaimed VMs
	RefusePath  = "/refuse"  // POST the share of starts to refuse, a JSON number from 0 to 1
)

// Reclaim selects VMs to reclaim.
type Reclaim struct {
	VMs    []string `json:"vms,omitempty"`   // IDs; if empty, Zone and Share select the VMs
	Zone   string   `json:"zone,omitempty"`  // availability zone; empty for all
	Share  float64  `json:"share,omitempty"` // probability with which each reclaimable upstream is selected
	InMS   int64    `json:"in_ms"`           // time from now until the VMs end
	Notify bool     `json:"tell,omitempty"`  // also notify the upstreams, which then refuse new requests
}

// Config configures a Server.
type Config struct {
	ListLag              time.Duration // age of the list of VMs
	WeightLoadsPerSecond float64       // rate limit of the weight store
	Seed                 uint64        // seed of the random choice of refused starts and reclaimed VMs
	// OnReclaim is called for each VM that ends after delay. notify is Reclaim.Notify.
	// It may be nil.
	OnReclaim func(vm cloud.VM, delay time.Duration, notify bool)
	// OnRemove is called for each VM that was stopped or reclaimed. It may be nil.
	OnRemove func(vm cloud.VM)
	// OnStart is called for each new VM and returns the address of its upstream. If
	// nil, all starts are refused.
	OnStart func(s cloud.StartRequest) string
}

// snapshot is the list of VMs that was current from since on.
type snapshot struct {
	since time.Time
	vms   []cloud.VM
}

// Server implements the cloud API. Its methods may be called from any goroutine.
type Server struct {
	config        Config
	weightLimiter *rate.Limiter

	mu             sync.Mutex
	rng            *rand.Rand
	vms            []cloud.VM
	history        []snapshot // oldest first; the last equals vms
	offers         []cloud.Offer
	startedByToken map[string]cloud.VM // VMs by the idempotency token of their start
	refuseShare    float64             // probability with which a start is refused
	lastID         int                 // number in the ID of the last VM started
}

// New returns a cloud that lists vms and the VMs of the upstreams of m. It offers each
// VM class of m in each zone of these upstreams, on demand and reclaimable.
func New(config Config, m *manifest.Manifest, vms []cloud.VM) *Server {
	s := &Server{
		config:         config,
		weightLimiter:  rate.NewLimiter(rate.Limit(config.WeightLoadsPerSecond), 1),
		rng:            rand.New(rand.NewPCG(config.Seed, 1)),
		vms:            vms,
		startedByToken: make(map[string]cloud.VM),
	}
	var zones []string
	for i := range m.Upstreams {
		u := &m.Upstreams[i]
		if !slices.Contains(zones, u.Zone) {
			zones = append(zones, u.Zone)
		}
		s.vms = append(s.vms, cloud.VM{ID: "vm-" + u.Name, Name: u.Name, Role: cloud.RoleUpstream, Service: u.Service,
			Address: u.Address, Zone: u.Zone, VMClass: u.VMClass, Reclaimable: u.Reclaimable})
	}
	for _, z := range zones {
		for _, c := range m.VMClasses {
			s.offers = append(s.offers,
				cloud.Offer{VMClass: c.Name, Zone: z, PerHour: c.OnDemandPerHour},
				cloud.Offer{VMClass: c.Name, Zone: z, Reclaimable: true, PerHour: c.ReclaimablePerHour})
		}
	}
	s.history = []snapshot{{vms: slices.Clone(s.vms)}}
	return s
}

// Handle serves one request.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == cloud.VMsPath && ctx.IsGet():
		httpjson.Write(ctx, s.laggedList(time.Now()))
	case path == cloud.VMsPath && ctx.IsPost():
		s.start(ctx)
	case strings.HasPrefix(path, cloud.VMsPath+"/") && ctx.IsDelete():
		s.remove(strings.TrimPrefix(path, cloud.VMsPath+"/"))
	case path == cloud.OffersPath:
		httpjson.Write(ctx, s.offers)
	case path == cloud.NoticesPath:
		httpjson.Write(ctx, s.notices(ctx.QueryArgs().PeekMulti("vm")))
	case strings.HasPrefix(path, cloud.WeightsPath):
		s.loadWeights(ctx)
	case path == ReclaimPath && ctx.IsPost():
		s.reclaim(ctx)
	case path == RefusePath && ctx.IsPost():
		s.setRefuseShare(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// laggedList returns the list of VMs as of ListLag before now, and drops older
// snapshots.
func (s *Server) laggedList(now time.Time) []cloud.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.history) > 1 && !s.history[1].since.After(now.Add(-s.config.ListLag)) {
		s.history = s.history[1:]
	}
	return s.history[0].vms
}

// recordChange appends the current list of VMs to the history. The caller holds the
// lock.
func (s *Server) recordChange() {
	s.history = append(s.history, snapshot{since: time.Now(), vms: slices.Clone(s.vms)})
}

// start starts a VM, or returns the one started with the same token before.
func (s *Server) start(ctx *fasthttp.RequestCtx) {
	var req cloud.StartRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm, ok := s.startedByToken[req.Token]; ok {
		httpjson.Write(ctx, vm)
		return
	}
	if s.rng.Float64() < s.refuseShare || s.config.OnStart == nil {
		ctx.Error("no capacity", fasthttp.StatusConflict)
		return
	}
	s.lastID++
	vm := cloud.VM{ID: fmt.Sprintf("vm-%d", s.lastID), Name: req.Name, Role: cloud.RoleUpstream, Service: req.Service,
		Address: s.config.OnStart(req), Zone: req.Zone, VMClass: req.VMClass, Reclaimable: req.Reclaimable}
	s.startedByToken[req.Token] = vm
	s.vms = append(s.vms, vm)
	s.recordChange()
	httpjson.Write(ctx, vm)
}

// remove ends the VM, if it exists.
func (s *Server) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.DeleteFunc(s.vms, func(vm cloud.VM) bool {
		if vm.ID == id && s.config.OnRemove != nil {
			go s.config.OnRemove(vm)
		}
		return vm.ID == id
	})
	s.recordChange()
}

// notices returns the reclaim notices of the VMs with the given IDs.
func (s *Server) notices(ids [][]byte) []cloud.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []cloud.Notice{}
	for _, id := range ids {
		for i := range s.vms {
			if vm := &s.vms[i]; vm.ID == string(id) && vm.Leaving {
				out = append(out, cloud.Notice{VM: vm.ID, DeadlineMS: vm.DeadlineMS})
			}
		}
	}
	return out
}

// reclaim marks the selected VMs as leaving and ends them after the delay.
func (s *Server) reclaim(ctx *fasthttp.RequestCtx) {
	var r Reclaim
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	delay := time.Duration(r.InMS) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	reclaimed := []cloud.VM{}
	for i := range s.vms {
		vm := &s.vms[i]
		if vm.Leaving || !s.selects(&r, vm) {
			continue
		}
		vm.Leaving = true
		vm.DeadlineMS = time.Now().Add(delay).UnixMilli()
		reclaimed = append(reclaimed, *vm)
		id := vm.ID
		time.AfterFunc(delay, func() { s.remove(id) })
		if s.config.OnReclaim != nil {
			go s.config.OnReclaim(*vm, delay, r.Notify)
		}
	}
	s.recordChange()
	httpjson.Write(ctx, reclaimed)
}

// selects reports whether r selects vm, drawing a random number for a reclaim by share.
// The caller holds the lock.
func (s *Server) selects(r *Reclaim, vm *cloud.VM) bool {
	if len(r.VMs) > 0 {
		return slices.Contains(r.VMs, vm.ID)
	}
	inZone := r.Zone == "" || r.Zone == vm.Zone
	return vm.Role == cloud.RoleUpstream && vm.Reclaimable && inZone && s.rng.Float64() < r.Share
}

func (s *Server) setRefuseShare(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := json.Unmarshal(ctx.PostBody(), &s.refuseShare); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// loadWeights accepts a load of model weights with an empty response, or refuses it
// above the rate limit.
func (s *Server) loadWeights(ctx *fasthttp.RequestCtx) {
	if !s.weightLimiter.Allow() {
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.Error("rate limit", fasthttp.StatusTooManyRequests)
	}
}
