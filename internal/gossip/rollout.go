package gossip

import (
	"fmt"
	"math"
)

// Grant tells the VMs which share of a service's calls the new version of a rollout gets.
type Grant struct {
	_       struct{} `cbor:",toarray"`
	Service string
	To      string
	// Revision is the row version of the order, Fence the fencing token of the owner, and
	// Sequence counts its grants.
	Revision int64
	Fence    int64
	Sequence int64
	State    string
	Share    float64
	// Reported is set once the platform has been told of a final state.
	Reported bool
	// LeftMillis is the time until the deadline. Once no more than LastMillis is left, and
	// while it is at most ProbeMillis and more than ProbeEndMillis, all calls go to the new
	// version; zero if that is not planned.
	LeftMillis     int64
	LastMillis     int64
	ProbeMillis    int64
	ProbeEndMillis int64
	// Old lists the versions that ran before the order, Banned those that must not run.
	Old    []string
	Banned []string
}

// RolloutCounts are a VM's counts of the calls of a service since it learned of an order.
type RolloutCounts struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Revision int64
	Routes   []RouteCounts
}

// RouteCounts are the counts of one side and route.
type RouteCounts struct {
	_ struct{} `cbor:",toarray"`
	// New is set for calls to servers of the new version.
	New      bool
	Route    string
	Sent     int64
	Answered int64
	Failed   int64
	// Latency counts times to the first byte by bucket; trailing zeros are left out.
	Latency []int64
}

// MemberRollouts are the counts of another process of the sender's zone.
type MemberRollouts struct {
	_      struct{} `cbor:",toarray"`
	VM     string
	Epoch  uint64
	Counts []RolloutCounts
}

// checkRollouts is checkNumbers for what the message tells of rollouts.
func (m *Message) checkRollouts() error {
	for _, x := range m.Grants {
		if math.IsNaN(x.Share) || x.Share < 0 || x.Share > 1 || x.Revision < 0 || x.Fence < 0 || x.Sequence < 0 ||
			x.LeftMillis < -maxMillis || x.LeftMillis > maxMillis || !isTime(x.LastMillis) || !isTime(x.ProbeMillis) || !isTime(x.ProbeEndMillis) {
			return fmt.Errorf("%w: grant for %q", errOutOfRange, x.Service)
		}
	}
	all := [][]RolloutCounts{m.Rollouts}
	for _, x := range m.MemberRollouts {
		all = append(all, x.Counts)
	}
	for _, counts := range all {
		for _, c := range counts {
			for _, r := range c.Routes {
				if !r.inRange() {
					return fmt.Errorf("%w: counts of %q", errOutOfRange, c.Service)
				}
			}
		}
	}
	return nil
}

func isTime(millis int64) bool { return millis >= 0 && millis <= maxMillis }

func (r RouteCounts) inRange() bool {
	for _, n := range append([]int64{r.Sent, r.Answered, r.Failed}, r.Latency...) {
		if n < 0 || n > maxCount {
			return false
		}
	}
	return true
}
