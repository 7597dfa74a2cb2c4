// Package platform defines the interfaces of the services that lagoonmux runs
// on: a transactional table and an object store.
//
// Clients of real services are in the folders below, one package each, and so is
// the client of the cloud API. The in-memory implementations here are for tests
// and for the stand-in services.
package platform

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of the platform's services. Test for them with errors.Is.
var (
	// ErrNotFound means that the row, the object or the VM does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that a row did not have the expected version; nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable means that the call failed and had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown means that the response was lost and the write may have happened.
	ErrOutcomeUnknown = errors.New("effect unknown")
)

// AnyVersion, as the Version of a Write, makes the write unconditional.
const AnyVersion int64 = -1

// Row is one versioned value of the table. Its key has the form partition/name.
type Row struct {
	Key     string
	Version int64 // 1 after the first write; each later write adds 1
	Value   []byte
}

// Write is one conditional change within a commit.
type Write struct {
	Key     string
	Version int64 // expected version of the row: 0 if it must be absent, or AnyVersion
	Value   []byte
	Delete  bool
}

// Table is a transactional table service. Its methods are safe for concurrent
// use.
type Table interface {
	// Get reads one row. It returns ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads up to limit rows of a partition, in the order of their names,
	// starting after the name in after.
	Scan(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. A retry of a successful commit with the
	// same token succeeds without effect. It returns ErrConflict, ErrUnavailable
	// or ErrOutcomeUnknown. After ErrOutcomeUnknown, the caller finds out what
	// happened by reading the rows or by retrying the commit with the same token.
	Commit(ctx context.Context, token string, writes []Write) error
}

// Objects is an object store. Its methods are safe for concurrent use.
type Objects interface {
	// Get reads an object. It returns ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put creates or replaces an object.
	Put(ctx context.Context, name string, data []byte) error
	// Delete removes an object. It is no error if the object does not exist.
	Delete(ctx context.Context, name string) error
}
