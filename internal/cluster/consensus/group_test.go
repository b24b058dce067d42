package consensus

import (
	"time"

	. "github.com/onsi/gomega"
)

// The timing of the scripted groups.
const (
	heartbeat = 100 * time.Millisecond
	timeout   = time.Second
)

// scripted is a member in a scripted test. Its disk syncs at once unless it is held.
type scripted struct {
	*Node
	hold      bool // the disk does not sync
	outputs   []Output
	committed []Entry
	installed *Snapshot
}

// group is a group in a scripted test: all share one clock, and messages arrive at once.
type group struct {
	now     time.Duration
	members []*scripted
	waiting []Message
	lost    func(Message) bool
	kept    []Message // all that was sent, lost or not
}

// memberList gives members with these identities.
func memberList(ids ...MemberID) []Member {
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id})
	}
	return members
}

// learner gives a member that does not vote.
func learner(id MemberID) Member {
	return Member{ID: id, Learner: true}
}

// newGroup starts a new group of these first members.
func newGroup(members ...Member) *group {
	g := &group{now: time.Minute}
	for _, member := range members {
		g.add(member.ID, Restored{Snapshot: &Snapshot{Members: members}})
	}
	return g
}

// append starts one more member.
func (g *group) add(id MemberID, restored Restored) *scripted {
	config := Config{ID: id, Seed: 1, HeartbeatInterval: heartbeat, ElectionTimeout: timeout, MaxAppendBytes: 100,
		MaxInflight: 2, SnapshotChunkBytes: 10}
	member := &scripted{Node: New(config, restored, g.now)}
	g.members = append(g.members, member)
	return member
}

// of finds a member.
func (g *group) of(id MemberID) *scripted {
	for _, member := range g.members {
		if member.config.ID == id {
			return member
		}
	}
	return nil
}

// drain carries out what a member wants.
func (g *group) drain(member *scripted) {
	for member.HasOutput() {
		output := member.Output()
		g.send(output.Immediate)
		member.committed = append(member.committed, output.Committed...)
		if output.Snapshot != nil {
			member.installed = output.Snapshot
		}
		member.outputs = append(member.outputs, output)
		if !member.hold {
			g.sync(member)
		}
	}
}

// sync puts all that a member wants written on its disk.
func (g *group) sync(member *scripted) {
	outputs := member.outputs
	member.outputs = nil
	for _, output := range outputs {
		if count := len(output.Entries); count > 0 {
			last := output.Entries[count-1]
			member.Persisted(g.now, last.Index, last.Term)
		}
		g.send(output.Deferred)
	}
}

// send puts messages on their way.
func (g *group) send(messages []Message) {
	for _, message := range messages {
		g.kept = append(g.kept, message)
		if g.lost == nil || !g.lost(message) {
			g.waiting = append(g.waiting, message)
		}
	}
}

// settle delivers until nothing is left.
func (g *group) settle() {
	for {
		for _, member := range g.members {
			g.drain(member)
		}
		if len(g.waiting) == 0 {
			return
		}
		next := g.waiting[0]
		g.waiting = g.waiting[1:]
		if member := g.of(next.To); member != nil {
			member.Step(next, g.now)
		}
	}
}

// pass lets time go by, with a tick of every member at each of many moments.
func (g *group) pass(length time.Duration) {
	end := g.now + length
	for g.now < end {
		g.now += 10 * time.Millisecond
		for _, member := range g.members {
			member.Tick(g.now)
		}
		g.settle()
	}
}

// delayed lets time go by while everything from and to a member takes long.
func (g *group) delayed(id MemberID, delay, length time.Duration) {
	type underWay struct {
		message Message
		due     time.Duration
	}
	var late []underWay
	far := isolate(id)
	g.lost = func(message Message) bool {
		if far(message) {
			late = append(late, underWay{message: message, due: g.now + delay})
		}
		return far(message)
	}
	for end := g.now + length; g.now < end; {
		g.pass(10 * time.Millisecond)
		for len(late) > 0 && late[0].due <= g.now {
			g.waiting = append(g.waiting, late[0].message)
			late = late[1:]
		}
		g.settle()
	}
	g.lost = nil
}

// elect makes a member the leader.
func (g *group) elect(id MemberID) *scripted {
	member := g.of(id)
	g.now = max(g.now, member.electionDeadline)
	for _, other := range g.members {
		other.advanceClock(g.now)
	}
	member.Tick(g.now)
	g.settle()
	Expect(member.Status().Ready).To(BeTrue(), "member %d leads", id)
	return member
}

// propose adds a command at a leader and gives its index.
func (g *group) propose(leader *scripted, data string) uint64 {
	index, _, err := leader.Propose(g.now, []byte(data))
	Expect(err).NotTo(HaveOccurred())
	return index
}

// lastSent counts the messages of a kind that were sent since the last call of forget.
func (g *group) sent(kind MessageKind) int {
	count := 0
	for _, message := range g.kept {
		if message.Kind == kind {
			count++
		}
	}
	return count
}

// newestIndex is the newest message of a kind that was sent to a member.
func (g *group) newest(kind MessageKind, to MemberID) Message {
	for position := len(g.kept) - 1; position >= 0; position-- {
		if message := g.kept[position]; message.Kind == kind && message.To == to {
			return message
		}
	}
	return Message{}
}

// forget forgets what was sent.
func (g *group) forget() {
	g.kept = nil
}

// isolate loses everything from and to a member.
func isolate(id MemberID) func(Message) bool {
	return func(message Message) bool { return message.From == id || message.To == id }
}

// lose loses all messages of a kind.
func lose(kind MessageKind) func(Message) bool {
	return func(message Message) bool { return message.Kind == kind }
}

// texts gives the commands among entries.
func texts(entries []Entry) []string {
	var found []string
	for _, entry := range entries {
		if entry.Kind == EntryCommand {
			found = append(found, string(entry.Data))
		}
	}
	return found
}

// entriesOf makes empty entries of these terms, from an index on.
func entriesOf(first uint64, terms ...uint64) []Entry {
	var entries []Entry
	for position, term := range terms {
		entries = append(entries, Entry{Index: first + uint64(position), Term: term})
	}
	return entries
}
