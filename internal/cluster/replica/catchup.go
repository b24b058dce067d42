package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// catchUp measures how far a member's disk is behind the commit index, as a time (Raft thesis, section 4.2.1). It works in
// rounds:
//  1. A round starts with the current commit index as its target.
//  2. The round is complete once the member has acknowledged the target. Then the disk has all entries that were committed
//     at the start of the round, and the next round starts.
//
// Under constant load the commit index always advances before the member acknowledges it. Rounds still show that the member
// keeps up.
//
// Invariant: if completed is set, the member's disk has all entries that were committed at the time caughtUpAt.
type catchUp struct {
	target         uint64 // commit index at the start of the current round; 0 if no round has started
	roundStartedAt time.Duration
	caughtUpAt     time.Duration
	completed      bool // a round was completed, or the member has had all committed entries
}

// observe updates the round. match is the newest index that the member has acknowledged, commit is the commit index.
func (c *catchUp) observe(match, commit uint64, now time.Duration) {
	started := c.target > 0
	switch {
	case match >= commit:
		c.caughtUpAt, c.completed = now, true
	case started && match >= c.target:
		c.caughtUpAt, c.completed = c.roundStartedAt, true
	case started:
		return
	}
	c.target, c.roundStartedAt = commit, now
}

// age returns the time since caughtUpAt, or unknownDuration if no round was completed. Every entry that was committed
// longer ago than this is on the member's disk.
func (c *catchUp) age(now time.Duration) time.Duration {
	if !c.completed {
		return unknownDuration
	}
	return now - c.caughtUpAt
}

// updateCatchUps updates the catchUp of each member. Only the leader knows which entries members have acknowledged.
func (g *group) updateCatchUps(members []consensus.Member) {
	status := g.node.Status()
	for _, member := range members {
		behind, _, known := g.node.Lag(member.ID)
		if !known {
			continue
		}
		measured := g.catchUps[member.ID]
		if measured == nil {
			measured = &catchUp{}
			g.catchUps[member.ID] = measured
		}
		measured.observe(status.LastIndex-behind, status.Commit, g.engine.now)
	}
}

// replicationAge returns the age of a member's catchUp, or unknownDuration if the member has none.
func (g *group) replicationAge(id consensus.MemberID) time.Duration {
	if measured := g.catchUps[id]; measured != nil {
		return measured.age(g.engine.now)
	}
	return unknownDuration
}

// isLearnerResponse reports whether this member leads and a message is a learner's response to an append.
func (g *group) isLearnerResponse(message *consensus.Message) bool {
	if g.leadingTerm == 0 || message.Kind != consensus.MessageAppendResponse {
		return false
	}
	for _, member := range g.node.Status().Members {
		if member.ID == message.From {
			return member.Learner
		}
	}
	return false
}
