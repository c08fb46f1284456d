// Package catalog holds the declared state by which calls are routed: routes by
// host and path, services, teams with their keys and rate limits, and the target
// versions of models, which are the versions that their engines should run. A
// Tracker holds the newest catalog, the target versions, and the time as of which
// the catalog was confirmed to be current.
package catalog
