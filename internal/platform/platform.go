// Package platform defines what lagoonmux needs from the platform: a
// transactional table, an object store, and the cloud API.
//
// The implementations lie one a folder; the in-memory table here serves tests
// and the stand-in.
package platform

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of the platform's services. Test for them with errors.Is.
var (
	// ErrNotFound says that the row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict says that a condition did not hold and nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrUnavailable says that the service refused before doing anything.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown says that the answer was lost: the write may have happened.
	ErrOutcomeUnknown = errors.New("effect unknown")
)

// AnyVersion as a Write's Version writes without a condition.
const AnyVersion int64 = -1

// Row is one versioned value of the table. A key is partition "/" name.
type Row struct {
	Key     string
	Version int64 // 1 for the first write, then rising by one
	Value   []byte
}

// Write is one conditional change of a commit.
type Write struct {
	Key     string
	Version int64 // that the row must have: 0 for absent, or AnyVersion
	Value   []byte
	Delete  bool
}

// Table is the platform's transactional table service. All methods may be
// called from any goroutine.
type Table interface {
	// Get reads one row. It returns ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads up to limit rows of a partition whose names follow after.
	Scan(ctx context.Context, partition, after string, limit int) ([]Row, error)
	// Commit applies all writes or none. The token of a commit that succeeded
	// makes a repetition succeed without effect. It returns ErrConflict, ErrUnavailable, or
	// ErrUnknown, after which the caller settles by reading or by repeating
	// the same token.
	Commit(ctx context.Context, token string, writes []Write) error
}

// Objects is the platform's object store. All methods may be called from any
// goroutine.
type Objects interface {
	// Get reads an object. It returns ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes an object whole.
	Put(ctx context.Context, name string, data []byte) error
	// Delete removes an object; an absent one is no error.
	Delete(ctx context.Context, name string) error
}
