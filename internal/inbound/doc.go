// Package inbound accepts the connections of callers, and ends them without cutting a
// request when the process stops.
package inbound
