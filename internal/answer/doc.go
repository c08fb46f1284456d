// Package answer relays what engines generate: it reads the chunks of a
// stream, holds each to its request and its place, and says how an answer
// that cannot be whole ends.
package answer
