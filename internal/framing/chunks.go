package framing

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

const (
	maxChunkLine = 256     // bytes of a line with a chunk's size, and of a trailer line
	maxChunk     = 1 << 30 // bytes of a chunk
	maxTrailers  = 16      // lines after the last chunk
)

// chunkPart is what a Chunks decoder waits for.
type chunkPart int

const (
	chunkSize chunkPart = iota
	chunkData
	chunkEnd // the line end after a chunk's data
	trailer
	ended
)

// Chunks decodes a chunked body that arrives piece by piece. The zero value is
// ready. It belongs to one goroutine.
type Chunks struct {
	part     chunkPart
	left     int    // bytes of the chunk that are missing
	line     []byte // of a size or trailer, so far
	trailers int
}

// Done tells whether the end of the body was decoded.
func (c *Chunks) Done() bool { return c.part == ended }

// Decode takes what has arrived and appends the body's bytes to dst. It returns
// dst and the number of bytes used; what is left over belongs to the next
// message. An error is final.
func (c *Chunks) Decode(dst, src []byte) ([]byte, int, error) {
	used := 0
	for used < len(src) && c.part != ended {
		if c.part == chunkData {
			n := min(c.left, len(src)-used)
			dst = append(dst, src[used:used+n]...)
			used += n
			if c.left -= n; c.left == 0 {
				c.part = chunkEnd
			}
			continue
		}
		n, err := c.takeLine(src[used:])
		used += n
		if err != nil {
			return dst, used, err
		}
	}
	return dst, used, nil
}

// takeLine takes bytes up to a line end and acts on the line once it is whole.
func (c *Chunks) takeLine(src []byte) (int, error) {
	end := bytes.IndexByte(src, '\n')
	n := end + 1
	if end < 0 {
		n = len(src)
	}
	if len(c.line)+n > maxChunkLine {
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
	err := c.act(line)
	c.line = c.line[:0]
	return n, err
}

func (c *Chunks) act(line []byte) error {
	switch c.part {
	case chunkEnd:
		if len(line) > 0 {
			return errors.New("chunk is longer than its size")
		}
		c.part = chunkSize
		return nil
	case trailer:
		if len(line) == 0 {
			c.part = ended
			return nil
		}
		if c.trailers++; c.trailers > maxTrailers {
			return errors.New("too many trailers")
		}
		_, _, err := field(line)
		return err
	}
	size, err := parseSize(line)
	if err != nil {
		return err
	}
	c.left = size
	c.part = chunkData
	if size == 0 {
		c.part = trailer
	}
	return nil
}

// parseSize reads the size of a chunk; extensions are refused, since parties
// differ on them.
func parseSize(line []byte) (int, error) {
	for _, b := range line {
		hex := b >= '0' && b <= '9' || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
		if !hex {
			return 0, errors.Errorf("chunk size %.40q is not a hexadecimal number", line)
		}
	}
	size, err := strconv.ParseUint(string(line), 16, 32)
	if err != nil || size > maxChunk {
		return 0, errors.Errorf("chunk size %.40q is out of range", line)
	}
	return int(size), nil
}
