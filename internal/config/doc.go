// Package config holds the declared configuration: its document form, the
// checks an operator's file must pass, numbered changes between generations,
// and the Keeper that a router follows them with.
//
// A generation is immutable once read. Changes form a chain: each names the
// digest of the one before, so a router can tell a change that does not
// belong to its history, and the generation in force never decreases.
package config
