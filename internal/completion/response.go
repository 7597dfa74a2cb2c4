package completion

const (
	objectText    = "text_completion"
	objectChat    = "chat.completion"
	objectChunk   = "chat.completion.chunk"
	roleAssistant = "assistant"
)

// NewChunk returns the body of one event of a streamed response. If finish is empty,
// the finish reason is null.
func NewChunk(id, model, text, finish string, chat bool) *Response {
	r := &Response{ID: id, Object: objectText, Model: model, Choices: make([]Choice, 1)}
	c := &r.Choices[0]
	if finish != "" {
		c.FinishReason = &finish
	}
	if chat {
		r.Object = objectChunk
		c.Delta = &Message{Role: roleAssistant, Content: Text(text)}
		return r
	}
	c.Text = text
	return r
}

// NewResponse returns the body of a response that isn't streamed.
func NewResponse(id, model, text, finish string, chat bool, usage Usage) *Response {
	r := NewChunk(id, model, text, finish, false)
	r.Usage = &usage
	if chat {
		r.Object = objectChat
		r.Choices[0].Text = ""
		r.Choices[0].Message = &Message{Role: roleAssistant, Content: Text(text)}
	}
	return r
}
