// Package receipt ensures that calls that are not idempotent run at most once,
// identified by an idempotency key, and stores their outcomes, so that a repeated
// call gets the same answer.
//
// A call is claimed by a conditional write before it is dispatched, and its
// outcome is stored in the same row. A claim is replaced only if it was canceled
// before dispatch, so a claim that has no outcome and is not canceled means that
// the call may have run.
package receipt
