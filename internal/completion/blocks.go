package completion

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens per block of an upstream's prefix cache.
const BlockTokens = 16

// BlockHashes returns a hash for each complete block of the prompt. Each hash also
// covers all text before its block, so that equal hashes mean equal prefixes. Routing
// and the upstreams must compute the same hashes.
func BlockHashes(prompt string) []uint64 {
	const blockBytes = BlockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var prev [8]byte
	for len(prompt) >= blockBytes {
		d := xxhash.New()
		_, _ = d.Write(prev[:])
		_, _ = d.WriteString(prompt[:blockBytes])
		hash := d.Sum64()
		hashes = append(hashes, hash)
		binary.LittleEndian.PutUint64(prev[:], hash)
		prompt = prompt[blockBytes:]
	}
	return hashes
}
