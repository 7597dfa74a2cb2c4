package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
)

// MemoryTable is a Table in this process's memory. It stores the tokens of all
// successful commits, so that a retried commit has no effect.
type MemoryTable struct {
	mu     sync.Mutex
	rows   map[string]Row
	tokens map[string]bool
}

// NewMemoryTable returns an empty table.
func NewMemoryTable() *MemoryTable {
	return &MemoryTable{rows: make(map[string]Row), tokens: make(map[string]bool)}
}

// Get implements Table.
func (m *MemoryTable) Get(_ context.Context, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return Row{}, ErrNotFound
	}
	return row, nil
}

// Scan implements Table.
func (m *MemoryTable) Scan(_ context.Context, partition, after string, limit int) ([]Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	prefix := partition + "/"
	var found []Row
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) && key > prefix+after {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// Commit implements Table.
func (m *MemoryTable) Commit(_ context.Context, token string, writes []Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tokens[token] {
		return nil
	}
	if err := m.checkVersions(writes); err != nil {
		return err
	}
	m.tokens[token] = true
	for _, w := range writes {
		m.apply(w)
	}
	return nil
}

func (m *MemoryTable) checkVersions(writes []Write) error {
	for _, w := range writes {
		if w.Version != AnyVersion && m.rows[w.Key].Version != w.Version {
			return ErrConflict
		}
	}
	return nil
}

func (m *MemoryTable) apply(w Write) {
	if w.Delete {
		delete(m.rows, w.Key)
		return
	}
	next := m.rows[w.Key].Version + 1
	m.rows[w.Key] = Row{Key: w.Key, Version: next, Value: w.Value}
}
