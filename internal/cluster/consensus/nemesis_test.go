package consensus

import (
	"encoding/binary"
	"fmt"
	"time"
)

// nemesis troubles a world, and runs it as an operator and clients would.
type nemesis struct {
	world  *world
	voters int // how many voters the operator wants
	until  time.Duration
	value  uint64
	acked  map[uint64]uint64 // index to term of proposals that came out committed
	silent bool              // proposes nothing: others do
}

// randomConditions draws how bad a world is.
func randomConditions(w *world) conditions {
	chosen := conditions{
		maxDelay: time.Millisecond + w.upTo(8*time.Millisecond),
		maxSync:  time.Millisecond + w.upTo(8*time.Millisecond),
	}
	if w.chance(0.6) {
		chosen.loss = w.random.Float64() * 0.2
	}
	if w.chance(0.6) {
		chosen.duplicate = w.random.Float64() * 0.2
	}
	if w.chance(0.4) {
		chosen.slowPackets = w.random.Float64() * 0.1
	}
	if w.chance(0.3) {
		chosen.stall = w.random.Float64() * 0.05
	}
	return chosen
}

// newNemesis begins to trouble a world for a time.
func newNemesis(w *world, voters int, length time.Duration) *nemesis {
	n := &nemesis{world: w, voters: voters, until: w.now + length, acked: map[uint64]uint64{}}
	w.conditions = randomConditions(w)
	n.repeat(3*time.Millisecond, 30*time.Millisecond, n.propose)
	n.repeat(20*time.Millisecond, 40*time.Millisecond, n.operate)
	n.troubleLater()
	return n
}

// repeat does something again and again at uneven times.
func (n *nemesis) repeat(shortest, longest time.Duration, do func()) {
	n.world.after(shortest+n.world.upTo(longest-shortest), func() {
		do()
		n.repeat(shortest, longest, do)
	})
}

// troubleLater makes one trouble after another until the time is over.
func (n *nemesis) troubleLater() {
	n.world.after(10*time.Millisecond+n.world.upTo(200*time.Millisecond), func() {
		if n.world.now >= n.until {
			return
		}
		n.trouble()
		n.troubleLater()
	})
}

// someMachine draws a machine, often the leader.
func (n *nemesis) someMachine() *machine {
	if leader := n.world.newestLeader(); leader != nil && n.world.chance(0.4) {
		return leader
	}
	return n.world.machines[n.world.random.IntN(len(n.world.machines))]
}

// trouble makes one trouble, which ends after a while.
func (n *nemesis) trouble() {
	w := n.world
	victim := n.someMachine()
	lasting := 10*time.Millisecond + w.upTo(600*time.Millisecond)
	switch w.random.IntN(10) {
	case 0, 1:
		n.split(lasting)
	case 2:
		n.oneWay(victim, lasting)
	case 3, 4:
		victim.crash()
		w.after(lasting, victim.start)
	case 5:
		victim.freeze()
		w.after(lasting, victim.thaw)
	case 6:
		n.wipe(victim, lasting)
	case 7:
		n.sicken(victim, lasting)
	case 8:
		n.handOver()
	case 9:
		w.conditions = randomConditions(w)
	}
}

// split cuts the machines into two groups.
func (n *nemesis) split(lasting time.Duration) {
	w := n.world
	side := make([]bool, len(w.machines))
	for index := range side {
		side[index] = w.chance(0.5)
	}
	n.setCut(lasting, func(from, to int) bool { return side[from] != side[to] })
}

// oneWay cuts what a machine sends, or what it hears.
func (n *nemesis) oneWay(victim *machine, lasting time.Duration) {
	hears := n.world.chance(0.5)
	n.setCut(lasting, func(from, to int) bool {
		if hears {
			return to == victim.index
		}
		return from == victim.index
	})
}

// setCut cuts links for a while.
func (n *nemesis) setCut(lasting time.Duration, cut func(from, to int) bool) {
	w := n.world
	set := func(value bool) {
		for from := range w.cut {
			for to := range w.cut {
				if cut(from, to) {
					w.cut[from][to] = value
				}
			}
		}
	}
	set(true)
	w.after(lasting, func() { set(false) })
}

// wipe loses a disk, if the group can stand it: no change is under way and all voters' disks are there.
func (n *nemesis) wipe(victim *machine, lasting time.Duration) {
	if !n.wipeTolerated(victim) {
		return
	}
	victim.wipe()
	n.world.after(lasting, victim.start)
}

// wipeTolerated tells whether one more disk may be lost.
func (n *nemesis) wipeTolerated(victim *machine) bool {
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
		if !member.Learner && n.world.holder(member.ID) == nil {
			return false
		}
	}
	return true
}

// sicken keeps a machine from standing for a while; a leader gives its role away.
func (n *nemesis) sicken(victim *machine, lasting time.Duration) {
	victim.node.SetCampaignAllowed(false)
	if victim.up && !victim.frozen && victim.node.role == roleLeader {
		n.handOver()
	}
	n.world.after(lasting, func() { victim.node.SetCampaignAllowed(true) })
}

// handOver asks a leader to give its role to a random voter.
func (n *nemesis) handOver() {
	leader := n.world.newestLeader()
	if leader == nil {
		return
	}
	members := leader.node.Status().Members
	if len(members) == 0 {
		return
	}
	_ = leader.node.TransferLeadership(leader.clock(), members[n.world.random.IntN(len(members))].ID)
	leader.drain()
}

// propose hands a command to any member that believes it leads.
func (n *nemesis) propose() {
	if n.silent {
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
				n.watch(m, index, term)
			}
		}
		m.node.ConfirmLeadership(m.clock())
		m.drain()
	}
}

// watch notes when a proposal comes out committed where it was made.
func (n *nemesis) watch(m *machine, index, term uint64) {
	m.hooks = append(m.hooks, func(entry Entry) {
		if entry.Index == index && entry.Term == term {
			n.acked[index] = term
		}
	})
	if len(m.hooks) > 64 {
		m.hooks = append([]func(Entry){}, m.hooks[32:]...)
	}
}

// operate is one step of the operator on every member that leads.
func (n *nemesis) operate() {
	for _, m := range n.world.machines {
		if !m.up || m.frozen || !m.node.Status().Ready {
			continue
		}
		if next := n.nextMembers(m); next != nil {
			_ = m.node.ProposeMembers(m.clock(), next)
			m.drain()
		}
	}
}

// nextMembers is the membership that a leader goes on to, nil if it is content.
func (n *nemesis) nextMembers(leader *machine) []Member {
	members := leader.node.Status().Members
	voters := countVoters(members)
	for position, member := range members {
		if n.world.holder(member.ID) != nil || voters == 1 && !member.Learner {
			continue
		}
		if next := n.replaced(leader, position); next != nil && n.world.chance(0.7) {
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
	return n.whim(leader, members, voters)
}

// replaced is the membership in which a learner that has caught up takes the place of a voter, nil if there is none.
func (n *nemesis) replaced(leader *machine, position int) []Member {
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

// whim removes, demotes or replaces voters now and then, until the time is over.
func (n *nemesis) whim(leader *machine, members []Member, voters int) []Member {
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
		return n.shuffled(members)
	default:
		return n.replaced(leader, position)
	}
}

// shuffled lets a random majority of the voters go on voting, and any others.
func (n *nemesis) shuffled(members []Member) []Member {
	next := append([]Member(nil), members...)
	n.world.random.Shuffle(len(next), func(a, b int) { next[a], next[b] = next[b], next[a] })
	kept, voters := 0, countVoters(members)
	for index := range next {
		if next[index].Learner {
			next[index].Learner = n.world.chance(0.5)
			continue
		}
		next[index].Learner = kept >= quorumOf(voters) && n.world.chance(0.5)
		kept++
	}
	return next
}

// without leaves a member out.
func without(members []Member, position int) []Member {
	next := append([]Member(nil), members[:position]...)
	return append(next, members[position+1:]...)
}

// settle heals the world and checks that it works again, with all that was acknowledged.
func (n *nemesis) settle() error {
	w := n.world
	w.run(n.until)
	w.heal()
	if !w.runUntil(8*time.Second, func() bool { return w.truth.broken != "" || n.settled() }) {
		return fmt.Errorf("the group does not recover: %s", n.describe())
	}
	if w.truth.broken != "" {
		return fmt.Errorf("%s", w.truth.broken)
	}
	for index, term := range n.acked {
		if index > uint64(len(w.truth.terms)) || w.truth.terms[index-1] != term {
			return fmt.Errorf("the acknowledged entry %d of term %d is lost", index, term)
		}
	}
	return nil
}

// settled tells whether there are enough voters, a ready leader, and all members near its end.
func (n *nemesis) settled() bool {
	leader := n.world.readyLeader()
	if leader == nil || countVoters(leader.node.Status().Members) < min(n.voters, len(n.world.machines)) {
		return false
	}
	for _, member := range leader.node.Status().Members {
		m := n.world.holder(member.ID)
		if m == nil || m.state.index+10 < leader.state.index {
			return false
		}
	}
	return leader.state.index == uint64(len(n.world.truth.committed))
}

// describe shows where every member stands.
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
