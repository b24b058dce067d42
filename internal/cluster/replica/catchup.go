package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// catchUp measures how closely a member's disk follows what is committed (Raft thesis, section 4.2.1). It works in
// rounds: a round is complete once the disk has all that was committed at its start. So a member that keeps up is seen
// to do so even under a load that commits something new before each of its acknowledgements arrives.
type catchUp struct {
	target         uint64 // commit index at the start of the present round; 0: no round yet
	roundStartedAt time.Duration
	caughtUpAt     time.Duration // the disk had all that was committed by this time
	completed      bool          // at least one round is
}

// observe records the newest index on the member's disk, and the commit index.
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

// age returns how long ago the newest time is by which the disk is known to have had all that was committed.
func (c *catchUp) age(now time.Duration) time.Duration {
	if !c.completed {
		return unknownDuration
	}
	return now - c.caughtUpAt
}

// updateCatchUps records how far the members' disks reach.
func (g *group) updateCatchUps(members []consensus.Member) {
	status := g.node.Status()
	for _, member := range members {
		behind, _, known := g.node.Lag(member.ID)
		if !known {
			continue
		}
		followed := g.catchUps[member.ID]
		if followed == nil {
			followed = &catchUp{}
			g.catchUps[member.ID] = followed
		}
		followed.observe(status.LastIndex-behind, status.Commit, g.engine.now)
	}
}

// replicationAge returns the age of a member's catchUp, or unknownDuration.
func (g *group) replicationAge(id consensus.MemberID) time.Duration {
	if followed := g.catchUps[id]; followed != nil {
		return followed.age(g.engine.now)
	}
	return unknownDuration
}

// awaitsLearner reports whether a message is an acknowledgement by a learner, which may have caught up with it.
func (g *group) awaitsLearner(message *consensus.Message) bool {
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
