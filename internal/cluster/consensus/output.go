package consensus

// Output is what a Node wants done. The package comment states the order: Snapshot, HardState and Entries go to the disk;
// once they and those of all earlier Outputs are on it, Deferred is sent and Persisted is called. Immediate and Committed
// need not wait. The slices must not be modified.
type Output struct {
	HardState *HardState // nil: unchanged
	Snapshot  *Snapshot  // nil: none; replaces the log and the state machine
	Entries   []Entry    // to append to the log, replacing what it has at the same and all higher indexes
	Immediate []Message  // promise nothing: may be sent at once
	Deferred  []Message  // promise what is written: sent only after this Output and all earlier ones are on disk
	Committed []Entry    // to apply, in order and after Snapshot
}

// pendingOutput collects what the next Output will return, besides entries.
type pendingOutput struct {
	hardStateChanged bool // term or vote
	snapshot         *Snapshot
	immediate        []Message
	deferred         []Message
}

// send queues a message that promises nothing about the disk.
func (n *Node) send(message Message) {
	n.pending.immediate = append(n.pending.immediate, n.withHeader(message))
}

// sendDeferred queues a message that must not be sent before all output up to now is on disk.
func (n *Node) sendDeferred(message Message) {
	n.pending.deferred = append(n.pending.deferred, n.withHeader(message))
}

// withHeader fills in the fields that all messages have. A Term that is already set (of a pre-vote) stays.
func (n *Node) withHeader(message Message) Message {
	message.Group = n.config.Group
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	return message
}

// HasOutput reports whether there is anything for Output to return.
func (n *Node) HasOutput() bool {
	pending := &n.pending
	return pending.hardStateChanged || pending.snapshot != nil || len(pending.immediate) > 0 || len(pending.deferred) > 0 ||
		n.log.lastOutput < n.log.last() || n.applied < n.commit || n.leadership.appendsDue
}

// Output returns what is to be done since the last call. Nothing is returned twice.
func (n *Node) Output() Output {
	n.sendDueAppends()
	output := Output{
		Snapshot:  n.pending.snapshot,
		Entries:   n.log.between(n.log.lastOutput, n.log.last()),
		Immediate: n.pending.immediate,
		Deferred:  n.pending.deferred,
		Committed: n.log.between(n.applied, n.commit),
	}
	if n.pending.hardStateChanged {
		output.HardState = &HardState{Term: n.term, Vote: n.vote, Commit: n.commit}
	}
	n.pending = pendingOutput{}
	n.log.lastOutput = n.log.last()
	n.applied = n.commit
	return output
}
