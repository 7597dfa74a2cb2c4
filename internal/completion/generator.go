package completion

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TokenGenerator generates the tokens with which simulated upstreams respond to one
// prompt. They depend on the prompt alone, so that a test client can check a response
// byte for byte.
type TokenGenerator struct {
	seed string
}

// NewTokenGenerator returns the generator for prompt.
func NewTokenGenerator(prompt string) TokenGenerator {
	return TokenGenerator{seed: strconv.FormatUint(xxhash.Sum64String(prompt), 16) + ":"}
}

// Token returns the token at index.
func (g TokenGenerator) Token(index int) string {
	var buf [40]byte
	b := append(buf[:0], g.seed...)
	b = strconv.AppendInt(b, int64(index), 10)
	return " " + strconv.FormatUint(xxhash.Sum64(b)&0xfffff, 36)
}

// TokenAt returns the token at index that simulated upstreams generate for prompt.
func TokenAt(prompt string, index int) string { return NewTokenGenerator(prompt).Token(index) }

// CountTokens estimates the number of tokens in text, as simulated upstreams do.
func CountTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

const bytesPerToken = 4
