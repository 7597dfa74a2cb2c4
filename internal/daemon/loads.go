package daemon

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/routing"
	"github.com/lagoonmux/lagoonmux/internal/upstream"
)

const (
	loadInterval    = 500 * time.Millisecond // between two polls of an upstream, in a small fleet
	pollsPerSecond  = 50                     // of all upstreams
	loadTimeout     = time.Second
	pollsAtOnce     = 16
	maxLoadBytes    = 1 << 16
	maxEventsBytes  = 1 << 20
	pathLoad        = "/load"
	pathCacheEvents = "/cache/events?after="
	hexadecimal     = 16
	cacheEventEvict = "evict"
)

// loads is the task that asks the model upstreams for the changes of their
// prefix caches and passes them to the router. Their load comes from the watch,
// which spreads what one daemon asked.
type loads struct {
	pool   *upstream.Pool
	router *routing.Router
	log    hclog.Logger

	mu   sync.Mutex
	next map[string]int64 // sequence number of the last cache event, by upstream
}

// cacheEvents is the answer of an upstream to a poll of its cache events.
type cacheEvents struct {
	Epoch  int64 `json:"epoch"`
	Next   int64 `json:"next"`
	Events []struct {
		Op    string `json:"op"`
		Block string `json:"block"`
	} `json:"events"`
}

func newLoads(pool *upstream.Pool, router *routing.Router, log hclog.Logger) *loads {
	return &loads{pool: pool, router: router, log: log, next: make(map[string]int64)}
}

// run polls the upstreams of the manifest in force until ctx ends.
func (l *loads) run(ctx context.Context, manifests *manifest.Current) error {
	timer := time.NewTimer(loadInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		wait := loadInterval
		if a := manifests.Load(); a != nil {
			l.pollAll(ctx, a)
			wait = max(wait, time.Duration(len(a.Upstreams))*time.Second/pollsPerSecond)
		}
		timer.Reset(wait)
	}
}

func (l *loads) pollAll(ctx context.Context, a *manifest.Active) {
	var g errgroup.Group
	g.SetLimit(pollsAtOnce)
	for i := range a.Upstreams {
		u := &a.Upstreams[i]
		if a.Service(u.Service).Kind != manifest.Model {
			continue
		}
		g.Go(func() error {
			if err := l.poll(ctx, u); err != nil {
				l.log.Debug("poll of cache events failed", "upstream", u.Name, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (l *loads) poll(ctx context.Context, u *manifest.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return l.pollCache(ctx, u)
}

func (l *loads) pollCache(ctx context.Context, u *manifest.Upstream) error {
	l.mu.Lock()
	after := l.next[u.Name]
	l.mu.Unlock()
	var events cacheEvents
	path := pathCacheEvents + strconv.FormatInt(after, 10)
	if err := l.get(ctx, u, path, maxEventsBytes, &events); err != nil {
		return err
	}
	l.mu.Lock()
	l.next[u.Name] = events.Next
	l.mu.Unlock()
	changes := routing.CacheEvents{Upstream: u.Name, Epoch: events.Epoch}
	for _, e := range events.Events {
		block, err := strconv.ParseUint(e.Block, hexadecimal, 64)
		if err != nil {
			return errors.Wrap(err, "block of cache event")
		}
		changes.Changes = append(changes.Changes, routing.CacheChange{Block: block, Evicted: e.Op == cacheEventEvict})
	}
	l.router.ObserveCache(changes)
	return nil
}

// get decodes the JSON answer to a GET into v.
func (l *loads) get(ctx context.Context, u *manifest.Upstream, path string, limit int, v any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + u.Address + path)
	x, err := l.pool.Start(ctx, u.Address, req, false)
	if err != nil {
		return err
	}
	body, err := x.ReadAll(limit)
	if err != nil {
		return err
	}
	if code := x.Response.StatusCode(); code != fasthttp.StatusOK {
		return errors.Errorf("upstream %s: status %d", u.Name, code)
	}
	return errors.Wrapf(json.Unmarshal(body, v), "upstream %s: decode", u.Name)
}
