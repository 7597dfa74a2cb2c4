package framing

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

const (
	maxLineBytes  = 256     // bytes of a line with a chunk's size, and of a trailer line
	maxChunkBytes = 1 << 30 // bytes of a chunk
	maxTrailers   = 16      // lines after the last chunk
)

// chunkState is what a Chunks decoder waits for.
type chunkState int

const (
	inSizeLine chunkState = iota
	inData
	inDataEnd // the line end after a chunk's data
	inTrailers
	complete
)

// ChunkDecoder decodes a chunked body that arrives piece by piece. The zero value is
// ready. It belongs to one goroutine.
type ChunkDecoder struct {
	state     chunkState
	remaining int    // bytes of the chunk that are missing
	line      []byte // of a size or trailer, so far
	trailers  int
}

// Done tells whether the end of the body was decoded.
func (c *ChunkDecoder) Done() bool { return c.state == complete }

// Decode takes what has arrived and appends the body's bytes to dst. It returns
// dst and the number of bytes used; what is left over belongs to the next
// message. An error is final.
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

// readLine takes bytes up to a line end and acts on the line once it is whole.
func (c *ChunkDecoder) readLine(src []byte) (int, error) {
	end := bytes.IndexByte(src, '\n')
	n := end + 1
	if end < 0 {
		n = len(src)
	}
	if len(c.line)+n > maxLineBytes {
		return n, errors.New("line between chunks is too long")
	}
	c.line = append(c.line, src[:n]...)
	if end < 0 {
		return n, nil
	}
	line, whole := bytes.CutSuffix(c.line, crlf)
	if !whole {
		return n, errors.New("line between chunks ends without a carriage return")
	}
	err := c.handleLine(line)
	c.line = c.line[:0]
	return n, err
}

func (c *ChunkDecoder) handleLine(line []byte) error {
	switch c.state {
	case inDataEnd:
		if len(line) > 0 {
			return errors.New("chunk is longer than its size")
		}
		c.state = inSizeLine
		return nil
	case inTrailers:
		if len(line) == 0 {
			c.state = complete
			return nil
		}
		if c.trailers++; c.trailers > maxTrailers {
			return errors.New("too many trailers")
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

// parseChunkSize reads the size of a chunk; extensions are refused, since parties
// differ on them.
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
