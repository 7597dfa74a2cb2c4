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
	"github.com/lagoonmux/lagoonmux/internal/standin/httpjson"
)

// ReclaimPath takes a Reclaim, and RefusePath the share of starts to refuse as
// a JSON number.
const (
	ReclaimPath = "/reclaim"
	RefusePath  = "/refuse"
)

// Reclaim announces the end of VMs.
type Reclaim struct {
	VMs    []string `json:"vms,omitempty"`   // IDs; empty for a share of all
	Zone   string   `json:"zone,omitempty"`  // of the VMs of a share; empty for all zones
	Share  float64  `json:"share,omitempty"` // of the reclaimable upstreams
	InMS   int64    `json:"in_ms"`           // from now until they end
	Notify bool     `json:"tell,omitempty"`  // the upstreams know too, and refuse new work
}

// Config describes a cloud.
type Config struct {
	ListLag              time.Duration // of the list of VMs
	WeightLoadsPerSecond float64       // loads of weights a second that the weight store serves
	Seed                 uint64
	// OnReclaim is called for each VM that will end, and may be nil.
	OnReclaim func(vm cloud.VM, delay time.Duration, notify bool)
	// OnRemove is called for each VM that has ended, and may be nil.
	OnRemove func(vm cloud.VM)
	// OnStart is called for each VM that was started, and returns the address
	// that it listens at.
	OnStart func(s cloud.Start) string
}

// snapshot is the list of VMs from a moment on.
type snapshot struct {
	since time.Time
	vms   []cloud.VM
}

// Server is one cloud. Its methods may be called from any goroutine.
type Server struct {
	config        Config
	weightLimiter *rate.Limiter

	mu             sync.Mutex
	rng            *rand.Rand
	vms            []cloud.VM
	history        []snapshot // oldest first; the last is now
	offers         []cloud.Offer
	startedByToken map[string]cloud.VM // by token
	refuseShare    float64
	lastID         int
}

// New returns a cloud that runs the given VMs and sells the classes of m in the
// zones of its upstreams.
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
				cloud.Offer{VMClass: c.Name, Zone: z, Reclaimable: true, PerHour: c.ReclaimPerHour})
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

// laggedList returns the VMs as they were Lag ago.
func (s *Server) laggedList(now time.Time) []cloud.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.history) > 1 && !s.history[1].since.After(now.Add(-s.config.ListLag)) {
		s.history = s.history[1:]
	}
	return s.history[0].vms
}

// recordChange keeps the list for later. The caller holds the lock.
func (s *Server) recordChange() {
	s.history = append(s.history, snapshot{since: time.Now(), vms: slices.Clone(s.vms)})
}

func (s *Server) start(ctx *fasthttp.RequestCtx) {
	var req cloud.Start
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

// selects tells whether r concerns vm. The caller holds the lock.
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

// loadWeights serves one load of weights, or refuses it above the rate limit.
func (s *Server) loadWeights(ctx *fasthttp.RequestCtx) {
	if !s.weightLimiter.Allow() {
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.Error("rate limit", fasthttp.StatusTooManyRequests)
	}
}
