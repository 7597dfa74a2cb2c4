package site

import (
	"bufio"
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

// unframedStream returns the bytes of a stream that has no length and no chunks, if the
// fault says so.
func (u *Upstream) unframedStream(fault Fault, run *Run, events int) (text string, ok bool) {
	switch fault {
	case UntilClose:
	case UntilCloseInEvent:
		events = 2
	case UntilCloseNoEvent:
		events = 0
	default:
		return "", false
	}
	text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + run.ID + "\r\nX-Response-Seal: " + Seal + "." + u.ID + "\r\n\r\n"
	for n := run.LastEventID + 1; n <= events; n++ {
		text += Event(run.ID, n)
	}
	if fault == UntilCloseInEvent {
		text += Event(run.ID, 3)[:9]
	}
	return text, true
}

// hijackRaw sends raw bytes, and keeps the connection open if keep is set.
func hijackRaw(w http.ResponseWriter, text string, keep bool) {
	if keep {
		hijackKeepOpen(w, text)
		return
	}
	hijack(w, func(bw *bufio.Writer) { _, _ = bw.WriteString(text) })
}
