package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a snapshot", func() {
	const text = "the state of the machine, longer than a chunk"
	const other = "THE STATE OF THE MACHINE, LONGER THAN A CHUNK, written in another order"
	var g *group
	var leader, behind *testMember
	var snapshot Snapshot

	ginkgo.BeforeEach(func() {
		g = newGroup(memberList(1, 2, 3)...)
		leader, behind = g.elect(1), g.member(3)
		g.drop = fromOrTo(3)
		for range 5 {
			g.propose(leader, "a")
			g.deliverAll()
		}
		leader.Compact(leader.Status().Commit)
		snapshot = Snapshot{Index: leader.Status().Commit, Term: leader.term, Data: []byte(text)}
		g.clearSent()
	})

	// begin ends the isolation of member 3 and begins to send it the snapshot.
	begin := func() {
		g.drop = nil
		g.elapse(3 * heartbeatInterval)
		Expect(leader.MembersNeedingSnapshot()).To(Equal([]MemberID{3}))
		leader.SendSnapshot(g.now, 3, snapshot)
		Expect(leader.MembersNeedingSnapshot()).To(BeEmpty())
	}

	ginkgo.It("is not requested for a member that does not respond", func() {
		g.elapse(3 * heartbeatInterval)
		Expect(leader.MembersNeedingSnapshot()).To(BeEmpty())
	})

	ginkgo.It("is sent in chunks, and the entries after it follow", func() {
		begin()
		g.deliverAll()
		Expect(g.countSent(MessageSnapshot)).To(Equal(5))
		Expect(string(behind.installed.Data)).To(Equal(text))
		Expect(behind.installed.Members).To(Equal(memberList(1, 2, 3)))
		Expect(behind.Status().Commit).To(Equal(snapshot.Index))
		g.propose(leader, "after")
		g.deliverAll()
		g.elapse(heartbeatInterval)
		Expect(commandsOf(behind.committed)).To(Equal([]string{"after"}))
	})

	ginkgo.It("is acknowledged only once it is on disk", func() {
		behind.diskPaused = true
		begin()
		g.deliverAll()
		Expect(behind.installed).NotTo(BeNil())
		Expect(leader.peer(3).match).To(BeNumerically("<", snapshot.Index))
		g.syncDisk(behind)
		g.deliverAll()
		Expect(leader.peer(3).match).To(Equal(snapshot.Index))
	})

	ginkgo.DescribeTable("is received over a link with a long round trip",
		func(roundTrip time.Duration) {
			begin()
			g.elapseWithDelay(3, roundTrip/2, 40*roundTrip)
			Expect(behind.installed).NotTo(BeNil())
			Expect(string(behind.installed.Data)).To(Equal(text))
		},
		ginkgo.Entry("one heartbeat interval", heartbeatInterval),
		ginkgo.Entry("two and a half heartbeat intervals", 5*heartbeatInterval/2),
		ginkgo.Entry("four heartbeat intervals", 4*heartbeatInterval),
		ginkgo.Entry("seven heartbeat intervals", 7*heartbeatInterval),
	)

	ginkgo.DescribeTable("is continued after the loss",
		func(kind MessageKind) {
			lost := false
			begin()
			g.drop = func(message Message) bool {
				loses := !lost && message.Kind == kind && message.Offset >= 20
				lost = lost || loses
				return loses
			}
			g.deliverAll()
			Expect(lost).To(BeTrue())
			Expect(behind.installed).To(BeNil())
			g.elapse(5 * heartbeatInterval)
			Expect(string(behind.installed.Data)).To(Equal(text))
			Expect(g.countSent(MessageSnapshot)).To(Equal(6))
		},
		ginkgo.Entry("of a chunk", MessageSnapshot),
		ginkgo.Entry("of a response", MessageSnapshotResponse),
	)

	ginkgo.It("is installed correctly if chunks arrive twice or out of order", func() {
		g.drop = ofKind(MessageSnapshotResponse)
		begin()
		data := []byte(text)
		chunk := func(start, end int) Message {
			part := Snapshot{Index: snapshot.Index, Term: snapshot.Term, Members: memberList(1, 2, 3), Data: data[start:end]}
			return Message{Kind: MessageSnapshot, From: 1, To: 3, Term: leader.term, Index: part.Index, Snapshot: &part,
				Offset: uint64(start), Last: end == len(data)}
		}
		for _, message := range []Message{chunk(30, 40), chunk(0, 10), chunk(20, 30), chunk(0, 10), chunk(5, 20),
			chunk(20, 30), chunk(40, len(data)), chunk(30, 40), chunk(40, len(data))} {
			behind.Step(message, g.now)
			g.processOutput(behind)
		}
		Expect(string(behind.installed.Data)).To(Equal(text))
	})

	ginkgo.It("is sent from the beginning to a restarted member", func() {
		begin()
		sent := 0
		g.drop = func(message Message) bool {
			if message.Kind == MessageSnapshot {
				sent++
			}
			return sent > 3
		}
		g.deliverAll()
		g.members = g.members[:2]
		back := g.add(3, Restored{HardState: HardState{Term: 1}, Snapshot: &Snapshot{Members: memberList(1, 2, 3)}})
		g.drop = nil
		g.elapse(8 * heartbeatInterval)
		Expect(string(back.installed.Data)).To(Equal(text))
	})

	ginkgo.It("is abandoned when the member receives all of its entries by an append", func() {
		begin()
		g.inTransit = nil
		behind.Step(Message{Kind: MessageAppend, From: 1, To: 3, Term: leader.term, Entries: g.member(2).log.entries}, g.now)
		g.elapse(5 * heartbeatInterval)
		Expect(behind.installed).To(BeNil())
		Expect(behind.Status().Commit).To(Equal(snapshot.Index))
		Expect(leader.peer(3).state).To(Equal(progressReplicate))
	})

	// sendAnother begins to send a snapshot after the first 20 bytes of an earlier one have arrived and the leader has
	// abandoned that one. Both have the same index but different encodings. It returns the rest of the earlier one, as a late
	// chunk.
	sendAnother := func() (late Message) {
		begin()
		g.drop = func(message Message) bool { return message.Kind == MessageSnapshot && message.Offset >= 20 }
		g.deliverAll()
		Expect(behind.receiving.data).To(HaveLen(20))
		chunk := g.lastSent(MessageSnapshot, 3)
		rest := *chunk.Snapshot
		rest.Data = snapshot.Data[20:]
		chunk.Snapshot, chunk.Offset, chunk.Last = &rest, 20, true
		g.drop = fromOrTo(3)
		g.elapse((snapshotTimeoutFactor + 1) * electionTimeout)
		Expect(leader.peer(3).outgoing).To(BeNil())
		snapshot.Data = []byte(other)
		g.clearSent()
		begin()
		return chunk
	}

	ginkgo.It("is not mixed with an abandoned one of the same index", func() {
		sendAnother()
		g.deliverAll()
		Expect(string(behind.installed.Data)).To(Equal(other))
	})

	ginkgo.It("is not mixed with late chunks of an earlier one", func() {
		late := sendAnother()
		g.processOutput(leader)
		first := g.inTransit[0]
		g.inTransit = nil
		behind.Step(first, g.now)
		behind.Step(late, g.now)
		Expect(behind.pending.snapshot).To(BeNil())
		g.elapse(5 * heartbeatInterval)
		Expect(string(behind.installed.Data)).To(Equal(other))
	})

	ginkgo.It("is not mixed with an incomplete one of an earlier leader", func() {
		begin()
		g.drop = func(message Message) bool { return message.Kind == MessageSnapshot && message.Offset >= 20 }
		g.deliverAll()
		Expect(behind.receiving.data).To(HaveLen(20))
		g.expireLeaderContacts()
		next := g.member(2)
		next.Compact(snapshot.Index)
		g.drop = nil
		g.elect(2)
		Expect(behind.receiving).To(BeNil())
		g.elapse(3 * heartbeatInterval)
		Expect(next.MembersNeedingSnapshot()).To(Equal([]MemberID{3}))
		snapshot.Data = []byte(other)
		next.SendSnapshot(g.now, 3, snapshot)
		g.deliverAll()
		Expect(string(behind.installed.Data)).To(Equal(other))
	})

	ginkgo.It("is not installed by late chunks once the member has newer entries", func() {
		begin()
		g.processOutput(leader)
		late := g.inTransit
		g.deliverAll()
		g.propose(leader, "after")
		g.deliverAll()
		g.elapse(heartbeatInterval)
		last := behind.log.last()
		for _, message := range late {
			behind.Step(message, g.now)
		}
		g.deliverAll()
		Expect(behind.log.last()).To(Equal(last))
		Expect(behind.Status().Commit).To(Equal(last))
		Expect(behind.receiving).To(BeNil())
	})

	ginkgo.It("is abandoned if the member does not respond for several election timeouts", func() {
		begin()
		g.drop = fromOrTo(3)
		g.elapse(snapshotTimeoutFactor*electionTimeout + 2*heartbeatInterval)
		Expect(leader.peer(3).outgoing).To(BeNil())
		g.drop = nil
		g.elapse(2 * heartbeatInterval)
		Expect(leader.MembersNeedingSnapshot()).To(Equal([]MemberID{3}))
	})

	ginkgo.It("is replaced by a newer one if the log was compacted beyond it during the transfer", func() {
		begin()
		g.processOutput(leader)
		inFlight := g.inTransit
		g.inTransit = nil
		g.propose(leader, "b")
		g.deliverAll()
		leader.Compact(leader.Status().Commit)
		g.inTransit = inFlight
		g.deliverAll()
		Expect(leader.MembersNeedingSnapshot()).To(Equal([]MemberID{3}))
	})

	ginkgo.It("without data is sent too", func() {
		snapshot.Data = nil
		begin()
		g.deliverAll()
		Expect(behind.installed).NotTo(BeNil())
		Expect(behind.Status().Commit).To(Equal(snapshot.Index))
	})

	ginkgo.It("is not sent to a member that needs none, or if the log is compacted beyond it", func() {
		leader.SendSnapshot(g.now, 2, snapshot)
		Expect(leader.peer(2).outgoing).To(BeNil())
		g.drop = nil
		g.elapse(3 * heartbeatInterval)
		snapshot.Index--
		leader.SendSnapshot(g.now, 3, snapshot)
		Expect(leader.peer(3).outgoing).To(BeNil())
	})
})
