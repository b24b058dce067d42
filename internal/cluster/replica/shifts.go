package replica

import (
	"math"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/consensus"
)

const (
	steadyEnough   = 5 * time.Second         // for how long a preferred leader must have been heard
	groupShift     = 10 * time.Second        // between two moves of one group's leadership for spread
	engineShift    = time.Second             // between two moves for spread of any group
	handOverPeriod = 1500 * time.Millisecond // between two tries to give a leadership away because the disk is sick
	resignPeriod   = 500 * time.Millisecond  // the same before the end, when there is no time to lose
	leadableLag    = 64                      // entries that a member may lack to which a leadership moves for spread
	resignPatience = 1500 * time.Millisecond // how long Resign waits
)

// shifts is how leaderships move by plan.
type shifts struct {
	resigning   bool
	resignUntil time.Duration
	resigned    []func()
	spreadAt    time.Duration // when a leadership was last moved for spread
}

// Resign gives away all leaderships, each to the voter that lacks least, and stands again only where there long is no leader:
// this may be the only one with the newest entries. done is called on the loop once this process leads nothing, or after about 1.5 s.
func (e *Engine) Resign(done func()) {
	if !e.shifts.resigning {
		e.shifts.resigning = true
		e.shifts.resignUntil = e.now + resignPatience
		e.setCampaigns()
	}
	e.shifts.resigned = append(e.shifts.resigned, done)
	e.manage = e.now
}

// reluctant tells whether this process does not want to lead.
func (e *Engine) reluctant() bool { return e.shifts.resigning || e.writer.health.sick }

// handOver moves leaderships to other members where that is due.
func (e *Engine) handOver() {
	led := 0
	for _, g := range e.groups {
		if g.node.Status().IsLeader {
			led++
		}
	}
	if e.reluctant() {
		for _, g := range e.groups {
			g.giveAway()
		}
	} else {
		e.spread(led)
	}
	e.finishResigning(led)
}

func (e *Engine) finishResigning(led int) {
	if !e.shifts.resigning || len(e.shifts.resigned) == 0 {
		return
	}
	ready := led == 0
	if e.departure.begun {
		ready = e.depart(led)
	}
	if !ready && e.now < e.shifts.resignUntil {
		return
	}
	if !ready && e.departure.begun {
		e.warnOfLeaving()
	}
	waiting := e.shifts.resigned
	e.shifts.resigned = nil
	for _, done := range waiting {
		done()
	}
}

// giveAway offers the group's leadership to the voter that lacks least.
func (g *group) giveAway() {
	now := g.engine.now
	status := g.node.Status()
	period := handOverPeriod
	if g.engine.shifts.resigning {
		period = resignPeriod
	}
	tried := g.handedOverAt > 0 && now-g.handedOverAt < period
	if !status.IsLeader || status.Transferee != consensus.None || tried {
		return
	}
	successor := g.successor(status.Members)
	if successor == consensus.None {
		return
	}
	g.handedOverAt = now
	_ = g.node.TransferLeadership(now, successor)
}

// successor is the voter that is alive and willing and lacks least; None if there is none.
func (g *group) successor(members []consensus.Member) consensus.MemberID {
	successor, least := consensus.None, uint64(math.MaxUint64)
	for _, member := range members {
		if member.Learner || member.ID == g.engine.self.ID {
			continue
		}
		behind, heardAt, known := g.node.Lag(member.ID)
		if known && g.mayTake(member.ID, heardAt) && behind < least {
			successor, least = member.ID, behind
		}
	}
	return successor
}

// mayTake tells whether a member is alive and willing to lead.
func (g *group) mayTake(id consensus.MemberID, heardAt time.Duration) bool {
	e := g.engine
	silent := max(e.now-heardAt, e.peers.unheard(id, e.now))
	return silent < aliveSilence && e.peers.willing(id, e.now)
}

// spread moves one leadership to its group's preferred leader if this process leads more than its share.
func (e *Engine) spread(led int) {
	if e.now-e.shifts.spreadAt < engineShift {
		return
	}
	for _, g := range e.groups {
		if preferred := g.dueMove(led); preferred != consensus.None {
			e.shifts.spreadAt = e.now
			g.handedOverAt = e.now
			_ = level.Info(e.options.Logger).Log("msg", "leadership moves to its preferred member", "group", g.id)
			_ = g.node.TransferLeadership(e.now, preferred)
			return
		}
	}
}

// dueMove is the member that should lead the group instead of this process, and can; or None.
func (g *group) dueMove(led int) consensus.MemberID {
	e := g.engine
	status := g.node.Status()
	recent := g.handedOverAt > 0 && e.now-g.handedOverAt < groupShift
	if g.leadingTerm == 0 || status.Transferee != consensus.None || recent {
		return consensus.None
	}
	voters := sortedVoters(status.Members)
	if len(voters) == 0 || led <= (len(e.groups)+len(voters)-1)/len(voters) {
		return consensus.None
	}
	preferred := voters[int(g.id)%len(voters)]
	behind, heardAt, known := g.node.Lag(preferred)
	ready := known && behind <= leadableLag && g.mayTake(preferred, heardAt)
	steady := e.peers.steady(preferred, e.now) >= steadyEnough
	if preferred == e.self.ID || !ready || !steady || g.keepsLeadership() {
		return consensus.None
	}
	return preferred
}

func (g *group) keepsLeadership() bool {
	keeper, ok := g.machine.(TransferDeferrer)
	return ok && keeper.DefersTransfer()
}

func sortedVoters(members []consensus.Member) []consensus.MemberID {
	var voters []consensus.MemberID
	for _, member := range members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	slices.Sort(voters)
	return voters
}
