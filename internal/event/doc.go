// Package event defines the events that the processes log, and a log handler that
// does not block. Every log line has the number of its Event in the field "event";
// docs/EVENTS.md lists all events.
package event
