package completion

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in one block of a prefix cache.
const BlockTokens = 16

// Blocks returns a hash for each whole block of the prompt. Each hash covers
// all text before it too, so that equal hashes mean equal prefixes. Engines
// and routers agree on it.
func Blocks(prompt string) []uint64 {
	const size = BlockTokens * bytesPerToken
	blocks := make([]uint64, 0, len(prompt)/size)
	var chain [8]byte
	for len(prompt) >= size {
		d := xxhash.New()
		_, _ = d.Write(chain[:])
		_, _ = d.WriteString(prompt[:size])
		h := d.Sum64()
		blocks = append(blocks, h)
		binary.LittleEndian.PutUint64(chain[:], h)
		prompt = prompt[size:]
	}
	return blocks
}
