package proxy

import (
	"sync"

	"github.com/lagoonmux/lagoonmux/internal/roster"
)

// maxIgnoredFields bounds the fields that are remembered.
const maxIgnoredFields = 1024

// ignoredFields remembers the fields of responses that were ignored, so that each is logged
// once for an incarnation of an upstream.
type ignoredFields struct {
	mu    sync.Mutex
	seen  map[ignoredField]bool
	count int64 // of all ignored fields
}

type ignoredField struct {
	upstream roster.Key
	name     string
}

// IgnoredFields returns how many fields of responses were ignored because of their values.
func (p *Proxy) IgnoredFields() int64 {
	p.ignoredFields.mu.Lock()
	defer p.ignoredFields.mu.Unlock()
	return p.ignoredFields.count
}

// add counts an ignored field, and reports whether it is the first one of its name from an
// incarnation of an upstream.
func (f *ignoredFields) add(k roster.Key, name string) (first bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	field := ignoredField{k, name}
	if f.seen[field] {
		return false
	}
	if f.seen == nil || len(f.seen) >= maxIgnoredFields {
		f.seen = make(map[ignoredField]bool)
	}
	f.seen[field] = true
	return true
}
