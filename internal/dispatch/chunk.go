package dispatch

import (
	"github.com/pkg/errors"
	"github.com/valyala/fastjson"
)

// chunk holds the fields of an upstream's event that dispatch needs.
type chunk struct {
	attempt int
	text    string
	finish  string
	cached  int // prompt tokens that the upstream found in its cache; -1 if not in the event
}

// chunkParser decodes the events of one stream. It is not safe for concurrent
// use.
type chunkParser struct {
	parser fastjson.Parser
}

// parse decodes an event of the request with the given id. It returns false if the
// event belongs to another request.
func (p *chunkParser) parse(data []byte, id string) (chunk, bool, error) {
	v, err := p.parser.ParseBytes(data)
	if err != nil {
		return chunk{}, false, errors.Wrap(err, "decode event")
	}
	if string(v.GetStringBytes("id")) != id {
		return chunk{}, false, nil
	}
	c := chunk{attempt: v.GetInt("attempt"), cached: -1}
	if usage := v.Get("usage"); usage != nil && usage.Type() == fastjson.TypeObject {
		c.cached = usage.GetInt("cached_tokens")
	}
	choice := v.Get("choices", "0")
	if choice == nil {
		return chunk{}, false, errors.New("event has no choice")
	}
	c.text = string(choice.GetStringBytes("text"))
	c.finish = string(choice.GetStringBytes("finish_reason"))
	return c, true, nil
}
