package configcheck

import "strings"

// maxPriority is the lowest priority that daemons tell apart.
const maxPriority = 1000

func (c *checker) checkRoutes() {
	known := make(map[string]bool, len(c.config.Services))
	for _, s := range c.config.Services {
		known[s.Name] = true
	}
	names, matches := make(map[string]string), make(map[string]string)
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		entry := EntryName(KindRoute, i, r.Name)
		c.checkRequired(entry, r)
		c.checkMatch(entry, r, matches)
		c.checkSplit(entry, r, known)
		c.checkTargets(entry, r)
		c.checkName(entry, r.Name, names, "logs and metrics do not tell them apart")
		if !r.KnownKind && !c.undecoded[entry] {
			c.warn(entry, "use one of the documented kinds", "the kind %q is unknown, so its requests never run twice", r.Kind)
		}
		if r.Priority < 0 || r.Priority > maxPriority {
			c.warn(entry, "use a priority from 0 to 1000", "the priority %d is out of range and gets replaced by the nearest one", r.Priority)
		}
	}
}

// checkName finds missing names and names that an earlier entry has; seen maps names to entries.
func (c *checker) checkName(entry, name string, seen map[string]string, effect string) {
	if name == "" {
		if !c.undecoded[entry] {
			c.warn(entry, "give it a name", "the name is missing")
		}
		return
	}
	if first, repeated := seen[name]; repeated {
		c.warn(entry, "rename one of them", "%s has the same name: %s", first, effect)
		return
	}
	seen[name] = entry
}

// checkRequired finds the fields without which a daemon refuses the configuration.
func (c *checker) checkRequired(entry string, r *Route) {
	if c.undecoded[entry] {
		return
	}
	for _, field := range []struct {
		name    string
		missing bool
	}{
		{"host", r.Host == ""},
		{"prefix", r.Prefix == ""},
		{"service", r.services()[0].Service == ""},
	} {
		if field.missing {
			c.fail(entry, "add it", "the %s is missing", field.name)
		}
	}
	if r.Timeout <= 0 {
		c.fail(entry, "set a positive timeout", "the timeout is missing or not above 0")
	}
}

// checkMatch finds routes that no request can match; seen maps hosts and prefixes to entries.
func (c *checker) checkMatch(entry string, r *Route, seen map[string]string) {
	if r.Host == "" || r.Prefix == "" {
		return
	}
	if strings.Contains(r.Host, ":") {
		c.warn(entry, "remove the port", "the host %q has a port, so no request matches it", r.Host)
	}
	if !strings.HasPrefix(r.Prefix, "/") || strings.Contains(r.Prefix, "?") {
		c.warn(entry, "begin the prefix with a slash and leave out the query", "no path begins with the prefix %q", r.Prefix)
	}
	key := strings.ToLower(r.Host) + " " + r.Prefix
	if first, taken := seen[key]; taken {
		c.warn(entry, "remove one of them or change its prefix", "%s has the host %q and prefix %q already, so this route gets no request", first, r.Host, r.Prefix)
		return
	}
	seen[key] = entry
}

// checkSplit finds services that get no requests of the route and services that do not exist.
func (c *checker) checkSplit(entry string, r *Route, known map[string]bool) {
	if c.undecoded[entry] {
		return
	}
	total := 0
	for _, s := range r.services() {
		total += s.Weight
	}
	if total <= 0 {
		c.warn(entry, "set the weights", "all weights of the split are 0, so the first service gets all requests")
	}
	for _, s := range r.services() {
		if s.Service == "" {
			continue // the first one is reported as missing
		}
		if !known[s.Service] && !c.undecoded[KindConfig] {
			c.warn(entry, "add the service or correct the name", "the service %q does not exist", s.Service)
		}
		if s.Weight <= 0 && total > 0 {
			c.warn(entry, "remove it from the split or raise the weight", "the service %q has weight 0 and gets no request", s.Service)
		}
	}
	for _, s := range r.services()[1:] {
		if s.Service == "" {
			c.warn(entry, "name a service", "a part of the split has no service, so its requests fail")
		}
	}
}

// checkTargets finds targets that contradict the timeout.
func (c *checker) checkTargets(entry string, r *Route) {
	if r.LatencyTarget < 0 || r.GapTarget < 0 {
		c.warn(entry, "leave the target out or make it positive", "a target below 0 counts as none")
	}
	if r.Timeout <= 0 {
		return
	}
	if r.LatencyTarget > r.Timeout {
		c.warn(entry, "lower the target or raise the timeout", "the latency target %v is above the timeout %v", r.LatencyTarget, r.Timeout)
	}
	if r.GapTarget > r.Timeout {
		c.warn(entry, "lower the gap target or raise the timeout", "the gap target %v is above the timeout %v", r.GapTarget, r.Timeout)
	}
}
