// Package receipt runs calls that are not idempotent at most once, by their
// idempotency key.
//
// A call is claimed by a conditional write before it is dispatched, and its
// outcome is stored with the claim. A claim is replaced only if it was cancelled
// before dispatch, so a claim without an outcome means that the call may have
// run.
package receipt
