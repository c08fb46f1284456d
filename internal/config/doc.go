// Package config implements the declared configuration: the document format,
// the validation of an operator's file, numbered changes between generations,
// and the Tracker with which a router follows them.
//
// A generation is immutable. Changes form a hash chain: the digest of each
// covers the digest of the one before, so a router detects a change that does
// not belong to its history. The current generation of a router never decreases.
package config
