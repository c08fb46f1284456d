package router

import (
	"errors"
	"fmt"

	"github.com/marjoramrock/marjoramrock/internal/prefix"
)

// Names of the placement policies in the settings.
const (
	PlacementRoundRobin   = "roundrobin"
	PlacementLeastLoad    = "least"
	PlacementRendezvous   = "rendezvous"
	PlacementSharedPrefix = "level"
	PlacementBoundedLoad  = "spread"
	PlacementCost         = "cost"
)

// maxRelativeLoad is the load, relative to the mean, above which an engine comes
// after the engines below it.
const maxRelativeLoad = 1.25

var errUnknownPlacement = errors.New("router: unknown placement policy")

// defaultCostWeights are the parameters of the default policy. Costs are in tokens
// to prefill.
var defaultCostWeights = prefix.CostWeights{QueuedRequestTokens: 2000, HomeAdvantageTokens: 2000, MinCachedShare: 0.5}

// newPlacementPolicy returns a placement policy by name. The empty name is the
// default, PlacementCost.
func newPlacementPolicy(name string) (prefix.Policy, error) {
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
		return prefix.NewSharedPrefix(maxRelativeLoad), nil
	case PlacementCost, "":
		return prefix.NewCost(defaultCostWeights), nil
	default:
		return nil, fmt.Errorf("%w %q", errUnknownPlacement, name)
	}
}

// policyHolder holds the current policy behind an atomic pointer, which needs a
// concrete type.
type policyHolder struct{ policy prefix.Policy }

// SetPlacementPolicy replaces the placement policy. It is meant for trials.
func (r *Router) SetPlacementPolicy(p prefix.Policy) {
	r.policy.Store(&policyHolder{policy: p})
}

func (r *Router) placement() prefix.Policy { return r.policy.Load().policy }
