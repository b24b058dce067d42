package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// appendOutcome is the response to an append, with the follower's log and commit index afterwards.
type appendOutcome struct {
	reject bool
	index  uint64   // Index of the response
	hint   uint64   // Hint of the response
	terms  []uint64 // terms of the entries in the log afterwards
	commit uint64   // commit index afterwards
}

var _ = ginkgo.DescribeTable("an append to a follower whose log has the terms 1, 1, 2 and 2, with two committed entries,",
	func(message Message, expected appendOutcome) {
		g := &group{now: time.Minute}
		follower := g.add(1, Restored{HardState: HardState{Term: 3}, Snapshot: &Snapshot{Members: memberList(1, 2, 3)},
			Entries: entriesOf(1, 1, 1, 2, 2)})
		follower.Step(Message{Kind: MessageAppend, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 1, Commit: 2}, g.now)
		follower.Output()
		message.Kind, message.From, message.To, message.Term = MessageAppend, 2, 1, 3
		follower.Step(message, g.now)
		output := follower.Output()
		responses := append(output.Immediate, output.Deferred...)
		Expect(responses).To(HaveLen(1))
		result := appendOutcome{reject: responses[0].Reject, index: responses[0].Index, hint: responses[0].Hint, commit: follower.commit}
		for _, entry := range follower.log.entries {
			result.terms = append(result.terms, entry.Term)
		}
		Expect(result).To(Equal(expected))
		Expect(len(output.Deferred) == 1).To(Equal(!expected.reject), "an acknowledgement waits for the disk, a rejection does not")
	},
	ginkgo.Entry("is acknowledged without entries if the logs agree", Message{Index: 4, LogTerm: 2},
		appendOutcome{index: 4, terms: []uint64{1, 1, 2, 2}, commit: 2}),
	ginkgo.Entry("adds new entries", Message{Index: 4, LogTerm: 2, Entries: entriesOf(5, 3, 3)},
		appendOutcome{index: 6, terms: []uint64{1, 1, 2, 2, 3, 3}, commit: 2}),
	ginkgo.Entry("replaces an entry that differs", Message{Index: 3, LogTerm: 2, Entries: entriesOf(4, 3)},
		appendOutcome{index: 4, terms: []uint64{1, 1, 2, 3}, commit: 2}),
	ginkgo.Entry("keeps the later entries if it arrives late", Message{Index: 2, LogTerm: 1, Entries: entriesOf(3, 2)},
		appendOutcome{index: 3, terms: []uint64{1, 1, 2, 2}, commit: 2}),
	ginkgo.Entry("adds entries although it begins before the commit index", Message{Index: 0, Entries: entriesOf(1, 1, 1, 2, 2, 3)},
		appendOutcome{index: 5, terms: []uint64{1, 1, 2, 2, 3}, commit: 2}),
	ginkgo.Entry("changes nothing if it ends at the commit index", Message{Index: 0, Entries: entriesOf(1, 1)},
		appendOutcome{index: 2, terms: []uint64{1, 1, 2, 2}, commit: 2}),
	ginkgo.Entry("is rejected if its entries would leave a gap", Message{Index: 7, LogTerm: 3, Entries: entriesOf(8, 3)},
		appendOutcome{reject: true, index: 7, hint: 4, terms: []uint64{1, 1, 2, 2}, commit: 2}),
	ginkgo.Entry("is rejected if the entry before its entries has a later term at the leader", Message{Index: 4, LogTerm: 3, Entries: entriesOf(5, 3)},
		appendOutcome{reject: true, index: 4, hint: 3, terms: []uint64{1, 1, 2, 2}, commit: 2}),
	ginkgo.Entry("is rejected if the entry before its entries has an earlier term at the leader", Message{Index: 4, LogTerm: 1, Entries: entriesOf(5, 3)},
		appendOutcome{reject: true, index: 4, hint: 2, terms: []uint64{1, 1, 2, 2}, commit: 2}),
	ginkgo.Entry("commits entries only up to where the logs agree", Message{Index: 3, LogTerm: 2, Commit: 9},
		appendOutcome{index: 3, terms: []uint64{1, 1, 2, 2}, commit: 3}),
	ginkgo.Entry("commits new entries that its commit index covers", Message{Index: 4, LogTerm: 2, Entries: entriesOf(5, 3), Commit: 5},
		appendOutcome{index: 5, terms: []uint64{1, 1, 2, 2, 3}, commit: 5}),
)

var _ = ginkgo.Describe("a follower", func() {
	ginkgo.It("commits after a heartbeat only entries that are known to agree with the leader's log", func() {
		g := &group{now: time.Minute}
		follower := g.add(1, Restored{HardState: HardState{Term: 3}, Snapshot: &Snapshot{Members: memberList(1, 2, 3)},
			Entries: entriesOf(1, 1, 1)})
		follower.Step(Message{Kind: MessageHeartbeat, From: 2, To: 1, Term: 3, Commit: 2}, g.now)
		Expect(follower.commit).To(BeZero())
		follower.Step(Message{Kind: MessageAppend, From: 2, To: 1, Term: 3, Index: 2, LogTerm: 1}, g.now)
		follower.Step(Message{Kind: MessageHeartbeat, From: 2, To: 1, Term: 3, Commit: 2}, g.now)
		Expect(follower.commit).To(Equal(uint64(2)))
	})

	ginkgo.It("responds to a leader of an earlier term with its own term", func() {
		g := newGroup(memberList(1, 2, 3)...)
		follower := g.member(1)
		follower.becomeFollower(5, None)
		follower.Step(Message{Kind: MessageHeartbeat, From: 2, To: 1, Term: 4}, g.now)
		g.processOutput(follower)
		Expect(g.lastSent(MessageAppendResponse, 2).Term).To(Equal(uint64(5)))
	})

	ginkgo.It("ignores messages to other members, of another group, from itself, or with entries that leave a gap", func() {
		g := newGroup(memberList(1, 2, 3)...)
		follower := g.member(1)
		valid := Message{Kind: MessageAppend, From: 2, To: 1, Term: 1, Entries: entriesOf(1, 1)}
		for _, invalidate := range []func(*Message){
			func(m *Message) { m.To = 3 },
			func(m *Message) { m.Group = 4 },
			func(m *Message) { m.From = 1 },
			func(m *Message) { m.Entries = entriesOf(2, 1) },
		} {
			invalid := valid
			invalidate(&invalid)
			follower.Step(invalid, g.now)
			Expect(follower.log.last()).To(BeZero())
		}
		follower.Step(valid, g.now)
		Expect(follower.log.last()).To(Equal(uint64(1)))
	})
})

var _ = ginkgo.Describe("a leader", func() {
	var g *group
	var leader *testMember
	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader = g.elect(1)
		g.clearSent()
	})

	ginkgo.It("sends entries before they are on its own disk, and commits them once a quorum of others has them on disk", func() {
		leader.diskPaused = true
		g.propose(leader, "a")
		g.deliverAll()
		Expect(commandsOf(leader.committed)).To(Equal([]string{"a"}))
	})

	ginkgo.It("counts itself towards a quorum only once its own disk has the entries", func() {
		leader.diskPaused = true
		g.drop = fromOrTo(3)
		g.propose(leader, "a")
		g.deliverAll()
		Expect(commandsOf(leader.committed)).To(BeEmpty())
		g.syncDisk(leader)
		g.deliverAll()
		Expect(commandsOf(leader.committed)).To(Equal([]string{"a"}))
	})

	ginkgo.It("ignores Persisted for an index and term that its log does not have", func() {
		leader.diskPaused = true
		g.drop = fromOrTo(3)
		index := g.propose(leader, "a")
		g.deliverAll()
		leader.Persisted(g.now, index, leader.term-1)
		leader.Persisted(g.now, index+1, leader.term)
		Expect(leader.Status().Commit).To(Equal(index - 1))
	})

	ginkgo.It("commits no entry of an earlier term by counting", func() {
		g.drop = ofKind(MessageAppend)
		old := g.propose(leader, "old")
		g.deliverAll()
		g.expireLeaderContacts()
		leader.becomeFollower(leader.term, None)
		g.now = max(g.now, leader.electionDeadline)
		// Only the entry of the earlier term is delivered.
		g.drop = func(message Message) bool {
			return message.Kind == MessageAppend && message.Index >= old && g.member(message.To).log.last() >= old
		}
		leader.config.MaxAppendBytes = 1
		leader.Tick(g.now)
		g.deliverAll()
		Expect(leader.Status().IsLeader).To(BeTrue())
		Expect(leader.peer(2).match).To(Equal(old))
		Expect(leader.Status().Commit).To(Equal(old - 1))
		Expect(leader.Status().Ready).To(BeFalse())
		g.drop = nil
		g.elapse(5 * heartbeatInterval)
		Expect(commandsOf(leader.committed)).To(Equal([]string{"old"}))
		Expect(leader.Status().Ready).To(BeTrue())
	})

	ginkgo.It("sends commands that are proposed together in one append", func() {
		for range 3 {
			g.propose(leader, "a")
		}
		g.deliverAll()
		Expect(g.countSent(MessageAppend)).To(Equal(2))
	})

	ginkgo.It("sends no more appends than the window allows, and no larger ones than configured", func() {
		g.drop = ofKind(MessageAppendResponse)
		for range 20 {
			g.propose(leader, "0123456789")
		}
		g.deliverAll()
		Expect(g.countSent(MessageAppend)).To(Equal(2 * leader.config.MaxInflight))
		for _, message := range g.sentMessages {
			Expect(len(message.Entries)).To(BeNumerically("<=", 3))
		}
		g.drop = nil
		g.elapse(10 * heartbeatInterval)
		Expect(commandsOf(g.member(3).committed)).To(HaveLen(20))
	})

	ginkgo.DescribeTable("sends again after the loss of",
		func(kind MessageKind) {
			g.drop = ofKind(kind)
			g.propose(leader, "a")
			g.deliverAll()
			g.drop = nil
			g.elapse(5 * heartbeatInterval)
			Expect(commandsOf(leader.committed)).To(Equal([]string{"a"}))
			Expect(commandsOf(g.member(2).committed)).To(Equal([]string{"a"}))
			Expect(commandsOf(g.member(3).committed)).To(Equal([]string{"a"}))
			g.clearSent()
			g.elapse(10 * heartbeatInterval)
			Expect(g.countSent(MessageAppend)).To(BeZero(), "nothing is sent afterwards")
		},
		ginkgo.Entry("an append", MessageAppend),
		ginkgo.Entry("an acknowledgement", MessageAppendResponse),
	)

	ginkgo.It("probes the log of a restarted member although there are no new entries to send", func() {
		g.propose(leader, "a")
		g.deliverAll()
		stored := Restored{HardState: HardState{Term: 1}, Snapshot: &Snapshot{Members: memberList(1, 2, 3)},
			Entries: g.member(3).log.entries}
		g.members = g.members[:2]
		back := g.add(3, stored)
		g.elapse(3 * heartbeatInterval)
		Expect(commandsOf(back.committed)).To(Equal([]string{"a"}))
	})

	ginkgo.It("finds in a few probes where a member's log differs", func() {
		g.members = g.members[:2]
		divergent := entriesOf(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
		divergent[0] = leader.log.entries[0]
		for position := range divergent[1:] {
			divergent[position+1].Term = 0
		}
		back := g.add(3, Restored{HardState: HardState{Term: 1}, Snapshot: &Snapshot{Members: memberList(1, 2, 3)},
			Entries: divergent})
		g.propose(leader, "a")
		g.deliverAll()
		g.elapse(4 * heartbeatInterval)
		Expect(commandsOf(back.committed)).To(Equal([]string{"a"}))
		Expect(g.countSent(MessageAppend)).To(BeNumerically("<", 8))
	})

	ginkgo.It("ignores a late rejection at an index that the member has on disk", func() {
		g.propose(leader, "a")
		g.deliverAll()
		match := leader.peer(2).match
		leader.Step(Message{Kind: MessageAppendResponse, From: 2, To: 1, Term: leader.term, Reject: true, Index: match}, g.now)
		Expect(leader.peer(2).state).To(Equal(progressReplicate))
		Expect(leader.peer(2).match).To(Equal(match))
	})

	ginkgo.It("sends one heartbeat to each follower in each interval while there are no proposals, and nobody writes to disk", func() {
		g.elapse(electionTimeout)
		g.clearSent()
		for _, member := range g.members {
			member.diskPaused = true
		}
		g.elapse(10 * heartbeatInterval)
		Expect(g.sentMessages).To(HaveLen(10 * 2 * 2))
		for _, member := range g.members {
			for _, output := range member.unsynced {
				Expect(needsWrite(output)).To(BeFalse())
			}
		}
	})

	ginkgo.It("waits for responses after a stall of its process before it steps down", func() {
		g.now += 3 * electionTimeout
		leader.Tick(g.now)
		Expect(leader.Status().IsLeader).To(BeTrue())
		g.deliverAll()
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().IsLeader).To(BeTrue())
	})

	ginkgo.It("steps down after a stall of its process if no member responds", func() {
		g.drop = fromOrTo(1)
		g.now += 3 * electionTimeout
		leader.Tick(g.now)
		g.elapse(3 * heartbeatInterval)
		Expect(leader.Status().IsLeader).To(BeFalse())
	})

	ginkgo.It("refuses proposals once it no longer leads", func() {
		leader.becomeFollower(9, None)
		_, _, err := leader.Propose(g.now, nil)
		Expect(err).To(MatchError(ErrNotLeader))
	})

	ginkgo.It("reports how far members lag", func() {
		g.drop = fromOrTo(3)
		index := g.propose(leader, "a")
		contactBefore := leader.peer(3).lastContact
		g.deliverAll()
		g.elapse(heartbeatInterval)
		behind, lastContact, known := leader.Lag(3)
		Expect(known).To(BeTrue())
		Expect(behind).To(Equal(uint64(1)))
		Expect(lastContact).To(Equal(contactBefore))
		behind, _, known = leader.Lag(1)
		Expect(known).To(BeTrue())
		Expect(behind).To(BeZero())
		_, _, known = leader.Lag(9)
		Expect(known).To(BeFalse())
		_, _, known = g.member(2).Lag(1)
		Expect(known).To(BeFalse())
		Expect(leader.Status().Commit).To(Equal(index))
	})
})
