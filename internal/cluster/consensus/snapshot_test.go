package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a snapshot", func() {
	const text = "the state of the machine, longer than a piece"
	const other = "THE STATE OF THE MACHINE, LONGER THAN A PIECE, written in another order"
	var g *group
	var leader, behind *scripted
	var snapshot Snapshot

	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader, behind = g.elect(1), g.of(3)
		g.lost = isolate(3)
		for range 5 {
			g.propose(leader, "a")
			g.settle()
		}
		leader.Compact(leader.Status().Commit)
		snapshot = Snapshot{Index: leader.Status().Commit, Term: leader.term, Data: []byte(text)}
		g.forget()
	})

	// begin lets the member be heard again and sends the snapshot.
	begin := func() {
		g.lost = nil
		g.pass(3 * heartbeat)
		Expect(leader.NeedSnapshot()).To(Equal([]MemberID{3}))
		leader.SendSnapshot(g.now, 3, snapshot)
		Expect(leader.NeedSnapshot()).To(BeEmpty())
	}

	ginkgo.It("is asked for only for a member that is there", func() {
		g.pass(3 * heartbeat)
		Expect(leader.NeedSnapshot()).To(BeEmpty())
	})

	ginkgo.It("comes in pieces, and the log goes on after it", func() {
		begin()
		g.settle()
		Expect(g.sent(MessageSnapshot)).To(Equal(5))
		Expect(string(behind.installed.Data)).To(Equal(text))
		Expect(behind.installed.Members).To(Equal(memberList(1, 2, 3)))
		Expect(behind.Status().Commit).To(Equal(snapshot.Index))
		g.propose(leader, "after")
		g.settle()
		g.pass(heartbeat)
		Expect(texts(behind.committed)).To(Equal([]string{"after"}))
	})

	ginkgo.It("is acknowledged only once it is on disk", func() {
		behind.hold = true
		begin()
		g.settle()
		Expect(behind.installed).NotTo(BeNil())
		Expect(leader.peer(3).match).To(BeNumerically("<", snapshot.Index))
		g.sync(behind)
		g.settle()
		Expect(leader.peer(3).match).To(Equal(snapshot.Index))
	})

	ginkgo.DescribeTable("comes over a link on which an answer takes long",
		func(roundTrip time.Duration) {
			begin()
			g.delayed(3, roundTrip/2, 40*roundTrip)
			Expect(behind.installed).NotTo(BeNil())
			Expect(string(behind.installed.Data)).To(Equal(text))
		},
		ginkgo.Entry("a heartbeat's interval", heartbeat),
		ginkgo.Entry("two and a half", 5*heartbeat/2),
		ginkgo.Entry("four", 4*heartbeat),
		ginkgo.Entry("seven", 7*heartbeat),
	)

	ginkgo.DescribeTable("goes on where it was after a loss",
		func(kind MessageKind) {
			lost := false
			begin()
			g.lost = func(message Message) bool {
				loses := !lost && message.Kind == kind && message.Offset >= 20
				lost = lost || loses
				return loses
			}
			g.settle()
			Expect(lost).To(BeTrue())
			Expect(behind.installed).To(BeNil())
			g.pass(5 * heartbeat)
			Expect(string(behind.installed.Data)).To(Equal(text))
			Expect(g.sent(MessageSnapshot)).To(Equal(6))
		},
		ginkgo.Entry("of a piece", MessageSnapshot),
		ginkgo.Entry("of an answer", MessageSnapshotResponse),
	)

	ginkgo.It("bears pieces that come twice or out of order", func() {
		g.lost = lose(MessageSnapshotResponse)
		begin()
		whole := []byte(text)
		piece := func(start, end int) Message {
			part := Snapshot{Index: snapshot.Index, Term: snapshot.Term, Members: memberList(1, 2, 3), Data: whole[start:end]}
			return Message{Kind: MessageSnapshot, From: 1, To: 3, Term: leader.term, Index: part.Index, Snapshot: &part,
				Offset: uint64(start), Last: end == len(whole)}
		}
		for _, message := range []Message{piece(30, 40), piece(0, 10), piece(20, 30), piece(0, 10), piece(5, 20),
			piece(20, 30), piece(40, len(whole)), piece(30, 40), piece(40, len(whole))} {
			behind.Step(message, g.now)
			g.drain(behind)
		}
		Expect(string(behind.installed.Data)).To(Equal(text))
	})

	ginkgo.It("begins anew at a member that was started again", func() {
		begin()
		sent := 0
		g.lost = func(message Message) bool {
			if message.Kind == MessageSnapshot {
				sent++
			}
			return sent > 3
		}
		g.settle()
		g.members = g.members[:2]
		back := g.add(3, Restored{HardState: HardState{Term: 1}, Snapshot: &Snapshot{Members: memberList(1, 2, 3)}})
		g.lost = nil
		g.pass(8 * heartbeat)
		Expect(string(back.installed.Data)).To(Equal(text))
	})

	ginkgo.It("is left when the member turns out to have it all", func() {
		begin()
		g.waiting = nil
		behind.Step(Message{Kind: MessageAppend, From: 1, To: 3, Term: leader.term, Entries: g.of(2).log.entries}, g.now)
		g.pass(5 * heartbeat)
		Expect(behind.installed).To(BeNil())
		Expect(behind.Status().Commit).To(Equal(snapshot.Index))
		Expect(leader.peer(3).state).To(Equal(progressReplicate))
	})

	// another begins to send a snapshot of the same index whose bytes differ, in place of one whose first pieces are there,
	// and gives the later pieces of the first.
	another := func() (late []Message) {
		begin()
		g.lost = func(message Message) bool { return message.Kind == MessageSnapshot && message.Offset >= 20 }
		g.settle()
		Expect(behind.receiving.data).To(HaveLen(20))
		piece := g.newest(MessageSnapshot, 3)
		rest := *piece.Snapshot
		rest.Data = snapshot.Data[20:]
		piece.Snapshot, piece.Offset, piece.Last = &rest, 20, true
		g.lost = isolate(3)
		g.pass((snapshotTimeoutFactor + 1) * timeout)
		Expect(leader.peer(3).outgoing).To(BeNil())
		snapshot.Data = []byte(other)
		g.forget()
		begin()
		return []Message{piece}
	}

	ginkgo.It("is not mixed with an earlier one of the same index that was given up", func() {
		another()
		g.settle()
		Expect(string(behind.installed.Data)).To(Equal(other))
	})

	ginkgo.It("is not mixed with late pieces of an earlier one", func() {
		late := another()
		g.drain(leader)
		first := g.waiting[0]
		g.waiting = nil
		behind.Step(first, g.now)
		behind.Step(late[0], g.now)
		Expect(behind.pending.snapshot).To(BeNil())
		g.pass(5 * heartbeat)
		Expect(string(behind.installed.Data)).To(Equal(other))
	})

	ginkgo.It("is not mixed with that of a leader before, which lost its leadership on the way", func() {
		begin()
		g.lost = func(message Message) bool { return message.Kind == MessageSnapshot && message.Offset >= 20 }
		g.settle()
		Expect(behind.receiving.data).To(HaveLen(20))
		g.forgetLeaders()
		next := g.of(2)
		next.Compact(snapshot.Index)
		g.lost = nil
		g.elect(2)
		Expect(behind.receiving).To(BeNil())
		g.pass(3 * heartbeat)
		Expect(next.NeedSnapshot()).To(Equal([]MemberID{3}))
		snapshot.Data = []byte(other)
		next.SendSnapshot(g.now, 3, snapshot)
		g.settle()
		Expect(string(behind.installed.Data)).To(Equal(other))
	})

	ginkgo.It("that was overtaken by a newer one does not come back with late pieces", func() {
		begin()
		g.drain(leader)
		late := g.waiting
		g.settle()
		g.propose(leader, "after")
		g.settle()
		g.pass(heartbeat)
		last := behind.log.last()
		for _, message := range late {
			behind.Step(message, g.now)
		}
		g.settle()
		Expect(behind.log.last()).To(Equal(last))
		Expect(behind.Status().Commit).To(Equal(last))
		Expect(behind.receiving).To(BeNil())
	})

	ginkgo.It("is let go for a member that stays silent", func() {
		begin()
		g.lost = isolate(3)
		g.pass(snapshotTimeoutFactor*timeout + 2*heartbeat)
		Expect(leader.peer(3).outgoing).To(BeNil())
		g.lost = nil
		g.pass(2 * heartbeat)
		Expect(leader.NeedSnapshot()).To(Equal([]MemberID{3}))
	})

	ginkgo.It("is replaced by a newer one if the log was compacted further meanwhile", func() {
		begin()
		g.drain(leader)
		inFlight := g.waiting
		g.waiting = nil
		g.propose(leader, "b")
		g.settle()
		leader.Compact(leader.Status().Commit)
		g.waiting = inFlight
		g.settle()
		Expect(leader.NeedSnapshot()).To(Equal([]MemberID{3}))
	})

	ginkgo.It("that is empty travels too", func() {
		snapshot.Data = nil
		begin()
		g.settle()
		Expect(behind.installed).NotTo(BeNil())
		Expect(behind.Status().Commit).To(Equal(snapshot.Index))
	})

	ginkgo.It("is not taken from a member that needs none, or where it is too old", func() {
		leader.SendSnapshot(g.now, 2, snapshot)
		Expect(leader.peer(2).outgoing).To(BeNil())
		g.lost = nil
		g.pass(3 * heartbeat)
		snapshot.Index--
		leader.SendSnapshot(g.now, 3, snapshot)
		Expect(leader.peer(3).outgoing).To(BeNil())
	})
})

var _ = ginkgo.Describe("compaction", func() {
	ginkgo.It("drops no more than was handed out to be applied", func() {
		g := newGroup(memberList(1, 2, 3)...)
		leader := g.elect(1)
		g.lost = isolate(1)
		g.propose(leader, "a")
		g.settle()
		leader.Compact(99)
		Expect(leader.Status().FirstIndex).To(Equal(leader.Status().Commit + 1))
		Expect(leader.Status().LastIndex).To(Equal(leader.Status().Commit + 1))
	})
})
