package replica

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/consensus"
)

// disks is what would be left if all machines lost power now.
type disks map[consensus.MemberID]*machine

// disksOf returns the disks of the machines that are not removed for good.
func (c *cluster) disksOf(removed *machine) disks {
	left := disks{}
	for _, m := range c.machines {
		if m != removed && len(m.durable) > 0 {
			left[m.engine.self.ID] = m
		}
	}
	return left
}

// oneLossIsFatal reports whether the loss of some one disk, while all other machines lose power, would leave a group
// without any member that can be elected.
func (d disks) oneLossIsFatal(groups int) bool {
	for lost := range d {
		for id := range GroupID(groups) {
			if !d.electable(id, lost) {
				return true
			}
		}
	}
	return false
}

// electable reports whether a member of the group can be elected without the disk of one.
func (d disks) electable(id GroupID, lost consensus.MemberID) bool {
	for candidate, m := range d {
		if candidate != lost && d.wins(id, candidate, m, lost) {
			return true
		}
	}
	return false
}

// wins reports whether a candidate gets a quorum by the membership on its own disk. One that this leaves out campaigns
// as well, without counting itself, as long as it doesn't know the membership to be committed.
func (d disks) wins(id GroupID, candidate consensus.MemberID, m *machine, lost consensus.MemberID) bool {
	own := m.durable[id]
	node := m.engine.byID[id].node
	members := node.MembersAt(own.index)
	committed := node.MembersAt(min(own.index, node.Status().Commit))
	if !slices.Contains(sortedVoters(members), candidate) && !slices.Contains(sortedVoters(committed), candidate) {
		return false
	}
	return consensus.HasQuorum(members, func(voter consensus.MemberID) bool {
		other := d[voter]
		return voter != lost && other != nil && own.covers(other.durable[id])
	})
}

// stopwatch sums up the time during which a condition holds.
type stopwatch struct {
	at      time.Duration
	running bool
	summed  time.Duration
}

// observe sets whether the condition holds from now on.
func (s *stopwatch) observe(now time.Duration, condition bool) {
	if s.running {
		s.summed += now - s.at
	}
	s.at, s.running = now, condition
}
