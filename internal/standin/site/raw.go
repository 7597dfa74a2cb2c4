package site

import (
	"fmt"
	"net/http"
	"strings"
)

// RawResponse returns the bytes that an upstream sends in response to a run, and whether it
// then keeps the connection open.
type RawResponse func(run Run) (text string, keep bool)

// SetRawResponse makes the upstream run all further requests and respond with raw bytes; nil
// ends that.
func (u *Upstream) SetRawResponse(r RawResponse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.raw = r
}

// respondRaw sends the raw response that is set, if any, and reports whether there was one.
func (u *Upstream) respondRaw(w http.ResponseWriter, run *Run) bool {
	u.mu.Lock()
	raw := u.raw
	u.mu.Unlock()
	if raw == nil {
		return false
	}
	text, keep := raw(*run)
	if text == "" {
		return false
	}
	hijackRaw(w, text, keep)
	u.endRun(run, "done")
	return true
}

// RawHead returns a response head with the fields of an upstream and further lines.
func RawHead(status int, id string, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Response-Seal: %s\r\n", status, http.StatusText(status), Seal)
	if id != "" {
		head += "X-Attempt-Id: " + id + "\r\n"
	}
	for _, line := range lines {
		head += line + "\r\n"
	}
	return head + "\r\n"
}

// RawStream returns the events from to to of a run as a chunked body, without its end.
func RawStream(id string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		event := Event(id, n)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(event), event)
	}
	return b.String()
}
