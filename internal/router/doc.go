// Package router composes the decision packages and the edges into the
// process that runs on every entry VM.
//
// Lock order: no two locks of different tables are ever held together, and no
// lock is held across I/O. See docs/DESIGN.md.
package router
