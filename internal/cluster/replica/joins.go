package replica

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/consensus"
)

const (
	// joinInterval is the time between two requests of a process that is no member, correctionInterval of a member.
	joinInterval       = 250 * time.Millisecond
	correctionInterval = time.Second
	// joinRequestLifetime is for how long a request counts.
	joinRequestLifetime = 2 * time.Second
	// rejoinTimeout is after how long without a leader a member requests to join again: it may have been dropped.
	rejoinTimeout = 3 * time.Second
	// maxJoinTargets is to how many processes a request is sent at once.
	maxJoinTargets = 8
)

// joiner is a process that requests to join, or to have its node, zone or address corrected.
type joiner struct {
	member     consensus.Member
	receivedAt time.Duration
}

// SetPeers replaces the internal addresses to which requests to join are sent, besides those of the known members.
func (e *Engine) SetPeers(addresses []string) { e.options.Peers = addresses }

// requestJoins requests to join each group that this process is no member of, or that has an outdated node, zone or
// address for it.
func (e *Engine) requestJoins() {
	if e.now < e.joinAt || e.transfers.resigning {
		return
	}
	interval := never
	var joins []Join
	for _, g := range e.groups {
		if own := g.joinRequestInterval(); own != never {
			interval = min(interval, own)
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

// joinRequestInterval returns how often this process requests to join the group; never if there is nothing to request.
func (g *group) joinRequestInterval() time.Duration {
	status := g.node.Status()
	me := slices.IndexFunc(status.Members, func(m consensus.Member) bool { return m.ID == g.engine.self.ID })
	switch {
	case me < 0:
		return joinInterval
	case !sameMachine(status.Members[me], g.engine.self) && !status.IsLeader:
		return correctionInterval
	case g.engine.now-g.leaderSeenAt >= rejoinTimeout:
		return correctionInterval
	default:
		return never
	}
}

func sameMachine(a, b consensus.Member) bool {
	return a.Node == b.Node && a.Zone == b.Zone && a.Address == b.Address
}

// joinTargets returns the addresses to which requests to join are sent: those of the options and of all known peers.
// If there are too many, they take turns.
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
	first := int(e.now/joinInterval) % len(targets)
	rotated := slices.Concat(targets[first:], targets[:first])
	return rotated[:maxJoinTargets]
}

// handleJoin records a process that requests to join, or forwards the request to the leader.
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
