// Package completion defines the JSON messages of the completions calls, which callers
// send to lagoonmux and lagoonmux sends to upstreams.
package completion

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// URL paths of the calls.
const (
	Path     = "/v1/completions"
	ChatPath = "/v1/chat/completions"
	// ModelsPath lists the models.
	ModelsPath = "/v1/models"
)

// Request is the body of a completions call.
type Request struct {
	Model               string    `json:"model"`
	Prompt              Text      `json:"prompt,omitempty"`
	Messages            []Message `json:"messages,omitempty"` // chat only
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"` // newer name of max_tokens; only callers send it, Parse moves it to MaxTokens
	Stream              bool      `json:"stream,omitempty"`

	// Fields of requests to upstreams only.
	RequestID  string `json:"request_id,omitempty"`
	Attempt    int    `json:"attempt,omitempty"`     // from 1, higher with each attempt of the request
	Priority   int    `json:"priority,omitempty"`    // higher runs first
	ResumeFrom int    `json:"resume_from,omitempty"` // index of the first token to generate
	ResumeText string `json:"resume_text,omitempty"` // text of the tokens before ResumeFrom, which an earlier attempt generated
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content Text   `json:"content"`
}

// Choice is one generated alternative. Text is set for completions, Delta for events of
// streamed chats and Message for other chats.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"` // tokens of the prompt found in the upstream's prefix cache
	CompletionTokens int `json:"completion_tokens"`
}

// Response is the body of a response, or the data of one event of a stream.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Attempt int      `json:"attempt,omitempty"` // attempt number of the request; set by upstreams only
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Parse decodes and validates the body of a request. Callers see its errors.
func Parse(body []byte, chat bool) (*Request, error) {
	r := &Request{}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, errors.Wrap(err, "decode body")
	}
	if r.Model == "" {
		return nil, errors.New("model is required")
	}
	if chat && len(r.Messages) == 0 {
		return nil, errors.New("messages are required")
	}
	if !chat && r.Prompt == "" {
		return nil, errors.New("prompt is required")
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = r.MaxCompletionTokens
	}
	r.MaxCompletionTokens = 0
	if r.MaxTokens < 0 {
		return nil, errors.New("max_tokens must not be negative")
	}
	return r, nil
}

// Text returns the prompt, or the turns of a chat in order, as one text.
func (r *Request) Text() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// FirstChoice returns the text and the finish reason of the first choice.
func (r *Response) FirstChoice() (text, finish string) {
	if len(r.Choices) == 0 {
		return "", ""
	}
	c := &r.Choices[0]
	text = c.Text
	if c.Delta != nil {
		text = string(c.Delta.Content)
	}
	if c.FinishReason != nil {
		finish = *c.FinishReason
	}
	return text, finish
}
