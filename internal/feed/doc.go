// Package feed follows the rows of a table in the platform's store. It reads
// all of them once, then waits for changes, reads all again when the store has
// dropped its history, and tells how fresh what it knows is. Rows only move
// forward: an answer that is older than what is known changes nothing.
//
// One VM of each availability zone asks the store; it hands on what it was
// answered, with the time of its question, so that the others need not ask.
package feed
