// Package standin has small stand-ins for the systems the router meets: a
// platform, engines and plain services, with switches for their faults.
//
// They speak only the part of each protocol that the router uses, keep
// everything in memory, and record what happened so that tests can check it.
package standin
