// Package sse reads and writes server-sent events in the form that the completions
// calls use: each event has one line of data and may have a numeric id.
package sse

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// Done is the data of the event that ends a stream of completions.
const Done = "[DONE]"

// Event is one server-sent event.
type Event struct {
	ID   int64  // -1 when the event has none
	Data []byte // valid until the next read
}

// Append appends the encoded event to buf and returns the extended buffer.
func Append(buf []byte, e Event) []byte {
	buf = AppendStart(buf, e.ID)
	buf = append(buf, e.Data...)
	return AppendEnd(buf)
}

// AppendStart appends the part of an event before its data: the id line, unless id is
// negative, and the name of the data field.
func AppendStart(buf []byte, id int64) []byte {
	if id >= 0 {
		buf = append(buf, "id: "...)
		buf = strconv.AppendInt(buf, id, 10)
		buf = append(buf, '\n')
	}
	return append(buf, "data: "...)
}

// AppendEnd appends the part of an event after its data.
func AppendEnd(buf []byte) []byte { return append(buf, "\n\n"...) }

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	r    *bufio.Reader
	data []byte
}

// NewReader returns a Reader of the events in r.
func NewReader(r *bufio.Reader) *Reader { return &Reader{r: r} }

// Next returns the next event that has data, or the error of the underlying reader.
// It fails on a line longer than the reader's buffer and on an id that is no number.
func (r *Reader) Next() (Event, error) {
	e := Event{ID: -1}
	r.data = r.data[:0]
	for {
		line, err := r.r.ReadSlice('\n')
		if err != nil {
			return Event{}, errors.Wrap(err, "read event")
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && len(r.data) > 0 {
			e.Data = r.data
			return e, nil
		}
		if err := r.parseField(&e, line); err != nil {
			return Event{}, err
		}
	}
}

func (r *Reader) parseField(e *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		r.data = append(r.data, value...)
	case "id":
		id, err := strconv.ParseInt(string(value), 10, 64)
		if err != nil {
			return errors.Wrap(err, "event id")
		}
		e.ID = id
	}
	return nil
}
