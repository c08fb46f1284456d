// Package team enforces each team's rate and burst over all VMs and shares
// engines fairly between teams.
//
// A team's token bucket is split by availability zone. In each zone one VM, the
// holder, refills the zone's part of the bucket, and every other VM borrows
// tokens from it. The holder debits a loan before it sends the grant, and a loan
// expires at the borrower before the holder stops counting it. A lost message
// can therefore lose tokens but never create any.
//
// The rate limit rests on this invariant, which holds for every bucket at all
// times:
//
//	level + lent <= cap
//
// where lent is the sum of the loans that may not have been started yet.
package team
