package configcheck

import (
	"fmt"
	"slices"
)

// field is one field of an entry in a form that can be compared and printed.
type field struct{ name, value string }

// entry is an entry of a configuration, identified by its kind, its name and its position among
// the entries of the same name.
type entry struct {
	kind, name string
	occurrence int
	fields     []field
	keys       []string // compared without being printed
}

func (e *entry) String() string {
	switch {
	case e.kind == KindConfig:
		return KindConfig
	case e.occurrence > 0:
		return fmt.Sprintf("%s %q (%d)", e.kind, e.name, e.occurrence+1)
	}
	return fmt.Sprintf("%s %q", e.kind, e.name)
}

// Diff lists how config differs from the one in force, one line for each difference. The order
// of entries and the version do not count.
func Diff(inForce, config *Config) []string {
	var lines []string
	before, after := index(inForce), index(config)
	for _, e := range entries(config) {
		old, existed := before[e.id()]
		if !existed {
			lines = append(lines, fmt.Sprintf("%v: added", e))
			continue
		}
		lines = append(lines, old.changes(e)...)
	}
	for _, e := range entries(inForce) {
		if _, exists := after[e.id()]; !exists {
			lines = append(lines, fmt.Sprintf("%v: removed", e))
		}
	}
	return lines
}

type entryID struct {
	kind, name string
	occurrence int
}

func (e *entry) id() entryID { return entryID{e.kind, e.name, e.occurrence} }

func index(c *Config) map[entryID]*entry {
	out := make(map[entryID]*entry)
	for _, e := range entries(c) {
		out[e.id()] = e
	}
	return out
}

// changes lists the fields that differ in the newer version of the entry.
func (e *entry) changes(newer *entry) []string {
	var lines []string
	for i, f := range e.fields {
		if to := newer.fields[i].value; to != f.value {
			lines = append(lines, fmt.Sprintf("%v: %s: %s -> %s", e, f.name, f.value, to))
		}
	}
	added, removed := missing(e.keys, newer.keys), missing(newer.keys, e.keys)
	if added > 0 || removed > 0 {
		lines = append(lines, fmt.Sprintf("%v: keys: %d added, %d removed", e, added, removed))
	}
	return lines
}

// missing returns how many of the keys are not in a list.
func missing(list, keys []string) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(list, k) {
			n++
		}
	}
	return n
}

// entries returns the entries of a configuration.
func entries(c *Config) []*entry {
	list := []*entry{{kind: KindConfig, fields: limitFields(&c.Limits)}}
	for i := range c.Routes {
		list = append(list, &entry{kind: KindRoute, name: c.Routes[i].Name, fields: routeFields(&c.Routes[i])})
	}
	for i := range c.Services {
		list = append(list, &entry{kind: KindService, name: c.Services[i].Name, fields: serviceFields(&c.Services[i])})
	}
	for i := range c.Customers {
		list = append(list, &entry{kind: KindCustomer, name: c.Customers[i].Name, fields: customerFields(&c.Customers[i]), keys: c.Customers[i].Keys})
	}
	seen := make(map[entryID]int)
	for _, e := range list {
		id := e.id()
		e.occurrence = seen[id]
		seen[id]++
	}
	return list
}

func limitFields(l *HTTPLimits) []field {
	return []field{
		text("header bytes", l.HeaderBytes), text("body bytes", l.BodyBytes),
		text("header timeout", l.HeaderTimeout), text("idle timeout", l.IdleTimeout),
	}
}

func routeFields(r *Route) []field {
	return []field{
		text("host", r.Host), text("prefix", r.Prefix), text("kind", r.Kind), text("timeout", r.Timeout),
		text("latency target", r.LatencyTarget), text("gap target", r.GapTarget), text("priority", r.Priority),
		text("attempts", r.MaxAttempts), text("without key", r.Public), text("resumable", r.Resumable),
		text("services", r.services()),
	}
}

func serviceFields(s *Service) []field {
	engine, scaling := "none", "none"
	if s.Engine != nil {
		engine = fmt.Sprintf("%+v", *s.Engine)
	}
	if s.Scaling != nil {
		scaling = fmt.Sprintf("%+v", *s.Scaling) // prints maps in the order of their keys
	}
	return []field{text("connections", s.MaxConns), {"engine", engine}, {"scaling", scaling}}
}

func customerFields(c *Customer) []field {
	priority := "of the route"
	if c.Priority != nil {
		priority = fmt.Sprint(*c.Priority)
	}
	return []field{
		{"priority", priority}, text("limit by tokens", c.LimitByTokens), text("default cost", c.DefaultTokens),
		text("rate", c.Rate), text("burst", c.Burst),
	}
}

func text(name string, value any) field { return field{name, fmt.Sprint(value)} }
