package framing

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseHead(t *testing.T) {
	for name, tt := range map[string]struct {
		head string
		want int
		ok   bool
	}{
		"no length":               {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", UntilClose, true},
		"length":                  {"POST / HTTP/1.1\r\nHost: x\r\ncontent-length: 12\r\n\r\n", 12, true},
		"chunked":                 {"POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n", Chunked, true},
		"two equal lengths":       {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n", 0, false},
		"list of lengths":         {"POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n", 0, false},
		"signed length":           {"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n", 0, false},
		"empty length":            {"POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", 0, false},
		"length overflows":        {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", 0, false},
		"length and chunked":      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 0, false},
		"chunked twice":           {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 0, false},
		"other coding":            {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 0, false},
		"vertical tab in coding":  {"POST / HTTP/1.1\r\nTransfer-Encoding: \vchunked\r\n\r\n", 0, false},
		"space before colon":      {"POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\n", 0, false},
		"folded line":             {"POST / HTTP/1.1\r\nX: a\r\n b\r\n\r\n", 0, false},
		"bare line feed":          {"POST / HTTP/1.1\r\nX: a\nContent-Length: 1\r\n\r\n", 0, false},
		"bare carriage return":    {"POST / HTTP/1.1\r\nX: a\rb\r\n\r\n", 0, false},
		"zero byte":               {"POST / HTTP/1.1\r\nX: a\x00\r\n\r\n", 0, false},
		"line without a name":     {"POST / HTTP/1.1\r\n: a\r\n\r\n", 0, false},
		"line without a colon":    {"POST / HTTP/1.1\r\nnonsense\r\n\r\n", 0, false},
		"empty line before end":   {"POST / HTTP/1.1\r\n\r\nX: a\r\n\r\n", 0, false},
		"head without empty line": {"POST / HTTP/1.1\r\nX: a\r\n", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			h, err := ParseHead([]byte(tt.head))
			assert.Equal(t, err == nil, tt.ok, "%v", err)
			if tt.ok {
				assert.Equal(t, h.BodyLength, tt.want)
			}
		})
	}
}

func TestParseStatus(t *testing.T) {
	for line, want := range map[string]int{ // 0: no valid status line
		"HTTP/1.1 200 OK":            200,
		"HTTP/1.0 200 OK":            200,
		"HTTP/1.1 200 ":              200,
		"HTTP/1.1 200":               200,
		"HTTP/1.1 204 No  blanks\tx": 204,
		"HTTP/1.1 100 Continue":      100,
		"HTTP/1.1 599 Odd":           599,
		"HTTP/1.1 000 OK":            0,
		"HTTP/1.1 000":               0,
		"HTTP/1.1 099 OK":            0,
		"HTTP/1.1 600 OK":            0,
		"HTTP/1.1 999 OK":            0,
		"HTTP/1.1 20 OK":             0,
		"HTTP/1.1 2000 OK":           0,
		"HTTP/1.1 +20 OK":            0,
		"HTTP/1.1 2x0 OK":            0,
		"HTTP/1.1 200OK":             0,
		"HTTP/1.1  200 OK":           0,
		"HTTP/1.1 ":                  0,
		"HTTP/1.1":                   0,
		"HTTP/2 200":                 0,
		"HTTP/1.10 200 OK":           0,
		"ICY 200 OK":                 0,
		"":                           0,
	} {
		got, err := ParseStatus([]byte(line + "\r\n\r\n"))
		assert.Equal(t, got, want, line)
		assert.Equal(t, err == nil, want != 0, "%s: %v", line, err)
	}
}

// decode decodes text in pieces of size bytes. It returns the body, the bytes that
// follow it, and whether the body is complete.
func decode(text string, size int) (body string, rest string, done bool, err error) {
	var c ChunkDecoder
	var dst []byte
	src := []byte(text)
	for len(src) > 0 && err == nil && !c.Done() {
		n := min(size, len(src))
		var used int
		dst, used, err = c.Decode(dst, src[:n])
		src = src[used:]
	}
	return string(dst), string(src), c.Done(), err
}

func TestChunkDecoder(t *testing.T) {
	for name, tt := range map[string]struct {
		text, body, rest string
		done, ok         bool
	}{
		"two chunks":           {"3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\nGET", "abc0123456789", "GET", true, true},
		"trailers":             {"1\r\na\r\n0\r\nX: y\r\n\r\n", "a", "", true, true},
		"truncated":            {"3\r\nab", "ab", "", false, true},
		"size with a sign":     {"+3\r\nabc\r\n0\r\n\r\n", "", "", false, false},
		"size with 0x":         {"0x3\r\nabc\r\n0\r\n\r\n", "", "", false, false},
		"extension":            {"3;a=b\r\nabc\r\n0\r\n\r\n", "", "", false, false},
		"empty size":           {"\r\nabc\r\n0\r\n\r\n", "", "", false, false},
		"bare line feed":       {"3\nabc\r\n0\r\n\r\n", "", "", false, false},
		"longer than its size": {"3\r\nabcd\r\n0\r\n\r\n", "abc", "", false, false},
		"size line too long":   {strings.Repeat("0", 300) + "\r\n", "", "", false, false},
		"huge size":            {"ffffffff\r\n", "", "", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 1000} {
				body, rest, done, err := decode(tt.text, size)
				assert.Equal(t, err == nil, tt.ok, "%v", err)
				assert.Equal(t, done, tt.done)
				if tt.ok {
					assert.Equal(t, body, tt.body)
					assert.Equal(t, rest, tt.rest)
				}
			}
		})
	}
}

// FuzzChunkDecoder checks that the result does not depend on how the input is split.
func FuzzChunkDecoder(f *testing.F) {
	f.Add("3\r\nabc\r\n0\r\n\r\nGET", 2)
	f.Add("5;x\r\nabc", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		want, rest, done, err := decode(text, max(len(text), 1))
		body, rest2, done2, err2 := decode(text, 1+abs(size)%7)
		assert.Equal(t, err == nil, err2 == nil)
		if err == nil {
			assert.Equal(t, body, want)
			assert.Equal(t, done, done2)
			assert.Equal(t, rest, rest2)
		}
	})
}

// FuzzParseHead checks that an accepted head has at most one field that sets the length
// of the body, and that BodyLength is a number exactly if this is Content-Length.
func FuzzParseHead(f *testing.F) {
	f.Add("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		h, err := ParseHead([]byte(text))
		if err != nil {
			return
		}
		lengths, codings := 0, 0
		VisitFields([]byte(text), func(name, _ []byte) {
			switch strings.ToLower(string(name)) {
			case "content-length":
				lengths++
			case "transfer-encoding":
				codings++
			}
		})
		assert.Assert(t, lengths+codings <= 1)
		assert.Equal(t, lengths == 1, h.BodyLength >= 0)
	})
}

func abs(n int) int {
	if n < 0 {
		return max(-n, 0)
	}
	return n
}
