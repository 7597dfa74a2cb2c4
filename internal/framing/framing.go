// Package framing decides where HTTP/1.1 messages begin and end, so strictly
// that no two parties can disagree. Anything ambiguous is an error.
package framing

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// Lengths of bodies that are not a number of bytes.
const (
	Chunked    = -1 // the body is sent in chunks
	UntilClose = -2 // the head names no length
)

// maxLengthDigits bounds Content-Length far below an overflow of int64.
const maxLengthDigits = 15

// HeadEnd is what ends the head of a message.
var HeadEnd = []byte("\r\n\r\n")

var crlf = []byte("\r\n")

// Head is what the head of a message says of its framing.
type Head struct {
	Length    int // of the body in bytes, Chunked or UntilEnd
	HostCount int // number of Host fields
}

// ParseHead reads the framing of a head, which must end with an empty line. It
// returns an error for any form on which two parties may differ: folded lines,
// bare line ends, odd field names, more than one or a malformed length, a
// length beside chunks, codings other than chunked.
func ParseHead(head []byte) (Head, error) {
	h := Head{Length: UntilClose}
	if !bytes.HasSuffix(head, HeadEnd) {
		return h, errors.New("head does not end with an empty line")
	}
	first, rest, _ := bytes.Cut(head, crlf)
	if err := rejectControlBytes(first); err != nil {
		return h, err
	}
	coded := false
	for {
		line, after, found := bytes.Cut(rest, crlf)
		if !found {
			return h, errors.New("head does not end with an empty line")
		}
		if len(line) == 0 {
			if len(after) > 0 {
				return h, errors.New("head has an empty line before its end")
			}
			break
		}
		rest = after
		name, value, err := parseField(line)
		if err != nil {
			return h, err
		}
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			if h.Length != UntilClose {
				return h, errors.New("more than one Content-Length")
			}
			if h.Length, err = parseLength(value); err != nil {
				return h, err
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if coded || !bytes.EqualFold(value, []byte("chunked")) {
				return h, errors.Errorf("transfer coding %q is not understood", value)
			}
			coded = true
		case bytes.EqualFold(name, []byte("Host")):
			h.HostCount++
		}
	}
	if !coded {
		return h, nil
	}
	if h.Length != UntilClose {
		return h, errors.New("Content-Length beside Transfer-Encoding")
	}
	h.Length = Chunked
	return h, nil
}

// VisitFields calls visit for each field of a head that Check accepted.
func VisitFields(head []byte, visit func(name, value []byte)) {
	_, rest, _ := bytes.Cut(head, crlf)
	for {
		line, after, found := bytes.Cut(rest, crlf)
		if !found || len(line) == 0 {
			return
		}
		rest = after
		if name, value, err := parseField(line); err == nil {
			visit(name, value)
		}
	}
}

func parseField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return nil, nil, errors.Errorf("header line %.40q has no field name", line)
	}
	for _, c := range name {
		if !isTokenByte(c) {
			return nil, nil, errors.Errorf("field name %.40q holds a byte that is not allowed", name)
		}
	}
	if err := rejectControlBytes(value); err != nil {
		return nil, nil, err
	}
	return name, bytes.Trim(value, " \t"), nil
}

func rejectControlBytes(text []byte) error {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return errors.Errorf("line %.40q holds a control byte", text)
		}
	}
	return nil
}

func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

func parseLength(value []byte) (int, error) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, errors.Errorf("Content-Length %.40q is not a length", value)
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, errors.Errorf("Content-Length %.40q is not a length", value)
		}
	}
	return strconv.Atoi(string(value))
}
