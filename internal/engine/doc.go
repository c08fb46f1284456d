// Package engine keeps what this router knows of the backend servers that run
// models: which incarnation answered last, how loaded each is, and which ones
// fail; and it orders them to load the declared weights.
package engine
