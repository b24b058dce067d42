package replica

import (
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/failure"
)

// maxUnwrittenBytes bounds what may wait for the disk before proposals are refused.
const maxUnwrittenBytes = 8 << 20

// proposal is a command that was proposed by this process and is not committed yet.
type proposal struct {
	index, term uint64
	done        func(result any, err error)
}

// Propose proposes a command. done is called on the loop exactly once: with the result of Apply once the command is
// applied; with failure.NotLeader or failure.Unavailable if it certainly was not and will not be applied; with
// failure.UnknownOutcome if leadership was lost while it was in the log, so that it may be applied or not. The data
// belongs to the engine from then on.
func (e *Engine) Propose(id GroupID, data []byte, done func(result any, err error)) {
	g := e.byID[id]
	if g == nil || g.leadingTerm == 0 {
		done(nil, e.notLeader(id))
		return
	}
	if e.writer.unwrittenBytes() > maxUnwrittenBytes {
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

// notLeader returns a failure.NotLeader that names the leader if it is known.
func (e *Engine) notLeader(id GroupID) error {
	leader := e.LeaderAddress(id)
	if leader == e.self.Address {
		leader = "" // it is not ready yet, or its leadership is being transferred
	}
	return &failure.Error{Kind: failure.NotLeader, Message: "this process does not own the group", Leader: leader}
}

// resolveProposal passes the result of a committed entry to its proposer if that is in this process.
func (g *group) resolveProposal(entry *consensus.Entry, result any) {
	if len(g.proposals) == 0 || g.proposals[0].index != entry.Index {
		return
	}
	first := g.proposals[0]
	g.proposals[0] = proposal{}
	g.proposals = g.proposals[1:]
	if first.term != entry.Term {
		first.done(nil, g.engine.notLeader(g.id)) // another entry was committed at its index
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
