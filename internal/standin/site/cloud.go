package site

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// Order is one order of upstreams.
type Order struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
	Spot    bool   `json:"spot"`
}

// Cloud takes fenced calls and checks what must hold of them.
type Cloud struct {
	Address string
	server  *http.Server

	mu            sync.Mutex
	down          bool
	noReclaimable bool // there are no reclaimable upstreams
	tokens        map[string]int64
	holders       map[int64]string
	usage         map[int64]map[string]int64
	orders        map[Order]int // by order without its count
	violations    []string
}

// StartCloud lets a cloud listen at a new address.
func StartCloud() (*Cloud, error) {
	c := &Cloud{
		tokens:  make(map[string]int64),
		holders: make(map[int64]string),
		usage:   make(map[int64]map[string]int64),
		orders:  make(map[Order]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", c.handleUsage)
	mux.HandleFunc("POST /scale", c.handleOrder)
	var err error
	c.Address, c.server, err = listen(mux)
	return c, err
}

// Close ends the cloud.
func (c *Cloud) Close() { _ = c.server.Close() }

// SetDown makes every call fail.
func (c *Cloud) SetDown(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = on
}

// checkFence checks holder and token. The caller holds mu.
func (c *Cloud) checkFence(r *http.Request, subject string) int {
	if c.down {
		return http.StatusServiceUnavailable
	}
	holder := r.Header.Get("X-Duty-Holder")
	token, err := strconv.ParseInt(r.Header.Get("X-Fence-Token"), 10, 64)
	if err != nil || holder == "" {
		return http.StatusBadRequest
	}
	if token < c.tokens[subject] {
		return http.StatusConflict
	}
	if other, ok := c.holders[token]; ok && other != holder {
		c.violations = append(c.violations, "token "+strconv.FormatInt(token, 10)+" of "+other+" and "+holder)
	}
	c.tokens[subject], c.holders[token] = token, holder
	return 0
}

func (c *Cloud) handleUsage(w http.ResponseWriter, r *http.Request) {
	var body struct {
		WindowID int64            `json:"windowId"`
		Counts   map[string]int64 `json:"counts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if status := c.checkFence(r, "usage"); status != 0 {
		w.WriteHeader(status)
		return
	}
	if old, ok := c.usage[body.WindowID]; ok && !maps.Equal(old, body.Counts) {
		c.violations = append(c.violations, "two reports of window "+strconv.FormatInt(body.WindowID, 10))
	}
	c.usage[body.WindowID] = body.Counts
}

func (c *Cloud) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if status := c.checkFence(r, "scale "+o.Service+" "+o.Zone); status != 0 {
		w.WriteHeader(status)
		return
	}
	if c.noReclaimable && o.Spot && o.Desired > 0 {
		w.WriteHeader(http.StatusConflict)
		return
	}
	count := o.Desired
	o.Desired = 0
	c.orders[o] = count
}

// Usage returns the reports by window.
func (c *Cloud) Usage() map[int64]map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.usage)
}

// Orders returns the newest order of each service, zone and kind.
func (c *Cloud) Orders() map[Order]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.orders)
}

// Violations returns what must not happen and did.
func (c *Cloud) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
