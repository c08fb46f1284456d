package prefix

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the size of one cached block, in tokens.
const BlockTokens = 1000

// BlockBytes is the prompt text taken for one block, in bytes.
const BlockBytes = 4 * BlockTokens

// MaxBlocks bounds the part of a prompt that takes part in placement.
const MaxBlocks = 512

// Hash names a block together with everything before it.
type Hash uint64

// Scope is what a cached block may be shared within.
type Scope struct {
	Model   string
	Adapter string
	Version string
	// Team is empty for open routes.
	Team string
}

const scopeSeparator = "\x00"

// Salt returns the text that separates the scope's blocks in an engine's
// cache from all others.
func (s Scope) Salt() string {
	text := strings.Join([]string{s.Model, s.Adapter, s.Version, s.Team}, scopeSeparator)
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(text))) + "-" + s.Version
}

// Prompt is a caller's prompt as placement sees it.
type Prompt struct {
	chain []Hash
	// bounds are block counts at which a message ends, ascending.
	bounds []int
	bytes  int
}

// NewPrompt hashes the parts of a prompt, one for each message, under a salt.
func NewPrompt(salt string, parts []string) Prompt {
	p := Prompt{}
	h := Hash(xxhash.Sum64String(salt))
	var digest xxhash.Digest
	digest.Reset()
	filled := 0
	for _, part := range parts {
		p.bytes += len(part)
		for len(part) > 0 && len(p.chain) < MaxBlocks {
			n := min(BlockBytes-filled, len(part))
			_, _ = digest.WriteString(part[:n])
			part = part[n:]
			filled += n
			if filled == BlockBytes {
				h = link(h, digest.Sum64())
				p.chain = append(p.chain, h)
				digest.Reset()
				filled = 0
			}
		}
		p.bounds = append(p.bounds, len(p.chain))
	}
	return p
}

func link(before Hash, block uint64) Hash {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], uint64(before))
	binary.LittleEndian.PutUint64(buf[8:], block)
	return Hash(xxhash.Sum64(buf[:]))
}

// Chain returns the hashes of the full blocks, first to last.
func (p Prompt) Chain() []Hash { return p.chain }

// Bytes returns the length of the prompt.
func (p Prompt) Bytes() int { return p.bytes }

// shared returns the block count up to the last message, which is usually
// the part that a prompt has for itself.
func (p Prompt) shared() int {
	if len(p.bounds) < 2 {
		return min(1, len(p.chain))
	}
	return p.bounds[len(p.bounds)-2]
}
