// Package team keeps each team to its rate and burst over all VMs and shares
// engines fairly between teams.
//
// A team's bucket is split by availability zone. In each zone one VM, the
// holder, mints the zone's part; every other VM borrows from it. A loan is
// debited before it is sent and expires at the borrower before the holder
// forgets it, so a lost message loses tokens and never makes them.
//
// The invariant behind the promise is, for every bucket at every instant,
//
//	level + lent <= cap
//
// where lent counts the tokens in loans that may not have been started yet.
package team
