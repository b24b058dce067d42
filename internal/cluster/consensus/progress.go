package consensus

import "time"

// progressState is how a leader replicates to a member.
type progressState uint8

const (
	progressProbe     progressState = iota // finding out where the logs agree, with one append at a time
	progressReplicate                      // sending appends without waiting for responses
	progressSnapshot                       // the next entry is compacted: a snapshot is needed or being sent
)

// progress is what a leader knows of another member.
type progress struct {
	id      MemberID
	votesIn configSet
	state   progressState

	match    uint64 // last index known to be on the member's disk
	next     uint64 // index of the next entry to send
	lastSent uint64 // last index that the member has once it has handled the newest append

	probeSent bool     // the response to a probe is outstanding
	inflight  []uint64 // last indexes of unacknowledged appends, oldest first

	appendSentAt   time.Duration // of the newest append
	ackRequestedAt time.Duration // of the newest append or response that advanced match
	lastContact    time.Duration // newest response, or when the member began to be tracked
	active         bool          // has responded in this term
	confirmedAt    time.Duration // newest SentAt to which the member has responded in this term

	outgoing   *outgoingSnapshot // nil: no snapshot is being sent
	chunkBytes int               // size of the next chunk of a snapshot; 0: none was sent yet
}

// isVoter reports whether the member votes in any configuration.
func (p *progress) isVoter() bool {
	return p.votesIn != 0
}

// mayLead reports whether a leadership may be transferred to the member: it votes, and goes on voting after a change of the
// membership that is under way.
func (p *progress) mayLead() bool {
	return p.votesIn&incomingConfig != 0
}

// recordContact records a response to a message that was sent at sentAt.
func (p *progress) recordContact(now, sentAt time.Duration) {
	p.lastContact = now
	p.active = true
	p.confirmedAt = max(p.confirmedAt, sentAt)
}

// becomeProbe begins to find out where the logs agree, from the entry at next on.
func (p *progress) becomeProbe(next uint64) {
	p.state = progressProbe
	p.next = next
	p.clearWindow()
}

// becomeSnapshot stops appends until the member has a snapshot.
func (p *progress) becomeSnapshot() {
	p.state = progressSnapshot
	p.clearWindow()
}

// becomeReplicate sends appends without waiting, from the last entry on the member's disk on.
func (p *progress) becomeReplicate() {
	p.state = progressReplicate
	p.next = p.match + 1
	p.lastSent = p.match
	p.outgoing = nil
	p.clearWindow()
}

// clearWindow waits for no response to earlier appends any more.
func (p *progress) clearWindow() {
	p.probeSent = false
	p.inflight = p.inflight[:0]
}

// advanceMatch records that the entries up to an index are on the member's disk.
func (p *progress) advanceMatch(index uint64, now time.Duration) {
	if index > p.match {
		p.match = index
		p.ackRequestedAt = now
	}
	p.next = max(p.next, p.match+1)
	acknowledged := 0
	for acknowledged < len(p.inflight) && p.inflight[acknowledged] <= p.match {
		acknowledged++
	}
	p.inflight = p.inflight[:copy(p.inflight, p.inflight[acknowledged:])]
}

// canSendAppend reports whether the window allows another append.
func (p *progress) canSendAppend(maxInflight int) bool {
	switch p.state {
	case progressProbe:
		return !p.probeSent
	case progressReplicate:
		return len(p.inflight) < maxInflight
	default:
		return false
	}
}
