package router

import (
	"errors"
	"fmt"

	"github.com/marjoramrock/marjoramrock/internal/prefix"
)

// Names of the placement policies.
const (
	PlacementRoundRobin   = "roundrobin"
	PlacementLeastLoad    = "least"
	PlacementRendezvous   = "rendezvous"
	PlacementSharedPrefix = "level"
	PlacementBoundedLoad  = "spread"
	PlacementCost         = "cost"
)

// spreadBound is the load, relative to the mean, above which an engine is
// passed over.
const spreadBound = 1.25

var errPolicy = errors.New("router: unknown placement")

// costWeights are the prices of the default policy, in tokens of prefill.
var costWeights = prefix.CostWeights{QueuedRequestTokens: 2000, HomeAdvantageTokens: 2000, MinCachedShare: 0.5}

// newPolicy returns a placement policy by name; empty stands for the default.
func newPolicy(name string) (prefix.Policy, error) {
	switch name {
	case PlacementRoundRobin:
		return &prefix.RoundRobin{}, nil
	case PlacementLeastLoad:
		return prefix.LeastLoad{}, nil
	case PlacementRendezvous:
		return prefix.Rendezvous{}, nil
	case PlacementSharedPrefix:
		return prefix.NewSharedPrefix(0), nil
	case PlacementBoundedLoad:
		return prefix.NewSharedPrefix(spreadBound), nil
	case PlacementCost, "":
		return prefix.NewCost(costWeights), nil
	default:
		return nil, fmt.Errorf("%w %q", errPolicy, name)
	}
}

// placement holds the policy in use.
type placement struct{ policy prefix.Policy }

// SetPlacementPolicy replaces the placement policy for good; for trials.
func (r *Router) SetPlacementPolicy(p prefix.Policy) {
	r.policy.Store(&placement{policy: p})
}

func (r *Router) placement() prefix.Policy { return r.policy.Load().policy }
