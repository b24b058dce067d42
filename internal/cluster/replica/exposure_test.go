package replica

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/consensus"
)

// disks has the disks that would be left if all machines lost power now, by the IDs of their members.
type disks map[consensus.MemberID]*machine

// disksOf returns the disks of all machines but the removed one.
func (c *cluster) disksOf(removed *machine) disks {
	left := disks{}
	for _, m := range c.machines {
		if m != removed && len(m.durable) > 0 {
			left[m.engine.self.ID] = m
		}
	}
	return left
}

// oneLossIsFatal reports whether the loss of a single disk, while all other machines lose power, could leave a group
// without a member that can be elected.
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

// electable reports whether some member of the group can be elected after the disk of the lost one is gone.
func (d disks) electable(id GroupID, lost consensus.MemberID) bool {
	for candidate, m := range d {
		if candidate != lost && d.wins(id, candidate, m, lost) {
			return true
		}
	}
	return false
}

// wins reports whether a candidate gets the votes of a quorum of the membership on its own disk. Voters grant their votes
// if the candidate's log is at least as up-to-date as theirs. A candidate that this membership removes may campaign too,
// without its own vote, until it knows that the membership is committed.
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

// stopwatch measures for how long a condition holds in total.
type stopwatch struct {
	at      time.Duration // time of the last observation
	running bool          // the condition has held since then
	summed  time.Duration
}

// observe records whether the condition holds from now on.
func (s *stopwatch) observe(now time.Duration, condition bool) {
	if s.running {
		s.summed += now - s.at
	}
	s.at, s.running = now, condition
}
