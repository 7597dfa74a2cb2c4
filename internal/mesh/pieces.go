package mesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonmux/lagoonmux/internal/mesh/meshpb"
)

const (
	// maxPiece is the largest piece of a table's rows. On the slowest links, of 10 Mbit/s, one
	// takes 26 ms, for which other messages wait.
	maxPiece = 32 << 10
	// minPiece is the smallest piece, if many daemons read at the same time.
	minPiece = 1 << 10
	// outstandingBytes is divided between the daemons that read pieces here at the same time,
	// so that no more wait in this VM's link: 52 ms at 10 Mbit/s, half of askTimeout.
	outstandingBytes = 64 << 10
	// readerTTL is how long a daemon counts as reading after its last piece.
	readerTTL = 300 * time.Millisecond
	// maxContents is the number of responses that are kept for being read in pieces, contentTTL
	// the time for which one that nobody reads is kept.
	maxContents = 8
	contentTTL  = 10 * time.Second
	// maxTableBytes bounds the decompressed rows of a table.
	maxTableBytes = 64 << 20
)

// content is a compressed TableRows that is read in pieces.
type content struct {
	id     uint64 // hash of data
	key    contentKey
	data   []byte
	usedAt time.Duration // boot time
}

// contentKey identifies the changes of a table between two versions.
type contentKey struct {
	table               string
	sinceEra, since     int64
	changedEra, changed int64
	whole               bool
}

// pieceServer sends large responses to reads of tables in pieces. Each is compressed once for
// all readers.
type pieceServer struct {
	mu       sync.Mutex
	contents []*content
	readers  map[any]time.Duration // boot time of the last piece, by connection
}

// next returns the next piece of the content that the request names. It returns nil if that
// is not known here.
func (s *pieceServer) next(req *meshpb.TableRequest, reader any, now time.Duration) *meshpb.Piece {
	if req.Content == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = slices.DeleteFunc(s.contents, func(c *content) bool { return now-c.usedAt > contentTTL })
	i := slices.IndexFunc(s.contents, func(c *content) bool { return c.id == req.Content })
	if i < 0 {
		return nil
	}
	return s.piece(s.contents[i], req, reader, now)
}

// add compresses rows, unless that was done before, and returns the piece that the request
// asks for: the first one, or a later one if the caller has the same content in part.
func (s *pieceServer) add(rows *meshpb.TableRows, req *meshpb.TableRequest, reader any, now time.Duration) (*meshpb.Piece, error) {
	key := contentKey{req.Name, req.Era, req.Since, rows.Era, rows.Changed, rows.Whole}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.contents, func(c *content) bool { return c.key == key })
	if i >= 0 {
		return s.piece(s.contents[i], req, reader, now), nil
	}
	data, err := compressRows(rows)
	if err != nil {
		return nil, err
	}
	if len(s.contents) == maxContents {
		oldest := slices.MinFunc(s.contents, func(a, b *content) int { return cmp.Compare(a.usedAt, b.usedAt) })
		s.contents = slices.DeleteFunc(s.contents, func(c *content) bool { return c == oldest })
	}
	c := &content{id: xxhash.Sum64(data), key: key, data: data}
	s.contents = append(s.contents, c)
	return s.piece(c, req, reader, now), nil
}

// piece returns the piece of a content that a request asks for. The caller holds mu.
func (s *pieceServer) piece(c *content, req *meshpb.TableRequest, reader any, now time.Duration) *meshpb.Piece {
	c.usedAt = now
	offset := int(req.Offset)
	if req.Content != c.id || offset >= len(c.data) {
		offset = 0
	}
	size := min(int(req.MaxBytes), s.pieceSize(reader, now), len(c.data)-offset)
	if offset+size == len(c.data) {
		delete(s.readers, reader)
	}
	return &meshpb.Piece{Content: c.id, Total: uint32(len(c.data)), Offset: uint32(offset), Data: c.data[offset : offset+size]}
}

// pieceSize records that a daemon reads and returns the size of its next piece. The caller
// holds mu.
func (s *pieceServer) pieceSize(reader any, now time.Duration) int {
	for r, at := range s.readers {
		if now-at > readerTTL {
			delete(s.readers, r)
		}
	}
	if s.readers == nil {
		s.readers = make(map[any]time.Duration)
	}
	s.readers[reader] = now
	return max(outstandingBytes/len(s.readers), minPiece)
}

// compressRows encodes and compresses rows. Equal rows give equal bytes.
func compressRows(rows *meshpb.TableRows) ([]byte, error) {
	slices.SortFunc(rows.Rows, func(a, b *meshpb.Row) int { return cmp.Compare(a.Key, b.Key) })
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(rows)
	if err != nil {
		return nil, errors.Wrap(err, "encode rows")
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.Wrap(err, "start compression")
	}
	defer w.Close()
	return w.EncodeAll(data, nil), nil
}

// decompressRows is the reverse of compressRows.
func decompressRows(data []byte) (*meshpb.TableRows, error) {
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxTableBytes))
	if err != nil {
		return nil, errors.Wrap(err, "start decompression")
	}
	defer r.Close()
	plain, err := r.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decompress rows")
	}
	rows := &meshpb.TableRows{}
	if err := proto.Unmarshal(plain, rows); err != nil {
		return nil, errors.Wrap(err, "decode rows")
	}
	return rows, nil
}
