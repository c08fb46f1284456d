// Package buffer holds bodies and events of calls in memory, within a bound on each and on
// all of them together, garbage included.
package buffer
