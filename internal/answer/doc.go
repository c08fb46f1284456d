// Package answer defines the wire format of model answers. It decodes an
// engine's event stream, checks that each event belongs to the request and
// arrives in order, and defines the error body of an answer that failed.
package answer
