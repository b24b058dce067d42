package consensus

// pendingOutput is what waits to be handed out.
type pendingOutput struct {
	hardState bool // term or vote changed
	snapshot  *Snapshot
	immediate []Message
	deferred  []Message
}

// send queues a message that promises nothing.
func (n *Node) send(message Message) {
	n.pending.immediate = append(n.pending.immediate, n.stamped(message))
}

// sendDeferred queues a message that leaves once everything handed out so far is on disk.
func (n *Node) sendDeferred(message Message) {
	n.pending.deferred = append(n.pending.deferred, n.stamped(message))
}

// stamped fills in what all messages share.
func (n *Node) stamped(message Message) Message {
	message.Group = n.config.Group
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	return message
}

// HasOutput tells whether Output would hold anything.
func (n *Node) HasOutput() bool {
	pending := &n.pending
	return pending.hardState || pending.snapshot != nil || len(pending.immediate) > 0 || len(pending.deferred) > 0 ||
		n.log.handed < n.log.last() || n.applied < n.commit || n.leadership.appendsDue
}

// Output hands out what is to be done, once.
func (n *Node) Output() Output {
	n.sendDueAppends()
	output := Output{
		Snapshot:  n.pending.snapshot,
		Entries:   n.log.between(n.log.handed, n.log.last()),
		Immediate: n.pending.immediate,
		Deferred:  n.pending.deferred,
		Committed: n.log.between(n.applied, n.commit),
	}
	if n.pending.hardState {
		output.HardState = &HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	}
	n.pending = pendingOutput{}
	n.log.handed = n.log.last()
	n.applied = n.commit
	return output
}
