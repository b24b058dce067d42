package consensus

import "time"

// progressState selects how a leader replicates its log to a member.
type progressState uint8

const (
	progressProbe     progressState = iota // finds out where the logs agree, with one append at a time
	progressReplicate                      // sends appends without waiting for responses, up to the window
	progressSnapshot                       // the next entry is compacted: the member needs a snapshot, or one is being sent
)

// progress is the replication state of another member at a leader.
type progress struct {
	id      MemberID
	votesIn configSet
	state   progressState

	match    uint64 // last index known to be on the member's disk
	next     uint64 // index of the next entry to send
	lastSent uint64 // last index that the newest append covers

	probeSent bool     // a probe was sent and its response has not arrived
	inflight  []uint64 // last index of each unacknowledged append, oldest first; its length is the used window

	appendSentAt   time.Duration // when the newest append with entries, or probe, was sent
	ackRequestedAt time.Duration // when the newest append was sent, or match last advanced if that was later
	lastContact    time.Duration // when the newest response arrived, or when this progress was created
	hasResponded   bool          // the member has responded in this term
	confirmedAt    time.Duration // newest SentAt to which the member has responded in this term

	outgoing   *outgoingSnapshot // snapshot that is being sent; nil: none
	chunkBytes int               // size in bytes of the next chunk of a snapshot; 0: none was sent yet
}

// isVoter reports whether the member votes in the outgoing or the incoming configuration.
func (p *progress) isVoter() bool {
	return p.votesIn != 0
}

// mayLead reports whether the leadership may be transferred to the member: it votes, and it still votes after a joint change
// that is under way.
func (p *progress) mayLead() bool {
	return p.votesIn&incomingConfig != 0
}

// recordContact records a response, received now, to a message that this leader sent at sentAt.
func (p *progress) recordContact(now, sentAt time.Duration) {
	p.lastContact = now
	p.hasResponded = true
	p.confirmedAt = max(p.confirmedAt, sentAt)
}

// becomeProbe begins to probe where the logs agree. The first append begins with the entry at next.
func (p *progress) becomeProbe(next uint64) {
	p.state = progressProbe
	p.next = next
	p.clearWindow()
}

// becomeSnapshot stops sending appends until the member has a snapshot.
func (p *progress) becomeSnapshot() {
	p.state = progressSnapshot
	p.clearWindow()
}

// becomeReplicate begins to send appends without waiting for responses, from the entry after match on.
func (p *progress) becomeReplicate() {
	p.state = progressReplicate
	p.next = p.match + 1
	p.lastSent = p.match
	p.outgoing = nil
	p.clearWindow()
}

// clearWindow forgets all unacknowledged appends and probes.
func (p *progress) clearWindow() {
	p.probeSent = false
	p.inflight = p.inflight[:0]
}

// advanceMatch records that the entries up to an index are on the member's disk, and removes the appends that this
// acknowledges from the window.
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
