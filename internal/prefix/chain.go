package prefix

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the size of one cached block, in tokens.
const BlockTokens = 1000

// BlockBytes is the length of prompt text counted as one block, in bytes.
const BlockBytes = 4 * BlockTokens

// MaxBlocks bounds the blocks of a prompt that placement considers.
const MaxBlocks = 512

// Hash identifies a block together with all blocks before it.
type Hash uint64

// Scope identifies the requests that may share cached blocks.
type Scope struct {
	Model   string
	Adapter string
	Version string
	// Team is empty for open routes.
	Team string
}

const scopeSeparator = "\x00"

// Salt returns the cache salt that keeps the scope's blocks apart from all
// others in an engine's cache.
func (s Scope) Salt() string {
	text := strings.Join([]string{s.Model, s.Adapter, s.Version, s.Team}, scopeSeparator)
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(text))) + "-" + s.Version
}

// Prompt is a caller's prompt as the placement policies need it.
type Prompt struct {
	chain []Hash
	// messageEnds holds, for each message, the number of full blocks up to its
	// end.
	messageEnds []int
	bytes       int
}

// NewPrompt hashes the messages of a prompt under a salt.
func NewPrompt(salt string, messages []string) Prompt {
	p := Prompt{}
	h := Hash(xxhash.Sum64String(salt))
	var digest xxhash.Digest
	digest.Reset()
	filled := 0
	for _, message := range messages {
		p.bytes += len(message)
		for len(message) > 0 && len(p.chain) < MaxBlocks {
			n := min(BlockBytes-filled, len(message))
			_, _ = digest.WriteString(message[:n])
			message = message[n:]
			filled += n
			if filled == BlockBytes {
				h = combineHash(h, digest.Sum64())
				p.chain = append(p.chain, h)
				digest.Reset()
				filled = 0
			}
		}
		p.messageEnds = append(p.messageEnds, len(p.chain))
	}
	return p
}

func combineHash(prefix Hash, block uint64) Hash {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], uint64(prefix))
	binary.LittleEndian.PutUint64(buf[8:], block)
	return Hash(xxhash.Sum64(buf[:]))
}

// Chain returns the hashes of the full blocks, first to last.
func (p Prompt) Chain() []Hash { return p.chain }

// Bytes returns the length of the prompt in bytes.
func (p Prompt) Bytes() int { return p.bytes }

// sharedBlocks returns the number of blocks before the last message, which is
// usually specific to one prompt.
func (p Prompt) sharedBlocks() int {
	if len(p.messageEnds) < 2 {
		return min(1, len(p.chain))
	}
	return p.messageEnds[len(p.messageEnds)-2]
}
