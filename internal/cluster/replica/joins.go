package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
)

const (
	joinInterval       = 250 * time.Millisecond // between two wishes of a process that is no member
	correctionInterval = time.Second            // between two wishes of a member
	joinerLifetime     = 2 * time.Second        // for how long a wish counts
	lonelyPatience     = 3 * time.Second        // without a leader, after which a member asks whether it still is one
	maxJoinTargets     = 8                      // processes that are asked at once
)

// joiner is a process that asks to be a member.
type joiner struct {
	member consensus.Member
	at     time.Duration
}

// askToJoin asks for all groups that this process is no member of, or that know something wrong of it.
func (e *Engine) askToJoin() {
	if e.now < e.joins || e.shifts.resigning {
		return
	}
	interval := never
	var joins []Join
	for _, g := range e.groups {
		if wish := g.wishInterval(); wish != never {
			interval = min(interval, wish)
			joins = append(joins, Join{Group: g.id, Member: e.self})
		}
	}
	if len(joins) == 0 {
		return
	}
	e.joins = e.now + interval
	for _, address := range e.joinTargets() {
		for _, join := range joins {
			e.outbox.join(address, join)
		}
	}
}

// wishInterval is how often this process asks for the group; never if it has nothing to ask for.
func (g *group) wishInterval() time.Duration {
	status := g.node.Status()
	me := slices.IndexFunc(status.Members, func(m consensus.Member) bool { return m.ID == g.engine.self.ID })
	switch {
	case me < 0:
		return joinInterval
	case !sameMachine(status.Members[me], g.engine.self) && !status.IsLeader:
		return correctionInterval
	case g.engine.now-g.leaderSeenAt >= lonelyPatience:
		return correctionInterval
	default:
		return never
	}
}

func sameMachine(a, b consensus.Member) bool {
	return a.Node == b.Node && a.Zone == b.Zone && a.Address == b.Address
}

// joinTargets are the processes to ask: those named by the options, and those that were heard last.
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

// takeJoin takes another process's wish, or passes it on to the leader.
func (e *Engine) takeJoin(join *Join) {
	g := e.byID[join.Group]
	if g == nil || join.Member.ID == consensus.None || join.Member.ID == e.self.ID {
		return
	}
	if g.leadingTerm != 0 {
		e.peers.learn([]consensus.Member{join.Member}, e.now)
		g.joiners[join.Member.ID] = joiner{member: join.Member, at: e.now}
		e.manage = e.now
		return
	}
	leader := e.LeaderAddress(join.Group)
	if join.Forwarded || leader == "" || leader == e.self.Address || leader == join.Member.Address {
		return
	}
	e.outbox.join(leader, Join{Group: join.Group, Member: join.Member, Forwarded: true})
}

// reviewMembership makes the next change of the membership, if one is due.
func (g *group) reviewMembership() {
	status := g.node.Status()
	if g.leadingTerm == 0 {
		return
	}
	g.followMembers(status.Members)
	if status.ChangePending || status.Transferee != consensus.None || g.engine.shifts.resigning {
		return
	}
	plan := planMembership(g.membershipView(status.Members))
	if plan.members == nil {
		return
	}
	if err := g.node.ProposeMembers(g.engine.now, plan.members); err != nil {
		return // the next look finds this change again
	}
	_ = level.Info(g.engine.options.Logger).Log("msg", "membership changes", "group", g.id, "change", plan.reason)
}

// membershipView is what the plan is made from.
func (g *group) membershipView(members []consensus.Member) membershipView {
	view := membershipView{self: g.engine.self}
	for _, member := range members {
		view.members = append(view.members, g.memberView(member))
	}
	now := g.engine.now
	for id, j := range g.joiners {
		granted := slices.ContainsFunc(members, func(m consensus.Member) bool { return m.ID == id && sameMachine(m, j.member) })
		if granted || now-j.at > joinerLifetime {
			delete(g.joiners, id) // a wish that was granted must not bring a member back that is dropped later
			continue
		}
		view.joiners = append(view.joiners, j.member)
	}
	slices.SortFunc(view.joiners, func(a, b consensus.Member) int { return cmp.Compare(a.ID, b.ID) })
	return view
}

// memberView is what this leader knows of one member.
func (g *group) memberView(member consensus.Member) memberView {
	now := g.engine.now
	_, answeredAt, _ := g.node.Lag(member.ID)
	known := g.engine.peers.get(member.ID)
	reachedAt := g.node.ReachedAt(member.ID)
	if member.ID == g.engine.self.ID {
		reachedAt = now // nobody else is where this process is
	}
	unreached := unknownAge
	if reachedAt > 0 {
		unreached = now - reachedAt
	}
	return memberView{
		Member:    member,
		age:       g.ageOf(member.ID),
		silent:    now - answeredAt,
		unheard:   g.engine.peers.unheard(member.ID, now),
		leaving:   !g.engine.peers.willing(member.ID, now),
		location:  cmp.Or(g.engine.peers.address(member.ID), member.Address),
		movedAt:   known.movedAt,
		heardAt:   known.heardAt,
		reachedAt: reachedAt,
		unreached: unreached,
	}
}
