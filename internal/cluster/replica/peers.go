package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// peers is what this process knows of the others, in whatever group.
type peers struct {
	self  consensus.Member
	known map[consensus.MemberID]*peer
}

type peer struct {
	address     string
	told        bool          // the address comes from the process itself, not from a membership
	movedAt     time.Duration // when the address became known
	heardAt     time.Duration // the newest envelope
	steadySince time.Duration // heard since then without a longer silence, and never reluctant
	reluctantAt time.Duration
}

// steadyGap is the silence that ends a peer's being steady.
const steadyGap = time.Second

func newPeers(self consensus.Member) *peers {
	return &peers{self: self, known: map[consensus.MemberID]*peer{}}
}

func (p *peers) get(id consensus.MemberID) *peer {
	known := p.known[id]
	if known == nil {
		known = &peer{reluctantAt: -reluctance}
		p.known[id] = known
	}
	return known
}

// toldLifetime is for how long an address that a process itself has told outweighs a membership.
const toldLifetime = 5 * time.Second

// learn takes addresses from a membership, where the process itself has not told another lately.
func (p *peers) learn(members []consensus.Member, now time.Duration) {
	for _, member := range members {
		known := p.get(member.ID)
		if !known.told || now-known.heardAt > toldLifetime {
			known.moveTo(member.Address, now)
			known.told = false
		}
	}
}

func (p *peer) moveTo(address string, now time.Duration) {
	if p.address != address {
		p.address, p.movedAt = address, now
	}
}

// heard takes note of an envelope.
func (p *peers) heard(envelope *Envelope, now time.Duration) {
	known := p.get(envelope.From)
	if envelope.Address != "" {
		known.moveTo(envelope.Address, now)
		known.told = true
	}
	if known.heardAt == 0 || now-known.heardAt > steadyGap || envelope.Reluctant {
		known.steadySince = now
	}
	known.heardAt = now
	if envelope.Reluctant {
		known.reluctantAt = now
	}
}

// address is a member's internal address, or "".
func (p *peers) address(id consensus.MemberID) string {
	if id == p.self.ID {
		return p.self.Address
	}
	if known := p.known[id]; known != nil {
		return known.address
	}
	return ""
}

// unheard is the time since anything came from a peer; since the start, if nothing has.
func (p *peers) unheard(id consensus.MemberID, now time.Duration) time.Duration {
	if known := p.known[id]; known != nil {
		return now - known.heardAt
	}
	return now
}

// reluctance is for how long a peer's word that it does not want to lead counts.
const reluctance = 2 * time.Second

// willing tells whether a peer would take a leadership.
func (p *peers) willing(id consensus.MemberID, now time.Duration) bool {
	known := p.known[id]
	return known != nil && now-known.reluctantAt >= reluctance
}

// steady is for how long a peer has been heard without a longer silence.
func (p *peers) steady(id consensus.MemberID, now time.Duration) time.Duration {
	known := p.known[id]
	if known == nil || known.heardAt == 0 || now-known.heardAt > steadyGap {
		return 0
	}
	return now - known.steadySince
}
