package replica

import (
	"time"

	"ospreypond/internal/cluster/consensus"
)

// catchUp tells how well a member's disk follows what is committed. It goes in rounds: a round is over once the disk holds
// all that was committed at its start. So a member that follows steadily is seen to do so also under a load under which
// something new is committed whenever an acknowledgement comes.
type catchUp struct {
	target    uint64 // what was committed at the round's start
	begunAt   time.Duration
	heldAt    time.Duration // start of the newest round that is over
	completed bool          // one is over
}

// look takes how far a disk reaches, and what is committed.
func (c *catchUp) look(match, commit uint64, now time.Duration) {
	started := c.target > 0
	switch {
	case match >= commit:
		c.heldAt, c.completed = now, true
	case started && match >= c.target:
		c.heldAt, c.completed = c.begunAt, true
	case started:
		return
	}
	c.target, c.begunAt = commit, now
}

// age is how long ago the newest moment is of which the disk is known to hold all that was committed.
func (c *catchUp) age(now time.Duration) time.Duration {
	if !c.completed {
		return unknownAge
	}
	return now - c.heldAt
}

// followMembers looks how far the members' disks reach.
func (g *group) followMembers(members []consensus.Member) {
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
		followed.look(status.LastIndex-behind, status.Commit, g.engine.now)
	}
}

// ageOf is how long ago a member's disk held all that was committed then.
func (g *group) ageOf(id consensus.MemberID) time.Duration {
	if followed := g.catchUps[id]; followed != nil {
		return followed.age(g.engine.now)
	}
	return unknownAge
}

// awaitsLearner tells whether a message may make a learner a voter.
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
