package consensus

import (
	"slices"
	"time"

	. "github.com/onsi/gomega"
)

// The timing of the members of scripted groups.
const (
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = time.Second
)

// testMember is a member of a scripted group. Its disk syncs every write at once, unless the test pauses it.
type testMember struct {
	*Node
	diskPaused bool      // the disk does not sync
	unsynced   []Output  // outputs that wait for the disk, oldest first
	committed  []Entry   // all entries that were output as committed
	installed  *Snapshot // newest snapshot that was output; nil: none
}

// group is a group in a scripted test. Its members share one clock, which the test advances. Messages arrive at once and in
// the order in which they were sent, except for messages that the test drops.
type group struct {
	now          time.Duration
	members      []*testMember
	inTransit    []Message
	drop         func(Message) bool // reports whether a message is lost; nil: none is
	sentMessages []Message          // all messages since the last clearSent, dropped or not
}

// memberList returns voters with these IDs.
func memberList(ids ...MemberID) []Member {
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id})
	}
	return members
}

// learner returns a learner with this ID.
func learner(id MemberID) Member {
	return Member{ID: id, Learner: true}
}

// newGroup starts a new group with these initial members, at time.Minute.
func newGroup(members ...Member) *group {
	g := &group{now: time.Minute}
	for _, member := range members {
		g.add(member.ID, Restored{Snapshot: &Snapshot{Members: members}})
	}
	return g
}

// add starts one more member from the state of its disk.
func (g *group) add(id MemberID, restored Restored) *testMember {
	config := Config{ID: id, Seed: 1, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, MaxAppendBytes: 100,
		MaxInflight: 2, SnapshotChunkBytes: 10}
	member := &testMember{Node: New(config, restored, g.now)}
	g.members = append(g.members, member)
	return member
}

// member returns the member with an ID, or nil if there is none.
func (g *group) member(id MemberID) *testMember {
	for _, member := range g.members {
		if member.config.ID == id {
			return member
		}
	}
	return nil
}

// processOutput carries out a member's output, except for the part that waits for a paused disk.
func (g *group) processOutput(member *testMember) {
	for member.HasOutput() {
		output := member.Output()
		g.send(output.Immediate)
		member.committed = append(member.committed, output.Committed...)
		if output.Snapshot != nil {
			member.installed = output.Snapshot
		}
		member.unsynced = append(member.unsynced, output)
		if !member.diskPaused {
			g.syncDisk(member)
		}
	}
}

// syncDisk syncs all outputs that wait for a member's disk, and sends the messages that wait for it.
func (g *group) syncDisk(member *testMember) {
	outputs := member.unsynced
	member.unsynced = nil
	for _, output := range outputs {
		if count := len(output.Entries); count > 0 {
			last := output.Entries[count-1]
			member.Persisted(g.now, last.Index, last.Term)
		}
		g.send(output.Deferred)
	}
}

// send sends the messages that the test doesn't drop.
func (g *group) send(messages []Message) {
	for _, message := range messages {
		g.sentMessages = append(g.sentMessages, message)
		if g.drop == nil || !g.drop(message) {
			g.inTransit = append(g.inTransit, message)
		}
	}
}

// deliverAll carries out the output of all members and delivers their messages, until none are left.
func (g *group) deliverAll() {
	for {
		for _, member := range g.members {
			g.processOutput(member)
		}
		if len(g.inTransit) == 0 {
			return
		}
		next := g.inTransit[0]
		g.inTransit = g.inTransit[1:]
		if member := g.member(next.To); member != nil {
			member.Step(next, g.now)
		}
	}
}

// elapse advances the clock in steps of 10 ms. In each step all members tick and all messages are delivered.
func (g *group) elapse(duration time.Duration) {
	end := g.now + duration
	for g.now < end {
		g.now += 10 * time.Millisecond
		for _, member := range g.members {
			member.Tick(g.now)
		}
		g.deliverAll()
	}
}

// elapseWithDelay advances the clock as elapse does, but messages from and to one member arrive after a delay.
func (g *group) elapseWithDelay(id MemberID, delay, duration time.Duration) {
	type delayedMessage struct {
		message Message
		due     time.Duration
	}
	var delayed []delayedMessage
	affected := fromOrTo(id)
	g.drop = func(message Message) bool {
		if affected(message) {
			delayed = append(delayed, delayedMessage{message: message, due: g.now + delay})
		}
		return affected(message)
	}
	for end := g.now + duration; g.now < end; {
		g.elapse(10 * time.Millisecond)
		for len(delayed) > 0 && delayed[0].due <= g.now {
			g.inTransit = append(g.inTransit, delayed[0].message)
			delayed = delayed[1:]
		}
		g.deliverAll()
	}
	g.drop = nil
}

// elect lets the election timeout of a member expire, and expects that the member is a ready leader afterwards.
func (g *group) elect(id MemberID) *testMember {
	member := g.member(id)
	g.now = max(g.now, member.electionDeadline)
	for _, other := range g.members {
		other.advanceClock(g.now)
	}
	member.Tick(g.now)
	g.deliverAll()
	Expect(member.Status().Ready).To(BeTrue(), "member %d is a ready leader", id)
	return member
}

// restart restarts a member from a snapshot and its log, with its term and vote. It assumes that the log, term and vote are
// synced: a test that paused the disk must drop unsynced entries first.
func (g *group) restart(id MemberID, snapshot *Snapshot) *testMember {
	old := g.member(id)
	restored := Restored{HardState: HardState{Term: old.term, Vote: old.vote}, Snapshot: snapshot, Entries: old.log.entries}
	g.members = slices.DeleteFunc(g.members, func(member *testMember) bool { return member == old })
	return g.add(id, restored)
}

// expireLeaderContacts makes all members consider their leader failed, so that they grant votes.
func (g *group) expireLeaderContacts() {
	for _, member := range g.members {
		member.lastLeaderContact = 0
	}
}

// runElection lets the election timeout of a member expire, and delivers the messages that follow.
func (g *group) runElection(member *testMember) {
	g.now = max(g.now, member.electionDeadline)
	member.Tick(g.now)
	g.deliverAll()
}

// countReady returns how many of these members are leaders that are ready.
func (g *group) countReady(ids ...MemberID) int {
	count := 0
	for _, id := range ids {
		if g.member(id).Status().Ready {
			count++
		}
	}
	return count
}

// propose proposes a command to a leader and returns the index of its entry.
func (g *group) propose(leader *testMember, data string) uint64 {
	index, _, err := leader.Propose(g.now, []byte(data))
	Expect(err).NotTo(HaveOccurred())
	return index
}

// countSent returns how many messages of a kind were sent since the last clearSent, dropped or not.
func (g *group) countSent(kind MessageKind) int {
	count := 0
	for _, message := range g.sentMessages {
		if message.Kind == kind {
			count++
		}
	}
	return count
}

// lastSent returns the newest message of a kind that was sent to a member since the last clearSent, or the zero message.
func (g *group) lastSent(kind MessageKind, to MemberID) Message {
	for position := len(g.sentMessages) - 1; position >= 0; position-- {
		if message := g.sentMessages[position]; message.Kind == kind && message.To == to {
			return message
		}
	}
	return Message{}
}

// clearSent empties sentMessages.
func (g *group) clearSent() {
	g.sentMessages = nil
}

// fromOrTo matches all messages from and to a member. As group.drop it isolates the member.
func fromOrTo(id MemberID) func(Message) bool {
	return func(message Message) bool { return message.From == id || message.To == id }
}

// allExcept matches all messages but those from one member to some others.
func allExcept(from MemberID, to ...MemberID) func(Message) bool {
	return func(message Message) bool { return message.From != from || !slices.Contains(to, message.To) }
}

// from matches all messages from these members.
func from(ids ...MemberID) func(Message) bool {
	return func(message Message) bool { return slices.Contains(ids, message.From) }
}

// ofKind matches all messages of a kind.
func ofKind(kind MessageKind) func(Message) bool {
	return func(message Message) bool { return message.Kind == kind }
}

// commandsOf returns the data of each command among entries.
func commandsOf(entries []Entry) []string {
	var found []string
	for _, entry := range entries {
		if entry.Kind == EntryCommand {
			found = append(found, string(entry.Data))
		}
	}
	return found
}

// entriesOf returns entries without data, one for each term. Their indexes are consecutive, beginning at first.
func entriesOf(first uint64, terms ...uint64) []Entry {
	var entries []Entry
	for position, term := range terms {
		entries = append(entries, Entry{Index: first + uint64(position), Term: term})
	}
	return entries
}
