// Package catalog holds the declared state that forwarded calls are decided
// by: routes by host and path, services, teams with their keys and rates, and
// the versions that models should run. The newest declaration stands in a
// Holder together with the proof of how fresh it is.
package catalog
