// Package catalog holds the declared state by which calls are routed: routes by
// host and path, services, teams with their keys and rate limits, and the
// versions that models should run. A Tracker holds the newest catalog and the
// time as of which it was confirmed to be current.
package catalog
