// Package completion holds the JSON messages of the completions calls, which
// callers send to lagoonmux and lagoonmux sends to model engines.
package completion

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"
)

// Paths of the calls.
const (
	Path     = "/v1/completions"
	ChatPath = "/v1/chat/completions"
	// ModelsPath lists the models that can be asked.
	ModelsPath = "/v1/models"
)

// Request is the body of a completions call.
type Request struct {
	Model               string    `json:"model"`
	Prompt              Text      `json:"prompt,omitempty"`
	Messages            []Message `json:"messages,omitempty"` // chat only
	MaxTokens           int       `json:"max_tokens,omitempty"`
	MaxCompletionTokens int       `json:"max_completion_tokens,omitempty"` // newer name of the same, of callers only
	Stream              bool      `json:"stream,omitempty"`

	// Fields for engines only.
	RequestID  string `json:"request_id,omitempty"`
	Attempt    int    `json:"attempt,omitempty"`     // from 1, rising with each attempt of the request
	Priority   int    `json:"priority,omitempty"`    // higher runs first
	ResumeFrom int    `json:"resume_from,omitempty"` // index of the first token wanted
	ResumeText string `json:"resume_text,omitempty"` // text of the tokens before ResumeFrom
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content Text   `json:"content"`
}

// Choice is one alternative of an answer. Text is set for completions, Delta or
// Message for chats.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"` // of the prompt, found in the engine's cache
	CompletionTokens int `json:"completion_tokens"`
}

// Response is the body of an answer, or of one event of a stream.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Attempt int      `json:"attempt,omitempty"` // of the engine's answers
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Parse decodes and checks the body of a caller's request.
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

// Text returns the prompt as one text: for a chat, its turns in order.
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
