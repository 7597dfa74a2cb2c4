// Package framing determines where HTTP/1.1 messages begin and end. It rejects every
// message that two HTTP implementations could delimit differently (request smuggling).
package framing

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// Values of Head.BodyLength that are not a number of bytes.
const (
	Chunked    = -1 // Transfer-Encoding: chunked
	UntilClose = -2 // no length given: a response's body ends with its connection, a request has none
)

// maxLengthDigits bounds the digits of Content-Length, so that it cannot overflow an int64.
const maxLengthDigits = 15

const statusDigits = 3 // of a status code

// HeadEnd terminates the head of a message.
var HeadEnd = []byte("\r\n\r\n")

var crlf = []byte("\r\n")

// Head is the framing information in the head of a message.
type Head struct {
	BodyLength int // in bytes, or Chunked or UntilClose
	HostCount  int // number of Host fields
}

// ParseHead reads the framing of a message from its head, which must include the final
// empty line. It returns an error for every form that HTTP implementations interpret
// differently: folded lines, bare CR or LF, invalid field names, a malformed or
// repeated Content-Length, Content-Length together with Transfer-Encoding, and codings
// other than chunked.
func ParseHead(head []byte) (Head, error) {
	h := Head{BodyLength: UntilClose}
	if !bytes.HasSuffix(head, HeadEnd) {
		return h, errors.New("head does not end with an empty line")
	}
	startLine, rest, _ := bytes.Cut(head, crlf)
	if err := rejectControlBytes(startLine); err != nil {
		return h, err
	}
	chunked := false
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
			if h.BodyLength != UntilClose {
				return h, errors.New("more than one Content-Length")
			}
			if h.BodyLength, err = parseLength(value); err != nil {
				return h, err
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if chunked || !bytes.EqualFold(value, []byte("chunked")) {
				return h, errors.Errorf("Transfer-Encoding %q is repeated or not supported", value)
			}
			chunked = true
		case bytes.EqualFold(name, []byte("Host")):
			h.HostCount++
		}
	}
	if !chunked {
		return h, nil
	}
	if h.BodyLength != UntilClose {
		return h, errors.New("both Content-Length and Transfer-Encoding")
	}
	h.BodyLength = Chunked
	return h, nil
}

// ParseStatus returns the status code of a response from its head. It returns an error unless
// the head begins with a status line of HTTP/1.0 or 1.1 and the code is from 100 to 599, the
// range that RFC 9110 defines.
func ParseStatus(head []byte) (int, error) {
	line, _, _ := bytes.Cut(head, crlf)
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return 0, errors.Errorf("protocol of status line %.40q is not HTTP/1.0 or 1.1", line)
	}
	code, _, _ := bytes.Cut(rest, []byte(" "))
	if len(code) != statusDigits || code[0] < '1' || code[0] > '5' || !isDigits(code) {
		return 0, errors.Errorf("status code %.40q is not a number from 100 to 599", code)
	}
	return strconv.Atoi(string(code))
}

// VisitFields calls visit for each field of a head that ParseHead accepted, in order.
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

// parseField splits a field line into its name and its trimmed value.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return nil, nil, errors.Errorf("header line %.40q has no field name", line)
	}
	for _, c := range name {
		if !isTokenByte(c) {
			return nil, nil, errors.Errorf("field name %.40q contains an invalid byte", name)
		}
	}
	if err := rejectControlBytes(value); err != nil {
		return nil, nil, err
	}
	return name, bytes.Trim(value, " \t"), nil
}

// rejectControlBytes returns an error if text contains a control character other than a tab.
func rejectControlBytes(text []byte) error {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return errors.Errorf("line %.40q contains a control character", text)
		}
	}
	return nil
}

// isTokenByte reports whether c may occur in a field name (tchar of RFC 9110).
func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0
}

// parseLength parses the value of Content-Length, which must consist of digits only.
func parseLength(value []byte) (int, error) {
	if len(value) == 0 || len(value) > maxLengthDigits || !isDigits(value) {
		return 0, errors.Errorf("Content-Length %.40q is not a valid length", value)
	}
	return strconv.Atoi(string(value))
}

// isDigits reports whether text consists of decimal digits only.
func isDigits(text []byte) bool {
	for _, c := range text {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
