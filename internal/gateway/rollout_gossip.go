package gateway

import (
	"time"

	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
)

// maxRoutesPerMessage bounds the counts in a message, so that it fits into a datagram.
const maxRoutesPerMessage = 500

// sendGrants sends the grants of this VM to all VMs immediately.
func (g *Gateway) sendGrants() {
	if grants := g.rolloutOwner.activeGrants(); len(grants) > 0 {
		g.broadcastDelta(&gossip.Message{Grants: grants})
	}
}

// sendRolloutCounts sends the counts of this VM to the leader of its zone, which sends
// them on. No other VM needs them, and they would multiply with the size of the zone.
func (g *Gateway) sendRolloutCounts() {
	if !g.rollouts.enabled {
		return
	}
	leader, other := g.node.Leader()
	if !other {
		return
	}
	if counts := g.rollouts.ownCounts(); len(counts) > 0 {
		g.sendTo(&gossip.Message{Delta: true, Rollouts: counts}, []string{leader})
	}
}

// sendMemberCounts sends the counts of this VM's zone to the owner of the rollouts, or
// while that is not known, to the leaders of the other zones, one of which may be the
// next owner.
func (g *Gateway) sendMemberCounts(members []gossip.Member) {
	if !g.rollouts.enabled {
		return
	}
	own := g.rollouts.ownCounts()
	if len(own) == 0 {
		return
	}
	owners := g.rollouts.owners(g.now())
	send := func(m *gossip.Message) {
		m.Delta = true
		if len(owners) == 0 {
			g.sendMessage(m, gossip.OtherZones)
			return
		}
		g.sendTo(m, owners)
	}
	m, routes := &gossip.Message{Rollouts: own}, countRoutes(own)
	for _, x := range g.rollouts.memberCounts(members) {
		if routes > 0 && routes+countRoutes(x.Counts) > maxRoutesPerMessage {
			send(m)
			m, routes = &gossip.Message{}, 0
		}
		m.MemberRollouts, routes = append(m.MemberRollouts, x), routes+countRoutes(x.Counts)
	}
	send(m)
}

func countRoutes(list []gossip.RolloutCounts) int {
	n := 0
	for _, x := range list {
		n += 1 + len(x.Routes)
	}
	return n
}

// owners returns the addresses of the other VMs whose grants are valid.
func (r *rollouts) owners(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool)
	var out []string
	for _, s := range r.services {
		if s.isRunning() && s.owner != "" && !s.applied.Expired(now) && !seen[s.owner] {
			seen[s.owner] = true
			out = append(out, s.owner)
		}
	}
	return out
}

func (g *Gateway) sendTo(m *gossip.Message, addresses []string) {
	for _, address := range addresses {
		if address == g.settings.PeerAddress {
			continue
		}
		if err := g.node.SendTo(m, address); err != nil {
			event.PeerUnreachable.Log(g.log, err, nil)
		}
	}
}

// handleRollouts applies what a message tells of rollouts.
func (g *Gateway) handleRollouts(m *gossip.Message, now time.Duration) {
	for _, x := range m.Grants {
		if rollout.State(x.State) == rollout.Running && g.rollouts.ignoresGrants(now) {
			continue
		}
		g.applyGrant(x, m.Address, "granted")
	}
	g.rollouts.mergeCounts(m.VM, m.Epoch, m.Rollouts, now)
	for _, x := range m.MemberRollouts {
		if x.VM != g.settings.VM {
			g.rollouts.mergeCounts(x.VM, x.Epoch, x.Counts, now)
		}
	}
}
