package platform

import (
	"bytes"
	"context"
	"sync"
)

// MemoryObjects is an object store in this process's memory.
type MemoryObjects struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// NewMemoryObjects returns an empty store.
func NewMemoryObjects() *MemoryObjects { return &MemoryObjects{objects: make(map[string][]byte)} }

// Get implements Objects.
func (m *MemoryObjects) Get(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	data, ok := m.objects[name]
	if !ok {
		return nil, ErrNotFound
	}
	return bytes.Clone(data), nil
}

// Put implements Objects.
func (m *MemoryObjects) Put(_ context.Context, name string, data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[name] = bytes.Clone(data)
	return nil
}

// Delete implements Objects.
func (m *MemoryObjects) Delete(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.objects, name)
	return nil
}

// Len returns the number of objects.
func (m *MemoryObjects) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.objects)
}
