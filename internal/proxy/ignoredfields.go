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
	mu   sync.Mutex
	seen map[ignoredField]bool
}

type ignoredField struct {
	upstream roster.Key
	name     string
}

// isNew reports whether a field of an upstream has not been ignored before.
func (f *ignoredFields) isNew(k roster.Key, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
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
