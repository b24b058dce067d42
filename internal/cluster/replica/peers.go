package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// peers has this process's information about the other processes. It is shared by all groups.
type peers struct {
	self  consensus.Member
	known map[consensus.MemberID]*peer
}

// peer is this process's information about one other process.
type peer struct {
	address             string        // internal address; empty if unknown
	announced           bool          // the address comes from the process's own envelopes, not from a membership
	addressSince        time.Duration // when the address became known
	lastContact         time.Duration // when the newest envelope from it was received; 0 if none was
	steadySince         time.Duration // since then no gap was longer than maxContactGap, and the peer accepted leadership
	avoidedLeadershipAt time.Duration // when it last stated that it avoids leadership
}

// maxContactGap is the time without an envelope from a peer after which the contact with it is no longer steady.
const maxContactGap = time.Second

func newPeers(self consensus.Member) *peers {
	return &peers{self: self, known: map[consensus.MemberID]*peer{}}
}

// get returns the entry of a peer. It creates a missing entry.
func (p *peers) get(id consensus.MemberID) *peer {
	known := p.known[id]
	if known == nil {
		known = &peer{avoidedLeadershipAt: -avoidanceLifetime}
		p.known[id] = known
	}
	return known
}

// announcementLifetime is how long after the last contact with a process the address in its envelopes takes precedence
// over its address in a membership.
const announcementLifetime = 5 * time.Second

// learnAddresses adopts the addresses of a membership, except for processes that have announced their address lately.
func (p *peers) learnAddresses(members []consensus.Member, now time.Duration) {
	for _, member := range members {
		known := p.get(member.ID)
		if !known.announced || now-known.lastContact > announcementLifetime {
			known.moveTo(member.Address, now)
			known.announced = false
		}
	}
}

// moveTo sets the address, and the time since which it is known if it has changed.
func (p *peer) moveTo(address string, now time.Duration) {
	if p.address != address {
		p.address, p.addressSince = address, now
	}
}

// recordContact records that an envelope was received, its sender's address, and whether the sender avoids leadership.
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

// address returns the internal address of a member, or "" if it is unknown.
func (p *peers) address(id consensus.MemberID) string {
	if id == p.self.ID {
		return p.self.Address
	}
	if known := p.known[id]; known != nil {
		return known.address
	}
	return ""
}

// sinceContact returns the time since the last contact with a peer, or since the start of the engine if there was none.
func (p *peers) sinceContact(id consensus.MemberID, now time.Duration) time.Duration {
	if known := p.known[id]; known != nil {
		return now - known.lastContact
	}
	return now
}

// avoidanceLifetime is how long a peer's statement that it avoids leadership is valid.
const avoidanceLifetime = 2 * time.Second

// acceptsLeadership reports whether a peer is known and has not stated within avoidanceLifetime that it avoids leadership.
func (p *peers) acceptsLeadership(id consensus.MemberID, now time.Duration) bool {
	known := p.known[id]
	return known != nil && now-known.avoidedLeadershipAt >= avoidanceLifetime
}

// steadyFor returns how long there has been steady contact with a peer, see peer.steadySince; 0 if there is none now.
func (p *peers) steadyFor(id consensus.MemberID, now time.Duration) time.Duration {
	known := p.known[id]
	if known == nil || known.lastContact == 0 || now-known.lastContact > maxContactGap {
		return 0
	}
	return now - known.steadySince
}
