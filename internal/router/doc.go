// Package router composes the decision packages and the edges into the
// process that runs on every entry VM.
//
// Lock order: slots before the view of VMs; no other two locks of different
// tables are held together. Only the follower's lock, which lets one goroutine
// catch up at a time, is held across I/O. See docs/DESIGN.md.
package router
