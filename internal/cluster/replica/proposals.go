package replica

import (
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/failure"
)

// maxUnwrittenBytes is how many bytes of batches may wait for the disk before proposals are refused, so that a slow disk
// does not fill the memory.
const maxUnwrittenBytes = 8 << 20

// proposal is a command that this process has proposed and that is not committed yet. index and term are the index and term
// of the command's entry.
type proposal struct {
	index, term uint64
	done        func(result any, err error)
}

// Propose proposes a command to a group that this process leads. The engine calls done on the loop exactly once:
//   - with the result of Apply, once the command is applied;
//   - with failure.NotLeader or failure.Unavailable, if the command certainly was not applied and will not be;
//   - with failure.UnknownOutcome, if leadership was lost while the command was in the log. It may be applied or not.
//
// The caller must not modify the data afterwards.
func (e *Engine) Propose(id GroupID, data []byte, done func(result any, err error)) {
	g := e.byID[id]
	if g == nil || g.leadingTerm == 0 {
		done(nil, e.notLeader(id))
		return
	}
	if e.writer.unwrittenBytes() > maxUnwrittenBytes {
		done(nil, failure.New(failure.Unavailable, "too many bytes of this process are waiting to be written to the disk"))
		return
	}
	index, term, err := g.node.Propose(e.now, data)
	if err != nil {
		done(nil, e.notLeader(id))
		return
	}
	g.proposals = append(g.proposals, proposal{index: index, term: term, done: done})
}

// notLeader returns a failure.NotLeader with the address of the group's leader, if that is known and another process.
func (e *Engine) notLeader(id GroupID) error {
	leader := e.LeaderAddress(id)
	if leader == e.self.Address {
		leader = "" // this leader is not ready yet, or is transferring its leadership
	}
	return &failure.Error{Kind: failure.NotLeader, Message: "this process does not own the group", Leader: leader}
}

// resolveProposal passes the result of a committed entry to its proposer, if this process has proposed it.
func (g *group) resolveProposal(entry *consensus.Entry, result any) {
	if len(g.proposals) == 0 || g.proposals[0].index != entry.Index {
		return
	}
	oldest := g.proposals[0]
	g.proposals[0] = proposal{}
	g.proposals = g.proposals[1:]
	if oldest.term != entry.Term {
		oldest.done(nil, g.engine.notLeader(g.id)) // an entry of another leader was committed at this index instead
		return
	}
	oldest.done(result, nil)
}

// failProposals fails all pending proposals with failure.UnknownOutcome.
func (g *group) failProposals() {
	proposals := g.proposals
	g.proposals = nil
	for _, p := range proposals {
		p.done(nil, failure.New(failure.UnknownOutcome, "leadership was lost before the command was committed"))
	}
}
