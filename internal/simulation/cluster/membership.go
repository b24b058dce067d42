package cluster

import (
	"time"

	"ospreypond/internal/consensus"
)

const (
	joinEvery    = 250 * time.Millisecond
	silentVoter  = 3 * time.Second
	caughtUp     = 20 // entries that a learner may be behind to be promoted
	joinerMemory = 2 * time.Second
)

// superintend does a leader's membership work: learners are taken in, and take the place of what was lost.
func (g *group) superintend() {
	status := g.node.Status()
	if !status.IsLeader || !status.Ready {
		return
	}
	g.sendSnapshots()
	for _, id := range sortedKeys(g.joiners) {
		joiner := g.joiners[id]
		delete(g.joiners, id)
		if g.admit(status.Members, joiner) {
			return
		}
	}
	g.promote(status.Members)
}

// admit adds a process as a learner, unless it is a member.
func (g *group) admit(members []consensus.Member, joiner consensus.Member) bool {
	for _, member := range members {
		if member.ID == joiner.ID {
			return false
		}
	}
	joiner.Learner = true
	next := append(append([]consensus.Member{}, members...), joiner)
	return g.node.ProposeMembers(g.process.now, next) == nil
}

// promote makes a learner that has caught up a voter; the voter whose place it takes goes first.
func (g *group) promote(members []consensus.Member) {
	for i, learner := range members {
		if !learner.Learner {
			continue
		}
		behind, heard, known := g.node.Lagging(learner.ID)
		if !known || behind > caughtUp || g.process.now-heard > time.Second {
			continue
		}
		if lost := g.lostVoter(members, learner); lost >= 0 {
			g.node.ProposeMembers(g.process.now, append(append([]consensus.Member{}, members[:lost]...), members[lost+1:]...))
			return
		}
		if voters(members) >= g.process.cluster.size.Cores {
			continue
		}
		next := append([]consensus.Member{}, members...)
		next[i].Learner = false
		g.node.ProposeMembers(g.process.now, next)
		return
	}
}

// lostVoter returns the place of the voter that a learner replaces: one of the same machine, or a silent one; else -1.
func (g *group) lostVoter(members []consensus.Member, learner consensus.Member) int {
	for i, member := range members {
		if !member.Learner && member.Node == learner.Node {
			return i
		}
	}
	if voters(members) < g.process.cluster.size.Cores {
		return -1
	}
	for i, member := range members {
		if member.Learner || member.ID == g.process.id {
			continue
		}
		if _, heard, known := g.node.Lagging(member.ID); known && g.process.now-heard > silentVoter {
			return i
		}
	}
	return -1
}

func voters(members []consensus.Member) int {
	count := 0
	for _, member := range members {
		if !member.Learner {
			count++
		}
	}
	return count
}

// askToJoin asks to be taken in by the groups of which this process is no member.
func (p *process) askToJoin() {
	if p.now < p.joinAt {
		return
	}
	p.joinAt = p.now + joinEvery
	var missing []uint32
	for _, g := range p.groups {
		if !isMember(g.node.Status().Members, p.id) {
			missing = append(missing, g.id)
		}
	}
	if len(missing) == 0 {
		return
	}
	self := p.self()
	for _, other := range p.cluster.cores {
		if other == p.machine {
			continue
		}
		p.send(other, func(to *process) { to.takeJoins(self, missing, false) })
	}
}

func isMember(members []consensus.Member, id consensus.MemberID) bool {
	for _, member := range members {
		if member.ID == id {
			return true
		}
	}
	return false
}

// takeJoins notes who wants to join, or passes it to the leader.
func (p *process) takeJoins(joiner consensus.Member, groups []uint32, forwarded bool) {
	for _, id := range groups {
		g := p.groups[id]
		status := g.node.Status()
		if status.IsLeader {
			g.joiners[joiner.ID] = joiner
			continue
		}
		leader := p.cluster.machineOf(status.Leader)
		if !forwarded && leader != nil && leader != p.machine {
			p.send(leader, func(to *process) { to.takeJoins(joiner, []uint32{id}, true) })
		}
	}
}

// self is this process as a member.
func (p *process) self() consensus.Member {
	return consensus.Member{ID: p.id, Node: p.machine.Name, Zone: p.machine.Zone, Address: p.machine.Name}
}
