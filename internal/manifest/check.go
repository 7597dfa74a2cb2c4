package manifest

import (
	"fmt"
	"strings"

	"github.com/lagoonmux/lagoonmux/internal/jsonc"
)

const (
	defaultRetryShare   = 0.1
	defaultMaxBodyBytes = 1 << 20
	defaultWeightLoads  = 0.2 // per second
)

// check validates the rules that involve more than one field.
func (m *Manifest) check(doc *jsonc.Document) {
	services := checkUnique(doc, "services", m.Services, func(s *Service) string { return s.Name })
	classes := checkUnique(doc, "vm_classes", m.VMClasses, func(c *VMClass) string { return c.Name })
	checkUnique(doc, "upstreams", m.Upstreams, func(u *Upstream) string { return u.Name })
	checkUnique(doc, "customers", m.Customers, func(c *Customer) string { return c.Name })
	m.checkKeys(doc)
	m.checkUpstreams(doc, services, classes)
	m.checkTemplates(doc, services)
	for i := range m.Services {
		m.Services[i].check(doc, fmt.Sprintf("services[%d]", i))
	}
}

// checkUnique rejects duplicate names and returns the set of all names.
func checkUnique[T any](doc *jsonc.Document, field string, list []T, name func(*T) string) map[string]bool {
	seen := make(map[string]bool, len(list))
	for i := range list {
		s := name(&list[i])
		if seen[s] {
			doc.Reject(fmt.Sprintf("%s[%d].name", field, i), "name %q is used twice", s)
		}
		seen[s] = true
	}
	return seen
}

func (m *Manifest) checkKeys(doc *jsonc.Document) {
	seen := make(map[string]bool, len(m.Customers))
	for i, c := range m.Customers {
		if seen[c.Key] {
			doc.Reject(fmt.Sprintf("customers[%d].key", i), "key belongs to another customer already")
		}
		seen[c.Key] = true
	}
}

func (m *Manifest) checkUpstreams(doc *jsonc.Document, services, classes map[string]bool) {
	addresses := make(map[string]bool, len(m.Upstreams))
	for i, u := range m.Upstreams {
		field := fmt.Sprintf("upstreams[%d]", i)
		if !services[u.Service] {
			doc.Reject(field+".service", "no service is named %q", u.Service)
		}
		if !classes[u.VMClass] {
			doc.Reject(field+".vm_class", "no VM class is named %q", u.VMClass)
		}
		if addresses[u.Address] {
			doc.Reject(field+".address", "address %s belongs to another upstream already", u.Address)
		}
		addresses[u.Address] = true
	}
}

func (m *Manifest) checkTemplates(doc *jsonc.Document, services map[string]bool) {
	if m.Fleet == nil {
		return
	}
	seen := make(map[string]bool, len(m.Fleet.Templates))
	for i, t := range m.Fleet.Templates {
		field := fmt.Sprintf("fleet.templates[%d].service", i)
		if !services[t.Service] {
			doc.Reject(field, "no service is named %q", t.Service)
		}
		if seen[t.Service] {
			doc.Reject(field, "service %q has a template already", t.Service)
		}
		seen[t.Service] = true
	}
}

func (s *Service) check(doc *jsonc.Document, field string) {
	if s.Kind == Plain && len(s.Routes) == 0 {
		doc.Reject(field+".routes", "a plain service needs at least one route")
	}
	if s.Kind == Model && len(s.Routes) > 0 {
		doc.Reject(field+".routes", "a model service has no routes")
	}
	for i := range s.Routes {
		s.checkOverlap(doc, field, i)
	}
}

// checkOverlap rejects route i if its path and that of an earlier route of the
// same method overlap.
func (s *Service) checkOverlap(doc *jsonc.Document, field string, i int) {
	for j := range s.Routes[:i] {
		a, b := &s.Routes[i], &s.Routes[j]
		if a.Method == b.Method && (coversPath(a.Path, b.Path) || coversPath(b.Path, a.Path)) {
			doc.Reject(fmt.Sprintf("%s.routes[%d].path", field, i), "overlaps with route %s %s", b.Method, b.Path)
		}
	}
}

// coversPath reports whether path equals prefix or lies below it, compared by
// whole path segments.
func coversPath(prefix, path string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

func (m *Manifest) setDefaults() {
	if m.Fleet != nil && m.Fleet.WeightLoads == 0 {
		m.Fleet.WeightLoads = defaultWeightLoads
	}
	for i := range m.Services {
		s := &m.Services[i]
		if s.Class == "" {
			s.Class = Normal
		}
		if s.Policy == "" {
			s.Policy = ExpectedLatency
		}
		if s.RetryShare == 0 {
			s.RetryShare = defaultRetryShare
		}
		if s.MaxBodyBytes == 0 {
			s.MaxBodyBytes = defaultMaxBodyBytes
		}
		s.setRouteDefaults()
	}
}

func (s *Service) setRouteDefaults() {
	for i := range s.Routes {
		if s.Routes[i].Class == "" {
			s.Routes[i].Class = s.Class
		}
	}
}
