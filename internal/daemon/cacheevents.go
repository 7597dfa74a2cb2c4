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
	cacheEventsInterval = 500 * time.Millisecond // between polls of an upstream
	cacheEventsTimeout  = time.Second            // of one poll
	maxConcurrentPolls  = 16
	maxCacheEventsBytes = 1 << 20 // limit of the response to a poll
	maxPolledUpstreams  = 64      // with more upstreams, the polls would cost more traffic than their benefit justifies
	cacheEventsPath     = "/cache/events?after="
	cacheEventEvict     = "evict"
	hexBase             = 16
)

// cachePoller is the task that polls the model upstreams of a deployment with at
// most maxPolledUpstreams upstreams for changes of their prefix caches and passes the
// changes to the router. In a larger deployment the router relies on the cached
// tokens that responses report.
type cachePoller struct {
	pool   *upstream.Pool
	router *routing.Router
	log    hclog.Logger

	mu        sync.Mutex
	nextEvent map[string]int64 // value of "after" for the next poll, by upstream
}

// cacheEvents is the response of an upstream to a poll.
type cacheEvents struct {
	Incarnation int64 `json:"epoch"`
	Next        int64 `json:"next"`
	Events      []struct {
		Op    string `json:"op"`
		Block string `json:"block"`
	} `json:"events"`
}

func newCachePoller(pool *upstream.Pool, router *routing.Router, log hclog.Logger) *cachePoller {
	return &cachePoller{pool: pool, router: router, log: log, nextEvent: make(map[string]int64)}
}

// run polls the model upstreams of the manifest in force until ctx ends.
func (p *cachePoller) run(ctx context.Context, manifests *manifest.Current) error {
	ticker := time.NewTicker(cacheEventsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if a := manifests.Load(); a != nil && len(a.Upstreams) <= maxPolledUpstreams {
			p.pollAll(ctx, a)
		}
	}
}

func (p *cachePoller) pollAll(ctx context.Context, a *manifest.Active) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for i := range a.Upstreams {
		u := &a.Upstreams[i]
		if a.Service(u.Service).Kind != manifest.Model {
			continue
		}
		g.Go(func() error {
			if err := p.poll(ctx, u); err != nil {
				p.log.Debug("poll of cache events failed", "upstream", u.Name, "error", err)
			}
			return nil
		})
	}
	_ = g.Wait()
}

func (p *cachePoller) poll(ctx context.Context, u *manifest.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, cacheEventsTimeout)
	defer cancel()
	p.mu.Lock()
	after := p.nextEvent[u.Name]
	p.mu.Unlock()
	events, err := p.get(ctx, u, cacheEventsPath+strconv.FormatInt(after, 10))
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.nextEvent[u.Name] = events.Next
	p.mu.Unlock()
	changes := routing.CacheEvents{Upstream: u.Name, Incarnation: events.Incarnation}
	for _, e := range events.Events {
		block, err := strconv.ParseUint(e.Block, hexBase, 64)
		if err != nil {
			return errors.Wrap(err, "parse block hash of cache event")
		}
		changes.Changes = append(changes.Changes, routing.CacheChange{Block: block, Evicted: e.Op == cacheEventEvict})
	}
	p.router.ObserveCache(changes)
	return nil
}

func (p *cachePoller) get(ctx context.Context, u *manifest.Upstream, path string) (*cacheEvents, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + u.Address + path)
	x, err := p.pool.Start(ctx, u.Address, req, false)
	if err != nil {
		return nil, err
	}
	body, err := x.ReadAll(maxCacheEventsBytes)
	if err != nil {
		return nil, err
	}
	if code := x.Response.StatusCode(); code != fasthttp.StatusOK {
		return nil, errors.Errorf("get cache events of %s: status %d", u.Name, code)
	}
	events := &cacheEvents{}
	return events, errors.Wrapf(json.Unmarshal(body, events), "decode cache events of %s", u.Name)
}
