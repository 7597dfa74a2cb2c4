// Package load generates the requests of a deployment's callers: open-loop arrivals
// from a declared mix. It checks each response byte for byte and reports the results
// by customer and class.
package load

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/lagoonmux/lagoonmux/internal/jsonc"
)

// Kind is the kind of a caller's requests.
type Kind string

// Kinds of request.
const (
	Stream    Kind = "stream" // completions, streamed
	NonStream Kind = "whole"  // completions, not streamed
	Chat      Kind = "chat"   // chat completions, streamed
	Plain     Kind = "plain"  // requests to a plain service
	Lot       Kind = "lot"    // completions processed asynchronously: accepted (202), then polled
)

// Mix declares the callers of one run. The same seed gives the same requests.
type Mix struct {
	Seed        uint64       `json:"seed"`
	DurationMS  int          `json:"duration_ms" validate:"required,min=1"`
	PromptPools []PromptPool `json:"prompt_pools,omitempty" validate:"dive"`
	Callers     []Caller     `json:"callers" validate:"required,min=1,dive"`
}

// PromptPool is a set of prompt prefixes shared by callers.
type PromptPool struct {
	Name         string  `json:"name" validate:"required"`
	Prefixes     int     `json:"prefixes" validate:"required,min=1"`
	PrefixTokens int     `json:"prefix_tokens" validate:"required,min=1"`
	Skew         float64 `json:"skew,omitempty" validate:"omitempty,gt=1"` // exponent of the Zipf distribution of the prefixes; 0 for equal shares
}

// Range is an inclusive range; numbers in it are equally likely.
type Range struct {
	Min int `json:"min" validate:"gte=0"`
	Max int `json:"max" validate:"gtefield=Min"`
}

// Caller declares one stream of requests of a customer.
type Caller struct {
	Customer     string  `json:"customer" validate:"required"`
	Key          string  `json:"key" validate:"required"`
	Class        string  `json:"class" validate:"required"` // label in the report
	Service      string  `json:"service" validate:"required"`
	Kind         Kind    `json:"kind" validate:"required,oneof=stream whole chat plain lot"`
	PerSecond    float64 `json:"per_second" validate:"required,gt=0"` // mean rate of the Poisson arrivals
	TimeoutMS    int     `json:"timeout_ms" validate:"required,min=1"`
	FirstTokenMS int     `json:"first_token_ms,omitempty" validate:"gte=0"`      // target; a response whose first token comes later is late
	HangUpShare  float64 `json:"hang_up_share,omitempty" validate:"gte=0,lte=1"` // of streamed requests, canceled by the caller partway

	// For model services.
	PromptPool     string `json:"prompt_pool,omitempty"`
	UniqueTokens   Range  `json:"own_tokens"`    // prompt tokens after the shared prefix
	ResponseTokens Range  `json:"answer_tokens"` // max_tokens

	// For plain services.
	Method         string  `json:"method,omitempty" validate:"omitempty,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path           string  `json:"path,omitempty" validate:"omitempty,startswith=/"`
	BodyBytes      Range   `json:"body_bytes"`
	Keyed          bool    `json:"keyed,omitempty"`                               // sends an idempotency key; requests of one key must run at most once
	DuplicateShare float64 `json:"repeat_share,omitempty" validate:"gte=0,lte=1"` // of keyed requests, sent twice at the same time
}

func (c *Caller) timeout() time.Duration { return time.Duration(c.TimeoutMS) * time.Millisecond }

// ReadMix reads and validates the mix in the file at path.
func ReadMix(path string) (*Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read mix")
	}
	return ParseMix(path, data)
}

// ParseMix parses and validates a mix. The file name is used in errors only.
func ParseMix(file string, data []byte) (*Mix, error) {
	m := &Mix{}
	doc, err := jsonc.Decode(file, data, m)
	if err != nil {
		return nil, err
	}
	for i := range m.Callers {
		m.Callers[i].validate(doc, fmt.Sprintf("callers[%d]", i), m)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return m, nil
}

func (c *Caller) validate(doc *jsonc.Document, field string, m *Mix) {
	if c.Kind == Plain {
		if c.Method == "" || c.Path == "" {
			doc.Reject(field+".path", "a plain service requires method and path")
		}
		return
	}
	if c.ResponseTokens.Min < 1 {
		doc.Reject(field+".answer_tokens", "a model service requires at least one token")
	}
	if c.PromptPool == "" && c.UniqueTokens.Min < 1 {
		doc.Reject(field+".own_tokens", "a prompt requires a prompt pool or at least one token of its own")
	}
	if c.PromptPool != "" && m.promptPool(c.PromptPool) == nil {
		doc.Reject(field+".prompt_pool", "no prompt pool is named %q", c.PromptPool)
	}
}

func (m *Mix) promptPool(name string) *PromptPool {
	for i := range m.PromptPools {
		if m.PromptPools[i].Name == name {
			return &m.PromptPools[i]
		}
	}
	return nil
}
