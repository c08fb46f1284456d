// Package operator implements the operators' commands: they read the declared
// configuration, change it by compare-and-set, and wait until the routers apply it.
package operator
