// Package event numbers what the processes log. Every log line carries the
// number of an Event in the field "event"; docs/EVENTS.md lists them all.
package event
