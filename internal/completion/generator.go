package completion

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TokenGenerator generates the answer of the stand-in engines to one prompt. The answer
// depends on nothing else, so that a caller can check it byte for byte.
type TokenGenerator struct {
	seed string
}

// NewTokenGenerator returns the generator of the answer to prompt.
func NewTokenGenerator(prompt string) TokenGenerator {
	return TokenGenerator{seed: strconv.FormatUint(xxhash.Sum64String(prompt), 16) + ":"}
}

// Token returns the token at index.
func (w TokenGenerator) Token(index int) string {
	var buf [40]byte
	b := append(buf[:0], w.seed...)
	b = strconv.AppendInt(b, int64(index), 10)
	return " " + strconv.FormatUint(xxhash.Sum64(b)&0xfffff, 36)
}

// TokenAt returns the token that the stand-in engines generate at index for a
// prompt.
func TokenAt(prompt string, index int) string { return NewTokenGenerator(prompt).Token(index) }

// CountTokens estimates the tokens of a text; the stand-ins count the same.
func CountTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

const bytesPerToken = 4
