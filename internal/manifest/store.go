package manifest

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/platform"
)

const (
	newestKey       = "manifest/current"
	maxPackedBytes  = 380 << 10 // compressed; a table row holds at most 400 KB
	maxJSONBytes    = 16 << 20  // uncompressed
	maxHistory      = 32        // commits listed in the newest row
	maxStoredBodies = 16        // generations whose bodies are kept in the table
	retryPause      = 100 * time.Millisecond
)

// CommitInfo identifies the commit of one accepted manifest.
type CommitInfo struct {
	Generation int64  `json:"generation"`
	Token      string `json:"token"` // idempotency token of the commit
	By         string `json:"by"`    // daemon that committed it
	AtMS       int64  `json:"at_ms"` // unix time of the commit
}

// newestRow is the value of the row that names the newest accepted manifest. The
// version of the row equals the generation.
type newestRow struct {
	CommitInfo
	History []CommitInfo `json:"history"` // newest first, including the newest commit
}

// ConflictError reports that another manifest was accepted first.
type ConflictError struct {
	Base   int64 // generation that the rejected manifest was to replace
	Winner CommitInfo
}

// Error describes the conflict and the accepted generation.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("manifest changed since generation %d: generation %d was accepted by %s", e.Base, e.Winner.Generation, e.Winner.By)
}

// Store stores accepted manifests in the platform's table. Its methods may be
// called from any goroutine.
type Store struct {
	table platform.Table
}

// NewStore returns a Store backed by table.
func NewStore(table platform.Table) *Store { return &Store{table: table} }

// Commit stores m as the successor of generation base. Of concurrent commits to
// the same base one succeeds; the others return a *ConflictError. If the
// response of the table is lost, Commit retries with the same token until ctx
// ends; then the error wraps platform.ErrOutcomeUnknown, since m may have been stored.
func (s *Store) Commit(ctx context.Context, base int64, m *Manifest, info CommitInfo) (CommitInfo, error) {
	body, err := Pack(m)
	if err != nil {
		return CommitInfo{}, err
	}
	info.Generation = base + 1
	for {
		err := s.tryCommit(ctx, base, body, info)
		switch {
		case err == nil:
			return info, nil
		case errors.Is(err, platform.ErrConflict):
			return s.resolveConflict(ctx, base, info)
		case errors.Is(err, platform.ErrOutcomeUnknown) && sleep(ctx, retryPause):
			continue // a retry with the same token has no second effect
		default:
			return CommitInfo{}, errors.Wrap(err, "commit manifest")
		}
	}
}

func (s *Store) tryCommit(ctx context.Context, base int64, body []byte, info CommitInfo) error {
	old, err := s.readNewest(ctx)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if old.find(info.Token) != nil {
		return nil
	}
	if old.Generation != base {
		return platform.ErrConflict
	}
	value, err := json.Marshal(old.successor(info))
	if err != nil {
		return errors.Wrap(err, "encode row of the newest manifest")
	}
	writes := []platform.Write{
		{Key: newestKey, Version: base, Value: value},
		{Key: bodyKey(info.Generation), Version: platform.AnyVersion, Value: body},
	}
	if drop := info.Generation - maxStoredBodies; drop > 0 {
		writes = append(writes, platform.Write{Key: bodyKey(drop), Version: platform.AnyVersion, Delete: true})
	}
	return s.table.Commit(ctx, info.Token, writes)
}

// resolveConflict determines the outcome of a commit that failed with a
// conflict. The conflicting commit may be an earlier attempt of the same commit
// whose response was lost; the token shows it.
func (s *Store) resolveConflict(ctx context.Context, base int64, info CommitInfo) (CommitInfo, error) {
	for {
		newest, err := s.readNewest(ctx)
		if err == nil {
			if own := newest.find(info.Token); own != nil {
				return *own, nil
			}
			return CommitInfo{}, &ConflictError{Base: base, Winner: newest.CommitInfo}
		}
		if !sleep(ctx, retryPause) {
			return CommitInfo{}, errors.Wrap(platform.ErrOutcomeUnknown, "read outcome of manifest commit")
		}
	}
}

// Newest returns the commit of the newest accepted manifest. It returns
// platform.ErrNotFound if there is none yet.
func (s *Store) Newest(ctx context.Context) (CommitInfo, error) {
	newest, err := s.readNewest(ctx)
	return newest.CommitInfo, err
}

// Body returns the packed manifest of a generation, to be read by Unpack.
func (s *Store) Body(ctx context.Context, generation int64) ([]byte, error) {
	row, err := s.table.Get(ctx, bodyKey(generation))
	return row.Value, errors.Wrapf(err, "read manifest %d", generation)
}

func (s *Store) readNewest(ctx context.Context) (newestRow, error) {
	row, err := s.table.Get(ctx, newestKey)
	if err != nil {
		return newestRow{}, err
	}
	var newest newestRow
	if err := json.Unmarshal(row.Value, &newest); err != nil {
		return newestRow{}, errors.Wrap(err, "decode row of the newest manifest")
	}
	return newest, nil
}

func (r *newestRow) find(token string) *CommitInfo {
	for i := range r.History {
		if r.History[i].Token == token {
			return &r.History[i]
		}
	}
	return nil
}

func (r *newestRow) successor(info CommitInfo) newestRow {
	history := append([]CommitInfo{info}, r.History...)
	return newestRow{CommitInfo: info, History: history[:min(len(history), maxHistory)]}
}

func bodyKey(generation int64) string { return fmt.Sprintf("manifest/body-%012d", generation) }

// sleep waits for d and reports whether it elapsed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Pack encodes m as gzip-compressed JSON. It fails if the result does not fit
// into a table row.
func Pack(m *Manifest) ([]byte, error) {
	text, err := m.Encode()
	if err != nil {
		return nil, errors.Wrap(err, "encode manifest")
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress manifest")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress manifest")
	}
	if buf.Len() > maxPackedBytes {
		return nil, errors.Errorf("manifest has %d bytes compressed, limit %d", buf.Len(), maxPackedBytes)
	}
	return buf.Bytes(), nil
}

// Unpack decodes and validates a manifest encoded by Pack.
func Unpack(data []byte) (*Manifest, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress manifest")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxJSONBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress manifest")
	}
	return Parse("manifest", text)
}
