// Package router implements the router process, which runs on every entry VM.
// It connects the packages that make decisions with those that do I/O.
//
// Lock order: the lock of the slots before that of the VM view. No other two
// locks of different tables are held together. Only the follower's lock, which
// lets one goroutine at a time update the configuration, is held across I/O.
// See docs/DESIGN.md.
package router
