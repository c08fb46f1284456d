// Package quota limits teams to their rates over all VMs. Each VM may charge an equal
// part of a team's rate. Beyond that it estimates the tokens that the fleet has left for
// the team: it charges its own calls at once, and those of other VMs when they report
// them, and may use its part of the rest until others confirm its charges. A VM that
// stops reporting is left its part, so that VMs which are partitioned from each other
// together stay within the rate. Of a team's calls, urgent ones come first.
package quota
