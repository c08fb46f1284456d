// Package standin provides fake servers for the systems that the router talks
// to: the platform, model engines and plain services. Faults can be injected
// into each.
//
// The stand-ins implement only the part of each protocol that the router uses,
// keep everything in memory, and record what happened so that tests can check it.
package standin
