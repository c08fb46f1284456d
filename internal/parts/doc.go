// Package parts tracks which parts of prompts engines and KV cache stores are
// expected to have cached.
//
// A prompt is divided into consecutive parts. The ID of a part identifies the
// prompt's prefix up to the end of the part, so prompts with a common prefix have
// their leading parts in common. The cache entries of a part can be used only
// under the cache salt with which they were computed; the salt identifies the
// model weights and the group of teams that share cached parts.
package parts
