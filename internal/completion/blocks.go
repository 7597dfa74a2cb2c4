package completion

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in one block of a prefix cache.
const BlockTokens = 16

// BlockHashes returns a hash for each whole block of the prompt. Each hash covers
// all text before it too, so that equal hashes mean equal prefixes. Engines
// and routers agree on it.
func BlockHashes(prompt string) []uint64 {
	const blockBytes = BlockTokens * bytesPerToken
	blocks := make([]uint64, 0, len(prompt)/blockBytes)
	var prev [8]byte
	for len(prompt) >= blockBytes {
		d := xxhash.New()
		_, _ = d.Write(prev[:])
		_, _ = d.WriteString(prompt[:blockBytes])
		h := d.Sum64()
		blocks = append(blocks, h)
		binary.LittleEndian.PutUint64(prev[:], h)
		prompt = prompt[blockBytes:]
	}
	return blocks
}
