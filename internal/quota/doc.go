// Package quota holds teams to their rates over all VMs. Each VM keeps an
// estimate of the tokens that the fleet has left for a team: it charges its own
// calls at once and those of the others as they tell of them. A VM that falls
// silent is charged its equal part of the rate, so that VMs which are cut off
// from each other stay within the rate together.
package quota
