// Package quota limits teams to their rates over all VMs. Each VM estimates the
// tokens that the fleet has left for a team: it charges its own calls at once, and
// those of other VMs when they report them. A VM that stops reporting is charged
// an equal part of the rate, so that VMs which are partitioned from each other
// together stay within the rate.
package quota
