package load

import (
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/manifest"
	"github.com/lagoonmux/lagoonmux/internal/standin/engine"
	"github.com/lagoonmux/lagoonmux/internal/standin/httpjson"
	"github.com/lagoonmux/lagoonmux/internal/standin/plain"
)

const auditTimeout = 5 * time.Second

// audit compares the outcomes that callers received with the requests that the
// simulated upstreams (stand-ins) report to have run.
type audit struct {
	manifest *manifest.Manifest // has the addresses of the stand-ins if control is empty; if it is nil as well, nothing is audited
	control  string             // address that forwards /NAME/... to the stand-in of that name; empty if there is none

	// Addresses of the stand-ins by kind. If control is set, they are that address
	// followed by a slash and the name of the stand-in.
	engines       []string
	plainServices []string

	mu       sync.Mutex
	notRun   map[string]bool // idempotency keys and request IDs with outcome not-run
	answered map[string]bool // keys with a complete and correct response
	sentKeys map[string]bool // idempotency keys sent to plain services
}

func newAudit(m *manifest.Manifest, control string) *audit {
	return &audit{manifest: m, control: control,
		notRun: make(map[string]bool), answered: make(map[string]bool), sentKeys: make(map[string]bool)}
}

// discover lists the stand-ins anew, as some may have been started during the run.
func (a *audit) discover() error {
	a.engines, a.plainServices = nil, nil
	if a.control != "" {
		kinds := make(map[string]manifest.Kind)
		if err := getJSON(a.control, "/", &kinds); err != nil {
			return err
		}
		for name, kind := range kinds {
			a.add(a.control+"/"+name, kind)
		}
		return nil
	}
	if a.manifest == nil {
		return nil
	}
	active := manifest.NewActive(0, a.manifest)
	for _, u := range a.manifest.Upstreams {
		a.add(u.Address, active.Service(u.Service).Kind)
	}
	return nil
}

func (a *audit) add(address string, kind manifest.Kind) {
	if kind == manifest.Plain {
		a.plainServices = append(a.plainServices, address)
	} else {
		a.engines = append(a.engines, address)
	}
}

// record stores the verdict of r for the audit. A not-run response to a request that
// was sent twice is not recorded: the duplicate under the same key may have run.
func (a *audit) record(r *request, res *result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.caller.Kind != Plain {
		if res.verdict == NotRun {
			a.notRun[res.id] = true
		}
		return
	}
	if r.key == "" {
		return
	}
	a.sentKeys[r.key] = true
	switch res.verdict {
	case NotRun:
		if !r.duplicate {
			a.notRun[r.key] = true
		}
	case OnTime, Late:
		a.answered[r.key] = true
	}
}

// usage holds sums of the counters of stand-ins: tokens, and the price of the time
// that they were up.
type usage struct {
	generated, cached, recomputed int64
	cost                          float64
}

// readUsage sums the counters of all stand-ins that respond, and lists those that
// received requests after a notice.
func (a *audit) readUsage() (usage, []AfterNotice) {
	var u usage
	var after []AfterNotice
	for _, address := range a.engines {
		var s engine.Stats
		if getJSON(address, engine.PathStats, &s) != nil {
			continue
		}
		u.generated += s.GeneratedTokens
		u.cached += s.CachedTokens
		u.recomputed += s.RecomputedTokens
		u.cost += s.Cost
		if s.LeavingStats.Requests > 0 {
			after = append(after, AfterNotice{Upstream: s.Name, Requests: s.LeavingStats.Requests, LastMS: s.LastMS})
		}
	}
	for _, address := range a.plainServices {
		var s plain.Stats
		if getJSON(address, plain.StatsPath, &s) != nil {
			continue
		}
		u.cost += s.Cost
		if s.LeavingStats.Requests > 0 {
			after = append(after, AfterNotice{Upstream: s.Name, Requests: s.LeavingStats.Requests, LastMS: s.LastMS})
		}
	}
	return u, after
}

// findViolations adds to the report the keys and requests whose outcome doesn't match
// what the stand-ins ran.
func (a *audit) findViolations(r *Report) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	runs := make(map[string]int)
	for _, address := range a.plainServices {
		counts := make(map[string]int)
		if err := getJSON(address, plain.RunsPath, &counts); err != nil {
			return err
		}
		for key, n := range counts {
			runs[key] += n
		}
	}
	for key := range a.sentKeys {
		switch n := runs[key]; {
		case n > 1:
			r.Doubled = append(r.Doubled, key)
		case n > 0 && a.notRun[key]:
			r.RanNotRun = append(r.RanNotRun, key)
		case n == 0 && a.answered[key] && len(a.plainServices) > 0:
			r.LostEffects = append(r.LostEffects, key)
		}
	}
	if err := a.findRanRequests(r); err != nil {
		return err
	}
	sort.Strings(r.Doubled)
	sort.Strings(r.RanNotRun)
	sort.Strings(r.LostEffects)
	return nil
}

// findRanRequests adds the model requests that an engine ran although their outcome
// was not-run.
func (a *audit) findRanRequests(r *Report) error {
	ids := make([]string, 0, len(a.notRun))
	for id := range a.notRun {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return nil
	}
	for _, address := range a.engines {
		ran, err := queryRan(address, ids)
		if err != nil {
			return err
		}
		r.RanNotRun = append(r.RanNotRun, ran...)
	}
	return nil
}

// queryRan returns those of the request IDs that the engine at address has run.
func queryRan(address string, ids []string) ([]string, error) {
	var ran []string
	return ran, httpjson.Post(address, engine.PathRan, auditTimeout, ids, &ran)
}

func getJSON(address, path string, v any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+path, auditTimeout)
	if err == nil && status != fasthttp.StatusOK {
		err = errors.Errorf("unexpected status %d", status)
	}
	if err == nil {
		err = json.Unmarshal(body, v)
	}
	return errors.Wrapf(err, "GET %s%s", address, path)
}
