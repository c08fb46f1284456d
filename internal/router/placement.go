package router

import (
	"errors"
	"fmt"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/prefix"
)

// Names of the placement policies.
const (
	PlacementRoundRobin = "roundrobin"
	PlacementLeast      = "least"
	PlacementRendezvous = "rendezvous"
	PlacementLevel      = "level"
	PlacementSpread     = "spread"
	PlacementCost       = "cost"
)

// spreadBound is the load, relative to the mean, above which an engine is
// passed over.
const spreadBound = 1.25

var errPolicy = errors.New("router: unknown placement")

// weightsOf returns the prices of a preset, in tokens of prefill.
func weightsOf(p config.Preset) prefix.Weights {
	if p == config.PresetTail {
		return prefix.Weights{Queue: 4000, Share: 250, Margin: 100}
	}
	return prefix.Weights{Queue: 2000, Share: 50, Margin: 500}
}

// newPolicy returns a placement policy by name; empty stands for the default.
func newPolicy(name string, preset config.Preset) (prefix.Policy, error) {
	switch name {
	case PlacementRoundRobin:
		return &prefix.RoundRobin{}, nil
	case PlacementLeast:
		return prefix.LeastLoad{}, nil
	case PlacementRendezvous:
		return prefix.Rendezvous{}, nil
	case PlacementLevel:
		return prefix.NewLevel(0), nil
	case PlacementSpread:
		return prefix.NewLevel(spreadBound), nil
	case PlacementCost, "":
		return prefix.NewCost(weightsOf(preset)), nil
	default:
		return nil, fmt.Errorf("%w %q", errPolicy, name)
	}
}

// placement is the policy in use and the preset it was made for.
type placement struct {
	policy prefix.Policy
	preset config.Preset
}

// setPreset replaces the policy when the declared preset is another.
func (r *Router) setPreset(p config.Preset) {
	if now := r.policy.Load(); now != nil && now.preset == p {
		return
	}
	policy, err := newPolicy(r.settings.Placement, p)
	if err != nil {
		policy = prefix.NewCost(weightsOf(p))
	}
	r.policy.Store(&placement{policy: policy, preset: p})
}

func (r *Router) placement() prefix.Policy { return r.policy.Load().policy }
