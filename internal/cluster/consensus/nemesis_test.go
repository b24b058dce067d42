package consensus

import (
	"encoding/binary"
	"fmt"
	"time"
)

// nemesis injects random faults into a world. At the same time it does the work of clients and of an operator: it proposes
// commands, replaces members after the loss of their disks, and changes the membership. The world's seed determines every
// choice.
type nemesis struct {
	world       *world
	voters      int               // number of voters that the operator wants
	until       time.Duration     // when faults end, in the world's time
	value       uint64            // of the newest proposal
	acked       map[uint64]uint64 // by index, the term of each proposal that was committed at the member that proposed it
	noProposals bool              // propose no commands, because the test does
}

// randomConditions returns random conditions. Each kind of fault is absent with some probability.
func randomConditions(w *world) conditions {
	chosen := conditions{
		maxDelay: time.Millisecond + w.randomUpTo(8*time.Millisecond),
		maxSync:  time.Millisecond + w.randomUpTo(8*time.Millisecond),
	}
	if w.chance(0.6) {
		chosen.loss = w.random.Float64() * 0.2
	}
	if w.chance(0.6) {
		chosen.duplicate = w.random.Float64() * 0.2
	}
	if w.chance(0.4) {
		chosen.delayed = w.random.Float64() * 0.1
	}
	if w.chance(0.3) {
		chosen.syncStall = w.random.Float64() * 0.05
	}
	return chosen
}

// newNemesis begins to inject faults into a world for duration, and keeps a number of voters in its group.
func newNemesis(w *world, voters int, duration time.Duration) *nemesis {
	n := &nemesis{world: w, voters: voters, until: w.now + duration, acked: map[uint64]uint64{}}
	w.conditions = randomConditions(w)
	n.repeat(3*time.Millisecond, 30*time.Millisecond, n.propose)
	n.repeat(20*time.Millisecond, 40*time.Millisecond, n.reconcileMembers)
	n.scheduleFault()
	return n
}

// repeat calls a function at random intervals until the world ends.
func (n *nemesis) repeat(minInterval, maxInterval time.Duration, run func()) {
	n.world.after(minInterval+n.world.randomUpTo(maxInterval-minInterval), func() {
		run()
		n.repeat(minInterval, maxInterval, run)
	})
}

// scheduleFault injects one fault after another until the time n.until.
func (n *nemesis) scheduleFault() {
	n.world.after(10*time.Millisecond+n.world.randomUpTo(200*time.Millisecond), func() {
		if n.world.now >= n.until {
			return
		}
		n.injectFault()
		n.scheduleFault()
	})
}

// randomMachine returns the machine of the newest leader with probability 0.4, else any machine.
func (n *nemesis) randomMachine() *machine {
	if leader := n.world.newestLeader(); leader != nil && n.world.chance(0.4) {
		return leader
	}
	return n.world.machines[n.world.random.IntN(len(n.world.machines))]
}

// injectFault injects one random fault. Partitions, crashes and freezes, among others, end after 10 to 610 ms.
func (n *nemesis) injectFault() {
	w := n.world
	victim := n.randomMachine()
	duration := 10*time.Millisecond + w.randomUpTo(600*time.Millisecond)
	switch w.random.IntN(10) {
	case 0, 1:
		n.partitionRandomly(duration)
	case 2:
		n.partitionOneWay(victim, duration)
	case 3, 4:
		victim.crash()
		w.after(duration, victim.start)
	case 5:
		victim.freeze()
		w.after(duration, victim.thaw)
	case 6:
		n.wipeDisk(victim, duration)
	case 7:
		n.forbidCampaign(victim, duration)
	case 8:
		n.transferLeadership()
	case 9:
		w.conditions = randomConditions(w)
	}
}

// partitionRandomly partitions the machines into two random groups.
func (n *nemesis) partitionRandomly(duration time.Duration) {
	w := n.world
	side := make([]bool, len(w.machines))
	for index := range side {
		side[index] = w.chance(0.5)
	}
	n.partition(duration, func(from, to int) bool { return side[from] != side[to] })
}

// partitionOneWay drops either all that a machine sends, or all that is sent to it.
func (n *nemesis) partitionOneWay(victim *machine, duration time.Duration) {
	inbound := n.world.chance(0.5)
	n.partition(duration, func(from, to int) bool {
		if inbound {
			return to == victim.index
		}
		return from == victim.index
	})
}

// partition cuts the links that affects selects, and restores them after duration. It restores them even if another
// partition has cut them again.
func (n *nemesis) partition(duration time.Duration, affects func(from, to int) bool) {
	w := n.world
	setPartitioned := func(partitioned bool) {
		for from := range w.partitioned {
			for to := range w.partitioned {
				if affects(from, to) {
					w.partitioned[from][to] = partitioned
				}
			}
		}
	}
	setPartitioned(true)
	w.after(duration, func() { setPartitioned(false) })
}

// wipeDisk replaces a disk by an empty one, if the group tolerates the loss. The machine starts again after duration.
func (n *nemesis) wipeDisk(victim *machine, duration time.Duration) {
	if !n.toleratesWipe(victim) {
		return
	}
	victim.wipe()
	n.world.after(duration, victim.start)
}

// toleratesWipe reports whether the group tolerates the loss of a machine's disk. There must be a ready leader of the newest
// term, without a change of the membership under way. With at least three voters, no voter's disk may be lost already. With
// fewer, the machine must not be a voter.
func (n *nemesis) toleratesWipe(victim *machine) bool {
	leader := n.world.readyLeader()
	if leader == nil {
		return false
	}
	for _, other := range n.world.machines {
		if other.node.term > leader.node.term {
			return false
		}
	}
	members := leader.node.Status().Members
	if leader.node.changePending() || countVoters(members) < 3 {
		return !isVoter(members, victim.id) && !leader.node.changePending()
	}
	for _, member := range members {
		if !member.Learner && n.world.machineOf(member.ID) == nil {
			return false
		}
	}
	return true
}

// forbidCampaign forbids a member to campaign for duration, as the caller does while a disk is unhealthy. If it leads, the
// newest leader transfers its leadership.
func (n *nemesis) forbidCampaign(victim *machine, duration time.Duration) {
	victim.node.SetCampaignAllowed(false)
	if victim.up && !victim.frozen && victim.node.role == roleLeader {
		n.transferLeadership()
	}
	n.world.after(duration, func() { victim.node.SetCampaignAllowed(true) })
}

// transferLeadership has the newest leader transfer its leadership to a random member.
func (n *nemesis) transferLeadership() {
	leader := n.world.newestLeader()
	if leader == nil {
		return
	}
	members := leader.node.Status().Members
	if len(members) == 0 {
		return
	}
	_ = leader.node.TransferLeadership(leader.clock(), members[n.world.random.IntN(len(members))].ID)
	leader.processOutput()
}

// propose proposes commands to all members that believe they lead, and requests confirmations of their leadership.
func (n *nemesis) propose() {
	if n.noProposals {
		return
	}
	for _, m := range n.world.machines {
		if !m.up || m.frozen || m.node.role != roleLeader {
			continue
		}
		for range 1 + n.world.random.IntN(3) {
			n.value++
			data := binary.BigEndian.AppendUint64(nil, n.value)
			if index, term, err := m.node.Propose(m.clock(), data); err == nil {
				n.recordOnCommit(m, index, term)
			}
		}
		m.node.ConfirmLeadership(m.clock())
		m.processOutput()
	}
}

// recordOnCommit records a proposal in acked when it is committed at the member that proposed it.
func (n *nemesis) recordOnCommit(m *machine, index, term uint64) {
	m.commitHooks = append(m.commitHooks, func(entry Entry) {
		if entry.Index == index && entry.Term == term {
			n.acked[index] = term
		}
	})
	if len(m.commitHooks) > 64 {
		m.commitHooks = append([]func(Entry){}, m.commitHooks[32:]...)
	}
}

// reconcileMembers proposes, at every ready leader, the next step towards the wanted membership.
func (n *nemesis) reconcileMembers() {
	for _, m := range n.world.machines {
		if !m.up || m.frozen || !m.node.Status().Ready {
			continue
		}
		if next := n.nextMembers(m); next != nil {
			_ = m.node.ProposeMembers(m.clock(), next)
			m.processOutput()
		}
	}
}

// nextMembers returns the membership to propose next, or nil if there is none. It makes the first possible change of these:
// remove or replace a member with a lost disk, promote a learner if voters are missing, add a machine that is not a member
// as a learner, or make a random change.
func (n *nemesis) nextMembers(leader *machine) []Member {
	members := leader.node.Status().Members
	voters := countVoters(members)
	for position, member := range members {
		if n.world.machineOf(member.ID) != nil || voters == 1 && !member.Learner {
			continue
		}
		if next := n.replaceVoter(leader, position); next != nil && n.world.chance(0.7) {
			return next
		}
		return without(members, position)
	}
	for position, member := range members {
		behind, _, known := leader.node.Lag(member.ID)
		if member.Learner && voters < n.voters && known && behind <= 3 {
			next := append([]Member(nil), members...)
			next[position].Learner = false
			return next
		}
	}
	for _, m := range n.world.machines {
		if _, found := findMember(members, m.id); !found && len(members) < n.voters+1 {
			return append(append([]Member(nil), members...), Member{ID: m.id, Node: m.name, Learner: true})
		}
	}
	return n.randomChange(leader, members, voters)
}

// replaceVoter returns the membership with a learner that lags by up to 3 entries in place of the voter at a position. It
// returns nil if there is no such learner or a learner is at the position.
func (n *nemesis) replaceVoter(leader *machine, position int) []Member {
	members := leader.node.Status().Members
	if members[position].Learner {
		return nil
	}
	for _, learner := range members {
		behind, _, known := leader.node.Lag(learner.ID)
		if !learner.Learner || !known || behind > 3 {
			continue
		}
		learner.Learner = false
		next := without(members, position)
		for index := range next {
			if next[index].ID == learner.ID {
				next[index] = learner
			}
		}
		return next
	}
	return nil
}

// randomChange returns, with probability 0.1 and only before n.until, a membership with random members removed, demoted or
// replaced. Otherwise it returns nil.
func (n *nemesis) randomChange(leader *machine, members []Member, voters int) []Member {
	if n.world.now >= n.until || voters < 3 || !n.world.chance(0.1) {
		return nil
	}
	position := n.world.random.IntN(len(members))
	switch n.world.random.IntN(4) {
	case 0:
		return without(members, position)
	case 1:
		next := append([]Member(nil), members...)
		next[position].Learner = true
		return next
	case 2:
		return n.randomVoters(members)
	default:
		return n.replaceVoter(leader, position)
	}
}

// randomVoters returns a membership that keeps a random majority of the voters. Whether each other member votes is random.
func (n *nemesis) randomVoters(members []Member) []Member {
	next := append([]Member(nil), members...)
	n.world.random.Shuffle(len(next), func(a, b int) { next[a], next[b] = next[b], next[a] })
	remaining, voters := 0, countVoters(members)
	for index := range next {
		if next[index].Learner {
			next[index].Learner = n.world.chance(0.5)
			continue
		}
		next[index].Learner = remaining >= quorumSize(voters) && n.world.chance(0.5)
		remaining++
	}
	return next
}

// without returns the members except for the member at a position.
func without(members []Member, position int) []Member {
	next := append([]Member(nil), members[:position]...)
	return append(next, members[position+1:]...)
}

// healAndVerify runs the world until n.until and ends all faults. It returns an error if the group does not recover within 8 s
// of the world's time, an invariant was violated, or an acknowledged proposal is lost.
func (n *nemesis) healAndVerify() error {
	w := n.world
	w.run(n.until)
	w.heal()
	if !w.runUntil(8*time.Second, func() bool { return w.invariants.violation != "" || n.recovered() }) {
		return fmt.Errorf("the group has not recovered 8 s after the end of all faults: %s", n.describe())
	}
	if w.invariants.violation != "" {
		return fmt.Errorf("%s", w.invariants.violation)
	}
	for index, term := range n.acked {
		if index > uint64(len(w.invariants.committedTerms)) || w.invariants.committedTerms[index-1] != term {
			return fmt.Errorf("the acknowledged entry with index %d and term %d is lost", index, term)
		}
	}
	return nil
}

// recovered reports whether there are as many voters as wanted, a ready leader has applied all committed entries, and no
// member lags behind it by more than 10 entries.
func (n *nemesis) recovered() bool {
	leader := n.world.readyLeader()
	if leader == nil || countVoters(leader.node.Status().Members) < min(n.voters, len(n.world.machines)) {
		return false
	}
	for _, member := range leader.node.Status().Members {
		m := n.world.machineOf(member.ID)
		if m == nil || m.state.index+10 < leader.state.index {
			return false
		}
	}
	return leader.state.index == uint64(len(n.world.invariants.committed))
}

// describe returns the state of all machines, one a line, for error messages.
func (n *nemesis) describe() string {
	text := ""
	for _, m := range n.world.machines {
		status := m.node.Status()
		text += fmt.Sprintf("\n%s id %d up %v term %d leader %d is %v ready %v commit %d last %d first %d members %v",
			m.name, m.id, m.up, status.Term, status.Leader, status.IsLeader, status.Ready, status.Commit,
			status.LastIndex, status.FirstIndex, status.Members)
	}
	return text
}
