package consensus

// Output contains the writes, messages and committed entries that the caller must process for a Node. The package comment
// states the order: write Snapshot, HardState and Entries to the disk. Once this and all earlier Outputs are on disk, send
// Deferred and call Persisted. Immediate and Committed need not wait for the disk. The caller must not modify the slices.
type Output struct {
	HardState *HardState // replaces the hard state on disk; nil: unchanged
	Snapshot  *Snapshot  // replaces the log and the state machine; nil: none
	Entries   []Entry    // to append to the log, replacing its entries at the same and all higher indexes
	Immediate []Message  // messages that depend on no write: may be sent at once
	Deferred  []Message  // messages that depend on writes: sent only once this and all earlier Outputs are on disk
	Committed []Entry    // to apply to the state machine, in order and after Snapshot
}

// pendingOutput collects the results of the next call of Output, except for entries.
type pendingOutput struct {
	hardStateChanged bool // the term or the vote changed
	snapshot         *Snapshot
	immediate        []Message
	deferred         []Message
}

// send queues a message that need not wait for the disk.
func (n *Node) send(message Message) {
	n.pending.immediate = append(n.pending.immediate, n.withHeader(message))
}

// sendDeferred queues a message that must not be sent before the next Output and all earlier ones are on disk.
func (n *Node) sendDeferred(message Message) {
	n.pending.deferred = append(n.pending.deferred, n.withHeader(message))
}

// withHeader sets the fields that all messages have. It keeps a Term that is already set, as in pre-votes.
func (n *Node) withHeader(message Message) Message {
	message.Group = n.config.Group
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	return message
}

// HasOutput reports whether Output has anything to return.
func (n *Node) HasOutput() bool {
	pending := &n.pending
	return pending.hardStateChanged || pending.snapshot != nil || len(pending.immediate) > 0 || len(pending.deferred) > 0 ||
		n.log.lastOutput < n.log.last() || n.applied < n.commit || n.leadership.appendsDue
}

// Output returns the writes, messages and committed entries that result from the inputs since the last call. It returns each
// of them only once, so the caller must carry out every Output.
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
