package replica

import "ospreypond/internal/cluster/consensus"

// SetPeers replaces the internal addresses that are asked for joining, beside the members known already. It is called on
// the loop.
func (e *Engine) SetPeers(addresses []string) { e.options.Peers = addresses }

// KnowsLeaders tells whether this process knows a leader of each group. It is called on the loop.
func (e *Engine) KnowsLeaders() bool {
	for _, g := range e.groups {
		if g.node.Status().Leader == consensus.None {
			return false
		}
	}
	return true
}
