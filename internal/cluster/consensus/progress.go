package consensus

import "time"

// progressState tells how a leader feeds a member.
type progressState uint8

const (
	progressProbe     progressState = iota // looking for where the logs agree: one append at a time
	progressReplicate                      // appends follow each other without waiting
	progressSnapshot                       // what comes next is compacted away: a snapshot is needed
)

// progress is what a leader knows of another member.
type progress struct {
	id      MemberID
	votesIn configurations
	state   progressState

	match uint64 // last index known to be on its disk
	next  uint64 // index of the next entry to send
	sent  uint64 // last index that the newest append was to bring the log to

	waiting  bool     // a probe is out
	inflight []uint64 // last indexes of unanswered appends, oldest first

	appendSentAt time.Duration // the newest append
	ackAskedAt   time.Duration // the newest append or answer that moved match
	heardAt      time.Duration // the newest answer, or the start of the term
	active       bool          // has answered in this term
	confirmedAt  time.Duration // newest SentAt it has answered in this term

	transfer   *outgoingSnapshot
	pieceBytes int // how much of a snapshot one message to it carries; 0: none was sent yet
}

// votes tells whether the member votes, be it in one configuration only.
func (p *progress) votes() bool {
	return p.votesIn != 0
}

// heard notes an answer.
func (p *progress) heard(now, sentAt time.Duration) {
	p.heardAt = now
	p.active = true
	p.confirmedAt = max(p.confirmedAt, sentAt)
}

// probe starts looking for where the logs agree.
func (p *progress) probe(next uint64) {
	p.state = progressProbe
	p.next = next
	p.waiting = false
	p.inflight = p.inflight[:0]
}

// needSnapshot stops appends until a snapshot is over there.
func (p *progress) needSnapshot() {
	p.state = progressSnapshot
	p.waiting = false
	p.inflight = p.inflight[:0]
}

// matched notes that entries up to an index are on its disk.
func (p *progress) matched(index uint64, now time.Duration) {
	if index > p.match {
		p.match = index
		p.ackAskedAt = now
	}
	p.next = max(p.next, p.match+1)
	answered := 0
	for answered < len(p.inflight) && p.inflight[answered] <= p.match {
		answered++
	}
	p.inflight = p.inflight[:copy(p.inflight, p.inflight[answered:])]
}

// replicate goes over to appends without waiting.
func (p *progress) replicate() {
	p.state = progressReplicate
	p.next = p.match + 1
	p.sent = p.match
	p.waiting = false
	p.inflight = p.inflight[:0]
	p.transfer = nil
}

// mayAppend tells whether one more append may leave.
func (p *progress) mayAppend(maxInflight int) bool {
	switch p.state {
	case progressProbe:
		return !p.waiting
	case progressReplicate:
		return len(p.inflight) < maxInflight
	default:
		return false
	}
}
