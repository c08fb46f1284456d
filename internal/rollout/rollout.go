package rollout

import (
	"errors"
	"fmt"
	"time"
)

// State is the state of a rollout.
type State string

// States of a rollout.
const (
	// Running rollouts send a share of the traffic to the new version.
	Running State = "running"
	// Done rollouts send all traffic to the new version.
	Done State = "done"
	// RolledBack rollouts send no traffic to the new version.
	RolledBack State = "rolled_back"
)

// Bounds limit what a bad version may get. The zero value means that rollouts are off.
type Bounds struct {
	// ExposureShare is the part of the requests of the service between the order and its
	// deadline, and ExposureSlack the number in addition, that a bad version may get.
	ExposureShare float64
	ExposureSlack float64
	// Rollback is how long after its 50th bad answer a version may still get requests.
	Rollback time.Duration
}

// Order is an operator's order to move a service to another version.
type Order struct {
	Service string
	To      string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Revision increases with each order for the service.
	Revision int64
}

// Limits of Order.Duration.
const (
	MinDuration = time.Second
	MaxDuration = 24 * time.Hour
)

// Validate returns why an order must be ignored.
func (o Order) Validate() error {
	switch {
	case o.Service == "":
		return errors.New("order names no service")
	case o.To == "":
		return errors.New("order names no version")
	case o.Duration < MinDuration || o.Duration > MaxDuration:
		return fmt.Errorf("duration %v is not between %v and %v", o.Duration, MinDuration, MaxDuration)
	}
	return nil
}

// Side says whether a server runs the new version of a rollout.
type Side int

// Sides of a rollout.
const (
	Old Side = iota
	New
)

// LatencyBuckets is the number of buckets of a latency histogram. Bucket i counts times
// to the first byte below 16 ms << i, the last one all others.
const LatencyBuckets = 10

// FirstLatencyBucket is the upper limit of the first bucket; each further one is twice as wide.
const FirstLatencyBucket = 16 * time.Millisecond

// Counts are the calls of one side and route. All are totals that never decrease.
type Counts struct {
	// Sent counts calls sent to servers, Answered complete answers that are no failure, and
	// Failed failures and broken answers of servers.
	Sent     int64
	Answered int64
	Failed   int64
	Latency  [LatencyBuckets]int64
}

// Key names what Counts are of.
type Key struct {
	Side  Side
	Route string
}

// Evidence holds the counts of one process of a VM since the order was known there.
type Evidence map[Key]Counts

// Grant is what the owner of a rollout tells the other VMs.
type Grant struct {
	Service  string
	To       string
	Revision int64
	// Fence is the fencing token of the owner's lease, Sequence counts its grants.
	Fence    int64
	Sequence int64
	State    State
	// Share is the part of the calls that go to the new version, from 0 to 1.
	Share float64
	// Left is the time until the deadline when the owner sent the grant. Once no more than
	// Last is left, all calls go to the new version. Zero values have no effect. All VMs
	// hear Last before it applies, so that they switch at nearly the same time although
	// grants take 0.2 to 0.6 s to reach them.
	Left time.Duration
	Last time.Duration
	// All calls also go to the new version while the time left is at most Probe and more
	// than ProbeEnd: a short test under full load.
	Probe    time.Duration
	ProbeEnd time.Duration
}

// Newer reports whether g replaces o.
func (g Grant) Newer(o Grant) bool {
	if g.Revision != o.Revision {
		return g.Revision > o.Revision
	}
	if g.Fence != o.Fence {
		return g.Fence > o.Fence
	}
	return g.Sequence > o.Sequence
}

// GrantTTL is how long a VM keeps the share of a grant that is not renewed.
const GrantTTL = time.Second

// View is what a decision is made of.
type View struct {
	Order  Order
	Bounds Bounds
	// Elapsed is the time since the order.
	Elapsed time.Duration
	// Total merges the evidence of all VMs. Silent is the part of the known VMs whose counts
	// are older than GrantTTL.
	Total  Evidence
	Silent float64
	// NewServers and OldServers count the listed servers of the service that take calls.
	NewServers int
	OldServers int
	// OldCalls is the number of calls in progress on servers of other versions.
	OldCalls int
	// GrantDelay is the least time that a grant takes to reach other VMs, and zero if that
	// is not known. Planned switches happen that much later at them.
	GrantDelay time.Duration
	// Complete is set once the counts of all known VMs have been heard since this owner
	// took over, or that has taken too long.
	Complete bool
	// Recorded is what the last owner recorded.
	Recorded Record
}

// Record is what an owner stores for its successor.
type Record struct {
	State State
	// Requests and Exposures are the requests that had reached the service, and its new
	// version, since the order.
	Requests  int64
	Exposures int64
}

// Decision is the outcome of one step.
type Decision struct {
	State State
	Share float64
	// Last, Probe and ProbeEnd are to be sent in the grant; zero if nothing is planned.
	Last     time.Duration
	Probe    time.Duration
	ProbeEnd time.Duration
	// Reason says in a few words why.
	Reason string
}

// Merge adds up the evidence of several VMs.
func Merge(all ...Evidence) Evidence {
	out := make(Evidence)
	for _, e := range all {
		for k, n := range e {
			sum := out[k]
			sum.Sent += n.Sent
			sum.Answered += n.Answered
			sum.Failed += n.Failed
			for i := range n.Latency {
				sum.Latency[i] += n.Latency[i]
			}
			out[k] = sum
		}
	}
	return out
}
