package replica

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/consensus"
)

const (
	// joinInterval is the time between two requests to join by a process that is not a member.
	joinInterval = 250 * time.Millisecond
	// correctionInterval is the time between two requests by a member: to correct its outdated node, zone or address, or to
	// join again because it may have been dropped.
	correctionInterval = time.Second
	// joinRequestLifetime is the time after which a leader forgets a request that was not repeated.
	joinRequestLifetime = 2 * time.Second
	// rejoinTimeout is how long a member must have known no leader before it requests to join again: the group may have
	// dropped it.
	rejoinTimeout = 3 * time.Second
	// maxJoinTargets is the number of processes to which a request is sent at once.
	maxJoinTargets = 8
)

// joiner is a process that requests to join a group, or a member that requests to have its node, zone or address corrected.
type joiner struct {
	member     consensus.Member
	receivedAt time.Duration // when the newest request was received
}

// SetPeers replaces the addresses of Options.Peers, to which requests to join are sent in addition to the known members.
func (e *Engine) SetPeers(addresses []string) { e.options.Peers = addresses }

// requestJoins sends requests to join or to be corrected, for each group with a finite joinRequestInterval: this process is
// not a member, the group has an outdated node, zone or address for it, or the group may have dropped it. A process that
// resigns sends no requests.
func (e *Engine) requestJoins() {
	if e.now < e.joinAt || e.transfers.resigning {
		return
	}
	interval := infinite
	var joins []Join
	for _, g := range e.groups {
		if required := g.joinRequestInterval(); required != infinite {
			interval = min(interval, required)
			joins = append(joins, Join{Group: g.id, Member: e.self})
		}
	}
	if len(joins) == 0 {
		return
	}
	e.joinAt = e.now + interval
	for _, address := range e.joinTargets() {
		for _, join := range joins {
			e.outbox.addJoin(address, join)
		}
	}
}

// joinRequestInterval returns the time between two requests for this group. It is infinite if no request is needed.
// A leader requests no correction, since it corrects its own data, see correctMember.
func (g *group) joinRequestInterval() time.Duration {
	status := g.node.Status()
	own := slices.IndexFunc(status.Members, func(m consensus.Member) bool { return m.ID == g.engine.self.ID })
	switch {
	case own < 0:
		return joinInterval
	case !sameMachine(status.Members[own], g.engine.self) && !status.IsLeader:
		return correctionInterval
	case g.engine.now-g.leaderSeenAt >= rejoinTimeout:
		return correctionInterval
	default:
		return infinite
	}
}

// sameMachine reports whether two members have the same node, zone and address.
func sameMachine(a, b consensus.Member) bool {
	return a.Node == b.Node && a.Zone == b.Zone && a.Address == b.Address
}

// joinTargets returns the addresses to which requests to join are sent now: the addresses in the options and of all known
// peers. If there are more than maxJoinTargets, it returns a different range of the sorted addresses in each joinInterval.
func (e *Engine) joinTargets() []string {
	targets := slices.Concat(e.options.Peers, e.options.Bootstrap)
	for id := range e.peers.known {
		targets = append(targets, e.peers.address(id))
	}
	slices.Sort(targets)
	targets = slices.Compact(targets)
	targets = slices.DeleteFunc(targets, func(address string) bool {
		return address == "" || address == e.self.Address
	})
	if len(targets) <= maxJoinTargets {
		return targets
	}
	start := int(e.now/joinInterval) % len(targets)
	rotated := slices.Concat(targets[start:], targets[:start])
	return rotated[:maxJoinTargets]
}

// handleJoin handles a request to join. The leader records it for the next review of the membership; another member
// forwards it to the leader, but not a request that was forwarded already.
func (e *Engine) handleJoin(join *Join) {
	g := e.byID[join.Group]
	if g == nil || join.Member.ID == consensus.None || join.Member.ID == e.self.ID {
		return
	}
	if g.leadingTerm != 0 {
		e.peers.learnAddresses([]consensus.Member{join.Member}, e.now)
		g.joiners[join.Member.ID] = joiner{member: join.Member, receivedAt: e.now}
		e.maintainAt = e.now
		return
	}
	leader := e.LeaderAddress(join.Group)
	if join.Forwarded || leader == "" || leader == e.self.Address || leader == join.Member.Address {
		return
	}
	e.outbox.addJoin(leader, Join{Group: join.Group, Member: join.Member, Forwarded: true})
}
