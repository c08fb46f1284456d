package gossip

// VMs returns the names of this VM and of all others that it knows of, silent ones
// included.
func (n *Node) VMs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]string, 0, len(n.members)+1)
	out = append(out, n.options.VM)
	for vm := range n.members {
		out = append(out, vm)
	}
	return out
}
