package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// peers is what this process knows of the other processes, in whatever group they are.
type peers struct {
	self  consensus.Member
	known map[consensus.MemberID]*peer
}

// peer is what this process knows of one other process.
type peer struct {
	address             string
	announced           bool          // the address comes from the process's own envelopes, not from a membership
	addressSince        time.Duration // when the address became known
	lastContact         time.Duration // when its newest envelope was received; 0: none was
	steadySince         time.Duration // since then in contact without a longer gap, and never avoiding leadership
	avoidedLeadershipAt time.Duration
}

// maxContactGap is the time without contact after which a peer is not steady any more.
const maxContactGap = time.Second

func newPeers(self consensus.Member) *peers {
	return &peers{self: self, known: map[consensus.MemberID]*peer{}}
}

func (p *peers) get(id consensus.MemberID) *peer {
	known := p.known[id]
	if known == nil {
		known = &peer{avoidedLeadershipAt: -avoidanceLifetime}
		p.known[id] = known
	}
	return known
}

// announcementLifetime is for how long an address from a process's own envelopes outweighs that of a membership.
const announcementLifetime = 5 * time.Second

// learnAddresses adopts the addresses of a membership, except where the process itself has announced one lately.
func (p *peers) learnAddresses(members []consensus.Member, now time.Duration) {
	for _, member := range members {
		known := p.get(member.ID)
		if !known.announced || now-known.lastContact > announcementLifetime {
			known.moveTo(member.Address, now)
			known.announced = false
		}
	}
}

func (p *peer) moveTo(address string, now time.Duration) {
	if p.address != address {
		p.address, p.addressSince = address, now
	}
}

// recordContact records that an envelope was received.
func (p *peers) recordContact(envelope *Envelope, now time.Duration) {
	known := p.get(envelope.From)
	if envelope.Address != "" {
		known.moveTo(envelope.Address, now)
		known.announced = true
	}
	if known.lastContact == 0 || now-known.lastContact > maxContactGap || envelope.Reluctant {
		known.steadySince = now
	}
	known.lastContact = now
	if envelope.Reluctant {
		known.avoidedLeadershipAt = now
	}
}

// address returns a member's internal address, or "" if it is not known.
func (p *peers) address(id consensus.MemberID) string {
	if id == p.self.ID {
		return p.self.Address
	}
	if known := p.known[id]; known != nil {
		return known.address
	}
	return ""
}

// sinceContact returns the time since the last contact with a peer, or since the start if there was none.
func (p *peers) sinceContact(id consensus.MemberID, now time.Duration) time.Duration {
	if known := p.known[id]; known != nil {
		return now - known.lastContact
	}
	return now
}

// avoidanceLifetime is for how long a peer's statement that it avoids leadership counts.
const avoidanceLifetime = 2 * time.Second

// acceptsLeadership reports whether a peer is known and has not lately stated that it avoids leadership.
func (p *peers) acceptsLeadership(id consensus.MemberID, now time.Duration) bool {
	known := p.known[id]
	return known != nil && now-known.avoidedLeadershipAt >= avoidanceLifetime
}

// steadyFor returns for how long there has been steady contact with a peer; see peer.steadySince.
func (p *peers) steadyFor(id consensus.MemberID, now time.Duration) time.Duration {
	known := p.known[id]
	if known == nil || known.lastContact == 0 || now-known.lastContact > maxContactGap {
		return 0
	}
	return now - known.steadySince
}
