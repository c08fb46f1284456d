// Package parts knows the nested parts that prompts are made of and which
// engines are believed to hold them in their caches. A part counts only under
// the salt that it was read with, which names the weights and, for isolated
// teams, the team.
package parts
