package completion

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// WordAt returns the token that the stand-in engines generate at index for a
// prompt. It depends on nothing else, so that a caller can check an answer
// byte for byte.
func WordAt(prompt string, index int) string {
	seed := xxhash.Sum64String(prompt)
	h := xxhash.Sum64String(strconv.FormatUint(seed, 16) + ":" + strconv.Itoa(index))
	return " " + strconv.FormatUint(h&0xfffff, 36)
}

// CountTokens estimates the tokens of a text; the stand-ins count the same.
func CountTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

const bytesPerToken = 4
