// Package receipt makes calls that are not idempotent run at most once.
//
// A call is claimed by a conditional write before it is dispatched, and the
// outcome is kept beside the claim. Nobody ever claims a call again, so a
// claim without an outcome means that the call may have run.
package receipt
