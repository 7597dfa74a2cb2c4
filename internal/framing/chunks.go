package framing

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

const (
	maxLineBytes  = 256     // size limit of a chunk-size line or a trailer line, line end included
	maxChunkBytes = 1 << 30 // size limit of one chunk's data
	maxTrailers   = 16      // trailer lines after the last chunk
)

// chunkState is the element of the chunked coding that a ChunkDecoder expects next.
type chunkState int

const (
	inSizeLine chunkState = iota
	inData
	inDataEnd // the CRLF after a chunk's data
	inTrailers
	complete
)

// ChunkDecoder decodes a chunked body incrementally. The zero value is ready to use.
// It is not safe for concurrent use.
type ChunkDecoder struct {
	state     chunkState
	remaining int    // bytes of the current chunk's data not decoded yet
	line      []byte // the part of the current size, trailer or data-end line received so far
	trailers  int    // trailer lines seen
}

// Done reports whether the end of the body was decoded.
func (c *ChunkDecoder) Done() bool { return c.state == complete }

// Decode decodes the next received bytes, src, and appends the body's data to dst. It
// returns dst and the number of bytes of src consumed; after the end of the body the
// rest of src belongs to the next message. The decoder is unusable after an error.
func (c *ChunkDecoder) Decode(dst, src []byte) ([]byte, int, error) {
	used := 0
	for used < len(src) && c.state != complete {
		if c.state == inData {
			n := min(c.remaining, len(src)-used)
			dst = append(dst, src[used:used+n]...)
			used += n
			if c.remaining -= n; c.remaining == 0 {
				c.state = inDataEnd
			}
			continue
		}
		n, err := c.readLine(src[used:])
		used += n
		if err != nil {
			return dst, used, err
		}
	}
	return dst, used, nil
}

// readLine consumes bytes of src up to the next line end, and handles the line once it
// is complete. It returns the number of bytes consumed.
func (c *ChunkDecoder) readLine(src []byte) (int, error) {
	end := bytes.IndexByte(src, '\n')
	n := end + 1
	if end < 0 {
		n = len(src)
	}
	if len(c.line)+n > maxLineBytes {
		return n, errors.New("chunk-size or trailer line is too long")
	}
	c.line = append(c.line, src[:n]...)
	if end < 0 {
		return n, nil
	}
	line, found := bytes.CutSuffix(c.line, crlf)
	if !found {
		return n, errors.New("chunk-size or trailer line ends without a carriage return")
	}
	err := c.handleLine(line)
	c.line = c.line[:0]
	return n, err
}

// handleLine handles a complete line, without its CRLF, and moves to the next state.
func (c *ChunkDecoder) handleLine(line []byte) error {
	switch c.state {
	case inDataEnd:
		if len(line) > 0 {
			return errors.New("chunk data is longer than the chunk size")
		}
		c.state = inSizeLine
		return nil
	case inTrailers:
		if len(line) == 0 {
			c.state = complete
			return nil
		}
		if c.trailers++; c.trailers > maxTrailers {
			return errors.New("too many trailer lines")
		}
		_, _, err := parseField(line)
		return err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return err
	}
	c.remaining = size
	c.state = inData
	if size == 0 {
		c.state = inTrailers
	}
	return nil
}

// parseChunkSize parses a chunk-size line. It rejects chunk extensions, since HTTP
// implementations disagree on how to parse them.
func parseChunkSize(line []byte) (int, error) {
	for _, b := range line {
		hex := b >= '0' && b <= '9' || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
		if !hex {
			return 0, errors.Errorf("chunk size %.40q is not a hexadecimal number", line)
		}
	}
	size, err := strconv.ParseUint(string(line), 16, 32)
	if err != nil || size > maxChunkBytes {
		return 0, errors.Errorf("chunk size %.40q is out of range", line)
	}
	return int(size), nil
}
