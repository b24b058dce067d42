package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// memberState is the state of a member and its disk.
type memberState struct {
	node         *Node
	disk         disk
	writes       []write // not on disk yet, oldest first
	applied      int     // number of entries that the member has applied
	fingerprints fingerprints
}

// fingerprints are two hashes of a part of a state: a plain hash, and a hash with the second and the third member exchanged.
// They are computed when they are first needed.
type fingerprints struct {
	known          bool // the hashes are computed
	plain, swapped uint64
}

// inFlightMessage is a message that was sent and is not delivered yet.
type inFlightMessage struct {
	Message
	fingerprints fingerprints
}

// groupState is one state of a complete group. It has no time: any member may campaign at any moment, and any message may
// arrive at any later moment or never. So partitions, delays and reordering need no steps.
type groupState struct {
	members   []memberState
	network   []inFlightMessage
	committed []uint64   // terms of all committed entries; the entry at index i is at position i-1
	leaders   []MemberID // leader of each term, by term; None: none yet
	// proposals and the four fields after it count the steps of the kinds that bounds limits.
	proposals int
	crashes   int
	losses    int
	removals  int
	transfers int
	successor bool      // see bounds
	violation string    // the first violation of an invariant; empty: none
	path      *pathStep // the steps that led to this state
}

// pathStep is the last step of the path to a state, linked to those before it.
type pathStep struct {
	previous *pathStep
	action   string
	member   MemberID
	message  Message // the message that was delivered; From is None if there was none
}

// String describes all steps of the path, one a line, beginning with the first.
func (t *pathStep) String() string {
	if t == nil {
		return ""
	}
	text := fmt.Sprintf("%v\n%s %d", t.previous, t.action, t.member)
	if t.message.From != None {
		text += fmt.Sprintf(": %+v", t.message)
	}
	return text
}

// frozenTime is the time of all inputs, so that no timeout or interval ends.
const frozenTime = time.Second

// exploreConfig returns a configuration with one entry in each append, so that the exploration covers every boundary between
// entries, and with timeouts that never expire.
func exploreConfig(id MemberID) Config {
	return Config{ID: id, HeartbeatInterval: time.Hour, ElectionTimeout: time.Hour, MaxAppendBytes: 1, MaxInflight: 1}
}

// initialState returns a new group of three voters. If limits.successor is true, a learner has the complete log and member 1
// leads. If limits.replaces is a voter, member 1 has proposed to replace it.
func initialState(limits bounds) *groupState {
	first := &groupState{leaders: make([]MemberID, limits.terms+1+recoveryTerms)}
	members := memberList(1, 2, 3)
	if limits.successor {
		members = append(members, learner(successorID))
	}
	for _, member := range members {
		stored := disk{snapshot: &Snapshot{Members: members}}
		first.members = append(first.members, memberState{disk: stored, node: startNode(member.ID, stored)})
	}
	if limits.successor {
		first.successor = true
		first.members[0].node.campaign(campaignTransfer)
		first.deliverAll()
	}
	if limits.replaces != None {
		position := slices.IndexFunc(members, func(member Member) bool { return member.ID == limits.replaces })
		first.violateOnError(first.members[0].node.ProposeMembers(frozenTime, replacedBySuccessor(members, position)))
		first.processOutput(0, limits.syncs)
	}
	return first
}

// startNode starts a member from the state on its disk.
func startNode(id MemberID, stored disk) *Node {
	restored := Restored{HardState: stored.hardState, Snapshot: stored.snapshot, Entries: stored.entries}
	return New(exploreConfig(id), restored, frozenTime)
}

// cloneNode returns a copy of a node. The two share only data that neither modifies.
func cloneNode(node *Node) *Node {
	copied := *node
	copied.random = rand.New(rand.NewPCG(1, 1))
	copied.log.entries = slices.Clip(node.log.entries)
	copied.memberships = slices.Clone(node.memberships)
	copied.votes.granted = slices.Clone(node.votes.granted)
	copied.leadership.peers = nil
	for _, peer := range node.leadership.peers {
		other := *peer
		other.inflight = slices.Clone(peer.inflight)
		copied.leadership.peers = append(copied.leadership.peers, &other)
	}
	return &copied
}

// clone returns a copy of a state. In the copy only the member at position changes may be modified; the other members share
// memory with the original. No node may have output.
func (s *groupState) clone(changes int) *groupState {
	copied := *s
	copied.members = slices.Clone(s.members)
	member := &copied.members[changes]
	member.node = cloneNode(member.node)
	member.writes = slices.Clip(member.writes)
	member.fingerprints = fingerprints{}
	copied.network = slices.Clone(s.network)
	copied.committed = slices.Clip(s.committed)
	copied.leaders = slices.Clone(s.leaders)
	return &copied
}

// violate records the first violation of an invariant.
func (s *groupState) violate(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// violateOnError records an error, if it is not nil, as a violation.
func (s *groupState) violateOnError(err error) {
	if err != nil {
		s.violate("%v", err)
	}
}

// processOutput carries out the output of the member at a position. Only with syncAtOnce does it sync the writes.
func (s *groupState) processOutput(index int, syncs syncMode) {
	member := &s.members[index]
	for member.node.HasOutput() {
		output := member.node.Output()
		s.transmit(output.Immediate)
		if needsWrite(output) {
			member.writes = append(member.writes, write{output: output})
		}
		s.applyCommitted(member, output.Committed)
		s.checkLeader(member)
		if syncs == syncAtOnce {
			s.sync(index)
		}
	}
}

// transmit adds messages to the network. It drops messages to lost members, and heartbeats: without time they have no effect
// that appends don't have.
func (s *groupState) transmit(messages []Message) {
	for _, message := range messages {
		if message.Kind == MessageHeartbeat || s.indexOf(message.To) < 0 {
			continue
		}
		s.network = append(s.network, inFlightMessage{Message: message})
	}
}

// indexOf returns the position of a member, or a negative number if its disk is lost.
func (s *groupState) indexOf(id MemberID) int {
	return slices.IndexFunc(s.members, func(member memberState) bool { return member.node.config.ID == id })
}

// applyCommitted checks state machine safety: all members apply the same entries in the same order.
func (s *groupState) applyCommitted(member *memberState, entries []Entry) {
	for _, entry := range entries {
		if int(entry.Index) != member.applied+1 {
			s.violate("member %d applies the entry at index %d after the one at index %d", member.node.config.ID, entry.Index, member.applied)
			return
		}
		member.applied++
		if member.applied > len(s.committed) {
			s.committed = append(s.committed, entry.Term)
		}
		if s.committed[entry.Index-1] != entry.Term {
			s.violate("two different entries are committed at index %d", entry.Index)
		}
	}
}

// checkLeader checks election safety and leader completeness: a term has one leader, which has all committed entries when it
// is elected.
func (s *groupState) checkLeader(member *memberState) {
	node := member.node
	if node.role != roleLeader {
		return
	}
	known := s.leaders[node.term]
	if known == node.config.ID {
		return
	}
	if known != None {
		s.violate("term %d has two leaders, members %d and %d", node.term, known, node.config.ID)
	}
	s.leaders[node.term] = node.config.ID
	for index, term := range s.committed {
		superseded := slices.ContainsFunc(s.leaders[node.term+1:], func(id MemberID) bool { return id != None })
		if !superseded && !node.log.matches(uint64(index+1), term) {
			s.violate("the leader of term %d lacks the committed entry at index %d", node.term, index+1)
		}
	}
}

// sync syncs all writes of the member at a position, and sends the messages that wait for them.
func (s *groupState) sync(index int) {
	member := &s.members[index]
	writes := member.writes
	member.writes = nil
	for _, item := range writes {
		member.disk.apply(item)
		s.transmit(item.output.Deferred)
	}
	entries := member.disk.entries
	if len(entries) > 0 {
		last := entries[len(entries)-1]
		member.node.Persisted(frozenTime, last.Index, last.Term)
	}
}
