// Package parts tracks which engines are believed to have which parts of
// prompts in their prefix caches. Prompts consist of nested parts, each of
// which extends the ones before it. A cached part matches only under the cache
// salt that it was computed with; the salt identifies the model weights and, for
// isolated teams, the team.
package parts
