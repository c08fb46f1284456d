// Package trial runs a whole small deployment on loopback in one process, and
// puts load on it: the base of the demo and load commands.
package trial
