// Package prefix places requests where the opening blocks of their prompts
// are likely to be cached.
//
// A prompt becomes a chain of block hashes seeded with a Scope: model,
// adapter, weights version and team. Chains of different scopes share no
// hash, so an entry of another team or of other weights cannot match.
package prefix
