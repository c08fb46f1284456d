// Package prefix places requests on the engines that are likely to have the
// leading blocks of their prompts cached.
//
// A prompt becomes a chain of block hashes seeded with a Scope: model, adapter,
// weights version and team. Chains of different scopes have no hash in common,
// so blocks of another team or of other weights never match.
package prefix
