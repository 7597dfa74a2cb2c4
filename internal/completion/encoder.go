package completion

import (
	"encoding/json"
	"unicode/utf8"
)

// ChunkEncoder encodes the events of one streamed answer. It belongs to one
// goroutine.
type ChunkEncoder struct {
	head []byte // up to the text
	tail []byte // after the text, up to the finish reason
}

// NewChunkEncoder returns an encoder for the answer of the given request id.
func NewChunkEncoder(id, model string, chat bool) *ChunkEncoder {
	object, head, tail := objectText, `,"choices":[{"index":0,"text":`, `,"finish_reason":`
	if chat {
		object = objectChunk
		head = `,"choices":[{"index":0,"delta":{"role":"` + assistant + `","content":`
		tail = `},"finish_reason":`
	}
	e := &ChunkEncoder{tail: []byte(tail)}
	e.head = append(e.head, `{"id":`...)
	e.head = appendString(e.head, id)
	e.head = append(e.head, `,"object":"`+object+`","model":`...)
	e.head = appendString(e.head, model)
	e.head = append(e.head, head...)
	return e
}

// Append appends the event with the given text, the JSON form of NewChunk.
func (e *ChunkEncoder) Append(buf []byte, text, finish string) []byte {
	buf = append(buf, e.head...)
	buf = appendString(buf, text)
	buf = append(buf, e.tail...)
	if finish == "" {
		buf = append(buf, "null"...)
	} else {
		buf = appendString(buf, finish)
	}
	return append(buf, "}]}"...)
}

// appendString appends s as a JSON string.
func appendString(buf []byte, s string) []byte {
	for i := range len(s) {
		if b := s[i]; b < ' ' || b == '"' || b == '\\' || b >= utf8.RuneSelf {
			quoted, _ := json.Marshal(s) // a string always encodes
			return append(buf, quoted...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, s...)
	return append(buf, '"')
}
