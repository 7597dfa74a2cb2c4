// Package httpcheck lets HTTP client libraries read valid responses only. fasthttp and net/http take
// status 000 for a success or pass it on, and accept blanks in the names of fields.
package httpcheck

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/lagoonmux/lagoonmux/internal/framing"
	"github.com/lagoonmux/lagoonmux/internal/netopt"
)

// maxHeadBytes is the size limit of a response head.
const maxHeadBytes = 32 << 10

// part is the part of a response that a Conn expects next.
type part int

const (
	inHead part = iota
	inBody      // of known length, or until the connection ends
	inChunks
	ended // until the next request is written
)

// Conn is the client's side of a connection on which one request follows the response to the one
// before. A read fails instead of returning the end of a head, or a part of chunked coding, that is
// not valid. Reads and writes may be concurrent.
type Conn struct {
	net.Conn
	// byteFirst makes the first read of an invalid response return a byte, and the second one
	// the error: fasthttp replaces the error of a first read.
	byteFirst bool

	writing  sync.Mutex // held during a write
	writeErr error      // of the last write that failed; guarded by writing

	mu        sync.Mutex
	expected  part
	head      []byte // received so far
	length    int    // as framing.Head.BodyLength
	remaining int    // bytes of a body of known length
	decoder   framing.ChunkDecoder
	decoded   []byte // scratch space
	begun     bool   // a read has returned a part of the response
	err       error  // of the first invalid response; returned by later reads
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.expected == ended {
		c.expected, c.begun = inHead, false
	}
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, readErr := c.Conn.Read(p)
	c.mu.Lock()
	c.err = c.check(p[:n])
	invalid, first := c.err, !c.begun
	c.begun = c.begun || n > 0
	unframed := c.expected == inBody && c.length == framing.UntilClose
	c.mu.Unlock()
	switch {
	case invalid != nil && first && c.byteFirst:
		return 1, nil
	case invalid != nil:
		return 0, invalid
	case readErr == io.EOF && unframed:
		if err := netopt.AbortError(c.stopWriting()); err != nil {
			return n, err
		}
	}
	return n, readErr
}

// stopWriting ends a write that is in progress and returns the error of writing.
func (c *Conn) stopWriting() error {
	_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// check follows the response through the bytes received next. It returns an error if it is not
// valid.
func (c *Conn) check(data []byte) error {
	for len(data) > 0 {
		var err error
		switch c.expected {
		case inHead:
			data, err = c.checkHead(data)
		case inChunks:
			data, err = c.checkChunks(data)
		case inBody:
			if c.length == framing.UntilClose {
				return nil
			}
			n := min(len(data), c.remaining)
			data = data[n:]
			if c.remaining -= n; c.remaining == 0 {
				c.expected = ended
			}
		case ended:
			return nil // the client closes the connection or ignores them
		}
		if err != nil {
			return errors.Wrapf(err, "malformed response of %s", c.RemoteAddr())
		}
	}
	return nil
}

// checkHead consumes data up to the end of the head, and checks the head once it is complete.
func (c *Conn) checkHead(data []byte) ([]byte, error) {
	before := len(c.head)
	c.head = append(c.head, data...)
	end := len(c.head)
	complete := false
	if i := bytes.Index(c.head, framing.HeadEnd); i >= 0 {
		end, complete = i+len(framing.HeadEnd), true
	}
	for i := before; i < end; i++ { // a client may take two line feeds for the end of the head
		if c.head[i] == '\n' && (i == 0 || c.head[i-1] != '\r') {
			return nil, errors.New("line ends without a carriage return")
		}
	}
	if !complete {
		if len(c.head) > maxHeadBytes {
			return nil, errors.Errorf("head is longer than %d bytes", maxHeadBytes)
		}
		return nil, nil
	}
	head := c.head[:end]
	c.head = nil
	return data[end-before:], c.startBody(head)
}

// startBody checks a complete head and prepares for what follows it.
func (c *Conn) startBody(head []byte) error {
	status, err := framing.ParseStatus(head)
	if err != nil {
		return err
	}
	f, err := framing.ParseHead(head)
	if err != nil {
		return err
	}
	c.length, c.remaining, c.decoder = f.BodyLength, f.BodyLength, framing.ChunkDecoder{}
	switch {
	case status == fasthttp.StatusSwitchingProtocols:
		return errors.New("switches protocols without a request for it")
	case status < fasthttp.StatusOK:
		c.expected = inHead
	case status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified || f.BodyLength == 0:
		c.expected = ended
	case f.BodyLength == framing.Chunked:
		c.expected = inChunks
	default:
		c.expected = inBody
	}
	return nil
}

// checkChunks consumes data up to the end of a chunked body.
func (c *Conn) checkChunks(data []byte) ([]byte, error) {
	var used int
	var err error
	c.decoded, used, err = c.decoder.Decode(c.decoded[:0], data)
	if c.decoder.Done() {
		c.expected = ended
	}
	return data[used:], err
}
