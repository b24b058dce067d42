package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/failure"
)

const (
	// confirmPatience is how long a confirmation is waited for.
	confirmPatience = time.Second
	// maxUnwritten bounds, in bytes, what may wait for the disk before proposals are refused.
	maxUnwritten = 8 << 20
)

// proposal is a command that was proposed here and has not come out yet.
type proposal struct {
	index, term uint64
	done        func(result any, err error)
}

// confirmation waits for a quorum's answer to a round of heartbeats that left after it was asked for. Rounds carry the
// time of the turn that sends them, turns have rising times, and what a turn sends leaves at its end, after all that the
// turn has taken: so a round with askedAt's time or a later one has left after the asking.
type confirmation struct {
	askedAt time.Duration
	done    func(err error)
}

// Propose proposes a command. done is called on the loop exactly once: with the result of Apply; or with failure.NotLeader
// or failure.Unavailable if certainly nothing was or will be done; or with failure.UnknownOutcome if leadership was lost
// with the command in doubt. The data is the engine's from then on.
func (e *Engine) Propose(id GroupID, data []byte, done func(result any, err error)) {
	g := e.byID[id]
	if g == nil || g.leadingTerm == 0 {
		done(nil, e.notLeader(id))
		return
	}
	if e.writer.unwritten() > maxUnwritten {
		done(nil, failure.New(failure.Unavailable, "the disk is behind"))
		return
	}
	index, term, err := g.node.Propose(e.now, data)
	if err != nil {
		done(nil, e.notLeader(id))
		return
	}
	g.proposals = append(g.proposals, proposal{index: index, term: term, done: done})
}

// ConfirmLeadership asks for a confirmation that this process still leads the group. done is called on the loop exactly once: with
// nil once a quorum has answered a round that was asked for after this call, and with failure.NotLeader otherwise, after
// about a second at the latest.
func (e *Engine) ConfirmLeadership(id GroupID, done func(err error)) {
	g := e.byID[id]
	if g == nil || g.leadingTerm == 0 {
		done(e.notLeader(id))
		return
	}
	g.node.ConfirmLeadership(e.now)
	g.confirms = append(g.confirms, confirmation{askedAt: e.now, done: done})
}

// notLeader names the leader as far as known.
func (e *Engine) notLeader(id GroupID) error {
	leader := e.LeaderAddress(id)
	if leader == e.self.Address {
		leader = "" // it is not ready, or is giving its leadership away
	}
	return &failure.Error{Kind: failure.NotLeader, Message: "this process does not own the group", Leader: leader}
}

// settleProposal answers the proposer of a committed entry if it is here.
func (g *group) settleProposal(entry *consensus.Entry, result any) {
	if len(g.proposals) == 0 || g.proposals[0].index != entry.Index {
		return
	}
	first := g.proposals[0]
	g.proposals[0] = proposal{}
	g.proposals = g.proposals[1:]
	if first.term != entry.Term {
		first.done(nil, g.engine.notLeader(g.id)) // another entry stands in its place for ever
		return
	}
	first.done(result, nil)
}

func (g *group) failProposals() {
	proposals := g.proposals
	g.proposals = nil
	for _, p := range proposals {
		p.done(nil, failure.New(failure.UnknownOutcome, "leadership was lost"))
	}
}

// settleConfirms answers the confirmations that have come, and those that have not come in time.
func (g *group) settleConfirms() {
	if len(g.confirms) == 0 {
		return
	}
	confirmedAt := g.node.Status().ConfirmedAt
	settled := 0
	for settled < len(g.confirms) {
		c := &g.confirms[settled]
		if confirmedAt < c.askedAt && g.engine.now-c.askedAt < confirmPatience {
			break
		}
		settled++
	}
	ready := g.confirms[:settled:settled]
	g.confirms = g.confirms[settled:]
	for _, c := range ready {
		if confirmedAt >= c.askedAt {
			c.done(nil)
		} else {
			c.done(g.engine.notLeader(g.id))
		}
	}
}

// confirmDeadline is when the oldest confirmation is given up.
func (g *group) confirmDeadline() time.Duration {
	if len(g.confirms) == 0 {
		return never
	}
	return g.confirms[0].askedAt + confirmPatience
}

func (g *group) failConfirms() {
	confirms := g.confirms
	g.confirms = nil
	for _, c := range confirms {
		c.done(g.engine.notLeader(g.id))
	}
}
