// Package cloud is a stand-in for the cloud API: a lagging list of VMs, reclaim
// notices, offers with prices, starts that may be refused, and a weight store
// with a rate limit.
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
	"github.com/lagoonmux/lagoonmux/internal/standin/wire"
)

// ReclaimPath takes a Reclaim, and RefusePath the share of starts to refuse as
// a JSON number.
const (
	ReclaimPath = "/reclaim"
	RefusePath  = "/refuse"
)

// Reclaim announces the end of VMs.
type Reclaim struct {
	VMs   []string `json:"vms,omitempty"`   // IDs; empty for a share of all
	Zone  string   `json:"zone,omitempty"`  // of the VMs of a share; empty for all zones
	Share float64  `json:"share,omitempty"` // of the reclaimable upstreams
	InMS  int64    `json:"in_ms"`           // from now until they end
	Tell  bool     `json:"tell,omitempty"`  // the upstreams know too, and refuse new work
}

// Config describes a cloud.
type Config struct {
	Lag           time.Duration // of the list of VMs
	WeightsPerSec float64       // loads of weights a second that the weight store serves
	Seed          uint64
	// OnReclaim is called for each VM that will end, and may be nil.
	OnReclaim func(vm cloud.VM, in time.Duration, tell bool)
	// OnRemove is called for each VM that has ended, and may be nil.
	OnRemove func(vm cloud.VM)
	// OnStart is called for each VM that was started, and returns the address
	// that it listens at.
	OnStart func(s cloud.StartRequest) string
}

// snapshot is the list of VMs from a moment on.
type snapshot struct {
	at  time.Time
	vms []cloud.VM
}

// Server is one cloud. Its methods may be called from any goroutine.
type Server struct {
	config  Config
	weights *rate.Limiter

	mu      sync.Mutex
	rng     *rand.Rand
	vms     []cloud.VM
	history []snapshot // oldest first; the last is now
	offers  []cloud.Offer
	started map[string]cloud.VM // by token
	refuse  float64
	serial  int
}

// New returns a cloud that runs the given VMs and sells the classes of m in the
// zones of its upstreams.
func New(config Config, m *manifest.Manifest, vms []cloud.VM) *Server {
	s := &Server{
		config:  config,
		weights: rate.NewLimiter(rate.Limit(config.WeightsPerSec), 1),
		rng:     rand.New(rand.NewPCG(config.Seed, 1)),
		vms:     vms,
		started: make(map[string]cloud.VM),
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
		wire.Write(ctx, s.listed(time.Now()))
	case path == cloud.VMsPath && ctx.IsPost():
		s.start(ctx)
	case strings.HasPrefix(path, cloud.VMsPath+"/") && ctx.IsDelete():
		s.remove(strings.TrimPrefix(path, cloud.VMsPath+"/"))
	case path == cloud.OffersPath:
		wire.Write(ctx, s.offers)
	case path == cloud.NoticesPath:
		wire.Write(ctx, s.notices(ctx.QueryArgs().PeekMulti("vm")))
	case strings.HasPrefix(path, cloud.WeightsPath):
		s.load(ctx)
	case path == ReclaimPath && ctx.IsPost():
		s.reclaim(ctx)
	case path == RefusePath && ctx.IsPost():
		s.setRefusal(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// listed returns the VMs as they were Lag ago.
func (s *Server) listed(now time.Time) []cloud.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.history) > 1 && !s.history[1].at.After(now.Add(-s.config.Lag)) {
		s.history = s.history[1:]
	}
	return s.history[0].vms
}

// changed keeps the list for later. The caller holds the lock.
func (s *Server) changed() {
	s.history = append(s.history, snapshot{at: time.Now(), vms: slices.Clone(s.vms)})
}

func (s *Server) start(ctx *fasthttp.RequestCtx) {
	var order cloud.StartRequest
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm, ok := s.started[order.Token]; ok {
		wire.Write(ctx, vm)
		return
	}
	if s.rng.Float64() < s.refuse || s.config.OnStart == nil {
		ctx.Error("no capacity", fasthttp.StatusConflict)
		return
	}
	s.serial++
	vm := cloud.VM{ID: fmt.Sprintf("vm-%d", s.serial), Name: order.Name, Role: cloud.RoleUpstream, Service: order.Service,
		Address: s.config.OnStart(order), Zone: order.Zone, VMClass: order.VMClass, Reclaimable: order.Reclaimable}
	s.started[order.Token] = vm
	s.vms = append(s.vms, vm)
	s.changed()
	wire.Write(ctx, vm)
}

func (s *Server) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = slices.DeleteFunc(s.vms, func(vm cloud.VM) bool {
		if vm.ID == id && s.config.OnRemove != nil {
			go s.config.OnRemove(vm)
		}
		return vm.ID == id
	})
	s.changed()
}

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

func (s *Server) reclaim(ctx *fasthttp.RequestCtx) {
	var r Reclaim
	if err := json.Unmarshal(ctx.PostBody(), &r); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	in := time.Duration(r.InMS) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	reclaimed := []cloud.VM{}
	for i := range s.vms {
		vm := &s.vms[i]
		if vm.Leaving || !s.drawn(&r, vm) {
			continue
		}
		vm.Leaving = true
		vm.DeadlineMS = time.Now().Add(in).UnixMilli()
		reclaimed = append(reclaimed, *vm)
		id := vm.ID
		time.AfterFunc(in, func() { s.remove(id) })
		if s.config.OnReclaim != nil {
			go s.config.OnReclaim(*vm, in, r.Tell)
		}
	}
	s.changed()
	wire.Write(ctx, reclaimed)
}

// drawn tells whether r concerns vm. The caller holds the lock.
func (s *Server) drawn(r *Reclaim, vm *cloud.VM) bool {
	if len(r.VMs) > 0 {
		return slices.Contains(r.VMs, vm.ID)
	}
	inZone := r.Zone == "" || r.Zone == vm.Zone
	return vm.Role == cloud.RoleUpstream && vm.Reclaimable && inZone && s.rng.Float64() < r.Share
}

func (s *Server) setRefusal(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := json.Unmarshal(ctx.PostBody(), &s.refuse); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// load serves one load of weights, or refuses it above the rate limit.
func (s *Server) load(ctx *fasthttp.RequestCtx) {
	if !s.weights.Allow() {
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.Error("rate limit", fasthttp.StatusTooManyRequests)
	}
}
