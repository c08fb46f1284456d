// Package engine tracks the state of the backend servers that run models, as this
// router observes it: incarnation, load and failures. It also schedules the
// orders that make engines load the declared weights.
package engine
