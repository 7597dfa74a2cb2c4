package configcheck

func (c *checker) checkServices() {
	routed := make(map[string]bool)
	for i := range c.config.Routes {
		for _, s := range c.config.Routes[i].services() {
			routed[s.Service] = true
		}
	}
	names := make(map[string]string)
	for i, s := range c.config.Services {
		entry := EntryName(KindService, i, s.Name)
		c.checkName(entry, s.Name, names, "the later one replaces the earlier one")
		if s.Name != "" && !routed[s.Name] {
			c.warn(entry, "add a route or remove the service", "no route leads to it")
		}
		if s.MaxConns < 0 {
			c.warn(entry, "leave it out or make it positive", "a connection limit below 0 counts as none")
		}
		if s.Scaling != nil {
			c.checkScaling(entry, &s)
		}
	}
}

// checkScaling finds numbers of upstreams that contradict each other or the engine's slots.
func (c *checker) checkScaling(entry string, s *Service) {
	if s.Scaling.Min < 0 || s.Scaling.Max < 0 {
		c.warn(entry, "use numbers of 0 or more", "the minimum or maximum of upstreams is below 0")
	}
	if s.Scaling.Min > s.Scaling.Max {
		c.warn(entry, "lower the minimum or raise the maximum", "the minimum of %d upstreams is above the maximum of %d", s.Scaling.Min, s.Scaling.Max)
	}
	if s.Scaling.Min > 0 && s.Engine != nil && s.Engine.Slots <= 0 && !c.undecoded[entry] {
		c.warn(entry, "set the slots of the engine or a minimum of 0", "the minimum is %d upstreams, but the engine has %d slots and serves nothing", s.Scaling.Min, s.Engine.Slots)
	}
}

func (c *checker) checkCustomers() {
	names, keys := make(map[string]string), make(map[string]string)
	for i, customer := range c.config.Customers {
		entry := EntryName(KindCustomer, i, customer.Name)
		c.checkName(entry, customer.Name, names, "both get the limit of the later one")
		c.checkKeys(entry, customer.Keys, keys)
		c.checkLimit(entry, &customer)
	}
}

// checkKeys finds keys that an earlier customer has. Keys are secrets: findings give their
// position only. seen maps keys to entries.
func (c *checker) checkKeys(entry string, keys []string, seen map[string]string) {
	if len(keys) == 0 && !c.undecoded[entry] {
		c.warn(entry, "add a key or remove the customer", "it has no key, so no request is its")
	}
	for i, key := range keys {
		if key == "" {
			c.warn(entry, "remove the key", "key %d is empty", i+1)
			continue
		}
		if first, taken := seen[key]; taken && first != entry {
			c.warn(entry, "remove the key from one of them", "%s has key %d too; its requests count for the later customer", first, i+1)
		}
		seen[key] = entry
	}
}

// checkLimit finds rates and bursts that contradict each other.
func (c *checker) checkLimit(entry string, customer *Customer) {
	if customer.Rate < 0 || customer.Burst < 0 || customer.DefaultTokens < 0 {
		c.warn(entry, "use numbers of 0 or more", "the rate, the burst or the default cost of a request is below 0")
	}
	if customer.Rate > 0 && customer.Burst == 0 && !c.undecoded[entry] {
		c.warn(entry, "set a burst of at least one request", "the burst is 0 with a rate of %v per second, so all its requests are refused", customer.Rate)
	}
}
