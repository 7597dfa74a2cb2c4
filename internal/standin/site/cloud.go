package site

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// Order is the body of POST /scale: how many upstreams a service should have in a
// zone, of one kind.
type Order struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Desired int    `json:"desired"`
	Spot    bool   `json:"spot"`
}

// Cloud simulates the cloud's usage and scaling API. It rejects calls with an
// outdated fencing token and records violations of the fencing protocol.
type Cloud struct {
	Address string
	server  *http.Server

	mu            sync.Mutex
	down          bool
	noReclaimable bool                       // no reclaimable upstreams are available
	tokens        map[string]int64           // highest fencing token seen, by subject
	holders       map[int64]string           // holder that used a token
	usage         map[int64]map[string]int64 // newest counts of each window, by window ID
	orders        map[Order]int              // newest Desired, by order with Desired 0
	violations    []string
}

// StartCloud starts a cloud that listens at a free loopback address.
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

// Close closes the listener and all connections.
func (c *Cloud) Close() { _ = c.server.Close() }

// SetDown makes every call fail with 503 while on is set.
func (c *Cloud) SetDown(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = on
}

// checkFence checks the holder and the fencing token of a call for a subject: the
// usage reports, or the orders of one service and zone. It returns 0, or the status
// to reject the call with: 409 if a higher token was seen. A token that two
// holders use is a violation. The caller holds mu.
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
		c.violations = append(c.violations, "fencing token "+strconv.FormatInt(token, 10)+" used by "+other+" and "+holder)
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
		c.violations = append(c.violations, "two different reports of usage window "+strconv.FormatInt(body.WindowID, 10))
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

// Usage returns the reported counts by window ID.
func (c *Cloud) Usage() map[int64]map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.usage)
}

// Orders returns the newest Desired of each service, zone and kind. The keys have
// Desired 0.
func (c *Cloud) Orders() map[Order]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.orders)
}

// Violations describes the violations so far: a token used by two holders, or two
// different reports of one window.
func (c *Cloud) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
