package completion

import (
	"encoding/json"
	"unicode/utf8"
)

// ChunkEncoder encodes the events of one streamed response. It encodes their constant
// parts once. It is not safe for concurrent use.
type ChunkEncoder struct {
	prefix []byte // JSON before the text
	suffix []byte // JSON between the text and the finish reason
}

// NewChunkEncoder returns an encoder for the response to the request id.
func NewChunkEncoder(id, model string, chat bool) *ChunkEncoder {
	object, prefix, suffix := objectText, `,"choices":[{"index":0,"text":`, `,"finish_reason":`
	if chat {
		object = objectChunk
		prefix = `,"choices":[{"index":0,"delta":{"role":"` + roleAssistant + `","content":`
		suffix = `},"finish_reason":`
	}
	e := &ChunkEncoder{suffix: []byte(suffix)}
	e.prefix = append(e.prefix, `{"id":`...)
	e.prefix = appendString(e.prefix, id)
	e.prefix = append(e.prefix, `,"object":"`+object+`","model":`...)
	e.prefix = appendString(e.prefix, model)
	e.prefix = append(e.prefix, prefix...)
	return e
}

// Append appends an event with the given text and finish reason, as JSON that is
// equivalent to NewChunk's.
func (e *ChunkEncoder) Append(buf []byte, text, finish string) []byte {
	buf = append(buf, e.prefix...)
	buf = appendString(buf, text)
	buf = append(buf, e.suffix...)
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
			quoted, _ := json.Marshal(s) // marshaling a string never fails
			return append(buf, quoted...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, s...)
	return append(buf, '"')
}
