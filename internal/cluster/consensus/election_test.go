package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// voteOutcome is the response to a request for a vote.
type voteOutcome int

const (
	noResponse voteOutcome = iota
	voteGranted
	voteRejected
)

// voterState is the state of a member whose vote is requested.
type voterState struct {
	term               uint64
	vote               MemberID
	sinceLeaderContact time.Duration // 0: no leader is known
	isLeader           bool
}

// requestVote requests the vote of a member with a log of terms 1, 2 and 2, and returns the member and its response.
func requestVote(state voterState, request Message) (*testMember, voteOutcome) {
	g := newGroup(memberList(1, 2, 3)...)
	members := &Snapshot{Members: memberList(1, 2, 3)}
	g.members = nil
	voter := g.add(1, Restored{HardState: HardState{Term: state.term, Vote: state.vote}, Snapshot: members,
		Entries: entriesOf(1, 1, 2, 2)})
	if state.sinceLeaderContact > 0 {
		voter.Step(Message{Kind: MessageHeartbeat, From: 3, To: 1, Term: state.term}, g.now)
		voter.Output()
		g.now += state.sinceLeaderContact
	}
	if state.isLeader {
		voter.role = rolePreCandidate
		voter.becomeLeader()
		voter.Output()
	}
	request.From, request.To = 2, 1
	voter.Step(request, g.now)
	output := voter.Output()
	for _, answer := range append(output.Immediate, output.Deferred...) {
		if answer.To != 2 || (answer.Kind != MessageVoteResponse && answer.Kind != MessagePreVoteResponse) {
			continue
		}
		if answer.Reject {
			return voter, voteRejected
		}
		if answer.Kind == MessageVoteResponse && voter.vote != state.vote {
			Expect(output.HardState).To(Equal(&HardState{Term: voter.term, Vote: 2}), "the vote is written before it leaves")
		}
		return voter, voteGranted
	}
	return voter, noResponse
}

var _ = ginkgo.DescribeTable("answers to a request for a vote",
	func(state voterState, request Message, expected voteOutcome, term uint64, vote MemberID) {
		request.Kind = MessageVote
		voter, answer := requestVote(state, request)
		Expect(answer).To(Equal(expected))
		Expect(voter.term).To(Equal(term))
		Expect(voter.vote).To(Equal(vote))
	},
	ginkgo.Entry("a later term, the same log", voterState{term: 2},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("a longer log", voterState{term: 2},
		Message{Term: 3, Index: 9, LogTerm: 2}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("a shorter log", voterState{term: 2},
		Message{Term: 3, Index: 2, LogTerm: 2}, voteRejected, uint64(3), None),
	ginkgo.Entry("a longer log of an earlier term", voterState{term: 2},
		Message{Term: 3, Index: 9, LogTerm: 1}, voteRejected, uint64(3), None),
	ginkgo.Entry("a shorter log of a later term", voterState{term: 4},
		Message{Term: 5, Index: 1, LogTerm: 3}, voteGranted, uint64(5), MemberID(2)),
	ginkgo.Entry("the vote of the term is another's", voterState{term: 3, vote: 3},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteRejected, uint64(3), MemberID(3)),
	ginkgo.Entry("the vote of the term is its own already", voterState{term: 3, vote: 2},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("the vote of a term that was met before is free", voterState{term: 3},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("an earlier term", voterState{term: 4},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteRejected, uint64(4), None),
	ginkgo.Entry("the leader of the term is known", voterState{term: 3, sinceLeaderContact: electionTimeout},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteRejected, uint64(3), None),
	ginkgo.Entry("a leader was just heard", voterState{term: 2, sinceLeaderContact: electionTimeout / 2},
		Message{Term: 3, Index: 3, LogTerm: 2}, noResponse, uint64(2), None),
	ginkgo.Entry("a leader was just heard, but gives its role away", voterState{term: 2, sinceLeaderContact: electionTimeout / 2},
		Message{Term: 3, Index: 3, LogTerm: 2, Forced: true}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("a leader was heard long ago", voterState{term: 2, sinceLeaderContact: electionTimeout},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("the leader itself is asked", voterState{term: 2, isLeader: true},
		Message{Term: 3, Index: 9, LogTerm: 2}, noResponse, uint64(2), None),
	ginkgo.Entry("the leader itself is asked by its successor", voterState{term: 2, isLeader: true},
		Message{Term: 3, Index: 9, LogTerm: 2, Forced: true}, voteGranted, uint64(3), MemberID(2)),
)

var _ = ginkgo.DescribeTable("answers to the question before a vote, which change nothing",
	func(state voterState, request Message, expected voteOutcome) {
		request.Kind = MessagePreVote
		voter, answer := requestVote(state, request)
		Expect(answer).To(Equal(expected))
		Expect(voter.term).To(Equal(state.term))
		Expect(voter.vote).To(Equal(state.vote))
	},
	ginkgo.Entry("a later term, the same log", voterState{term: 2}, Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted),
	ginkgo.Entry("the vote of the present term is given", voterState{term: 2, vote: 3},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted),
	ginkgo.Entry("a shorter log", voterState{term: 2}, Message{Term: 3, Index: 2, LogTerm: 2}, voteRejected),
	ginkgo.Entry("the present term", voterState{term: 3}, Message{Term: 3, Index: 3, LogTerm: 2}, voteRejected),
	ginkgo.Entry("an earlier term", voterState{term: 4}, Message{Term: 3, Index: 3, LogTerm: 2}, voteRejected),
	ginkgo.Entry("a leader was just heard", voterState{term: 2, sinceLeaderContact: electionTimeout / 2},
		Message{Term: 3, Index: 3, LogTerm: 2}, noResponse),
	ginkgo.Entry("a leader was heard long ago", voterState{term: 2, sinceLeaderContact: electionTimeout},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted),
	ginkgo.Entry("the leader itself", voterState{term: 2, isLeader: true}, Message{Term: 3, Index: 9, LogTerm: 2}, noResponse),
)

var _ = ginkgo.DescribeTable("who stands for election when no leader is heard",
	func(prepare func(member *testMember), stands bool) {
		g := newGroup(append(memberList(1, 2, 3), learner(4))...)
		member := g.member(1)
		prepare(member)
		g.now += 2 * electionTimeout
		member.Tick(g.now)
		g.processOutput(member)
		Expect(g.countSent(MessagePreVote) > 0).To(Equal(stands))
		Expect(member.NextDeadline()).To(BeNumerically(">", g.now))
	},
	ginkgo.Entry("a voter", func(*testMember) {}, true),
	ginkgo.Entry("a learner", func(member *testMember) { member.config.ID = 4 }, false),
	ginkgo.Entry("no member", func(member *testMember) { member.config.ID = 9 }, false),
	ginkgo.Entry("one whose disk is sick", func(member *testMember) { member.SetCampaignAllowed(false) }, false),
	ginkgo.Entry("one whose disk is well again", func(member *testMember) {
		member.SetCampaignAllowed(false)
		member.SetCampaignAllowed(true)
	}, true),
)

var _ = ginkgo.Describe("an election", func() {
	var g *group
	ginkgo.BeforeEach(func() { g = newGroup(memberList(1, 2, 3)...) })

	ginkgo.It("falls between one and two election timeouts after the leader fell silent", func() {
		started := g.now
		for _, member := range g.members {
			Expect(member.NextDeadline()).To(BeNumerically(">=", started+electionTimeout))
			Expect(member.NextDeadline()).To(BeNumerically("<", started+2*electionTimeout))
		}
	})

	ginkgo.It("sends requests for votes only after its own vote is on disk", func() {
		candidate := g.member(1)
		candidate.diskPaused = true
		g.now = candidate.electionDeadline
		candidate.Tick(g.now)
		g.deliverAll()
		Expect(candidate.role).To(Equal(roleCandidate))
		Expect(g.countSent(MessageVote)).To(BeZero())
		g.syncDisk(candidate)
		g.deliverAll()
		Expect(candidate.Status().IsLeader).To(BeTrue())
	})

	ginkgo.It("sends votes only after they are on disk", func() {
		g.member(2).diskPaused = true
		g.member(3).diskPaused = true
		candidate := g.member(1)
		g.now = candidate.electionDeadline
		candidate.Tick(g.now)
		g.deliverAll()
		Expect(g.countSent(MessageVoteResponse)).To(BeZero())
		g.syncDisk(g.member(3))
		g.deliverAll()
		Expect(candidate.Status().IsLeader).To(BeTrue())
	})

	ginkgo.It("asks again when questions are lost", func() {
		candidate := g.member(1)
		g.drop = func(message Message) bool { return message.From == 1 }
		g.now = candidate.electionDeadline
		candidate.Tick(g.now)
		g.deliverAll()
		g.drop = nil
		g.now = candidate.NextDeadline()
		Expect(g.now).To(BeNumerically("<", candidate.electionDeadline))
		candidate.Tick(g.now)
		g.deliverAll()
		Expect(candidate.Status().Ready).To(BeTrue())
	})

	ginkgo.It("leaves terms alone while a majority hears its leader", func() {
		g.elect(1)
		g.drop = fromOrTo(3)
		g.elapse(5 * electionTimeout)
		Expect(g.member(3).term).To(Equal(uint64(1)))
		g.drop = nil
		g.elapse(3 * heartbeatInterval)
		Expect(g.member(1).Status().Ready).To(BeTrue())
		Expect(g.member(3).Status().Leader).To(Equal(MemberID(1)))
	})

	ginkgo.It("ends the leadership of one that hears no quorum, and has another lead", func() {
		g.elect(1)
		g.drop = fromOrTo(1)
		g.elapse(electionTimeout + heartbeatInterval)
		Expect(g.member(1).Status().IsLeader).To(BeFalse())
		g.elapse(2 * electionTimeout)
		Expect(g.member(2).Status().Ready || g.member(3).Status().Ready).To(BeTrue())
	})

	ginkgo.It("is told of a later term by one that has seen it", func() {
		g.elect(1)
		g.member(3).becomeFollower(7, None)
		g.elapse(3 * electionTimeout)
		Expect(g.member(1).term).To(BeNumerically(">", 7))
		Expect(g.member(3).Status().Leader).NotTo(Equal(None))
	})

	ginkgo.It("is held off by a candidate's own sick disk", func() {
		candidate := g.member(1)
		candidate.diskPaused = true
		g.now = candidate.electionDeadline
		candidate.Tick(g.now)
		g.deliverAll()
		candidate.SetCampaignAllowed(false)
		Expect(candidate.role).To(Equal(roleFollower))
	})

	ginkgo.It("takes the term of the newest entry where the disk tells an older one", func() {
		torn := g.add(9, Restored{HardState: HardState{Term: 2, Vote: 1}, Entries: entriesOf(1, 1, 3)})
		Expect(torn.term).To(Equal(uint64(3)))
		Expect(torn.vote).To(Equal(None))
	})
})

var _ = ginkgo.Describe("the only voter of a group", func() {
	ginkgo.It("leads at once, and commits and sends nothing before its disk has it", func() {
		g := newGroup(Member{ID: 1}, learner(2))
		alone := g.member(1)
		alone.diskPaused = true
		g.now = alone.electionDeadline
		alone.Tick(g.now)
		g.propose(alone, "a")
		g.deliverAll()
		Expect(alone.Status().IsLeader).To(BeTrue())
		Expect(alone.Status().Commit).To(BeZero())
		Expect(g.countSent(MessageAppend)).To(BeZero())
		alone.diskPaused = false
		g.syncDisk(alone)
		g.deliverAll()
		Expect(commandsOf(alone.committed)).To(Equal([]string{"a"}))
		Expect(g.countSent(MessageAppend)).NotTo(BeZero())
	})

	ginkgo.It("does not take what it may have had on disk for being there", func() {
		g := &group{now: time.Minute}
		alone := g.add(1, Restored{Snapshot: &Snapshot{Members: memberList(1)}, Entries: entriesOf(1, 1)})
		alone.diskPaused = true
		g.now = alone.electionDeadline
		alone.Tick(g.now)
		g.deliverAll()
		alone.Persisted(g.now, 1, 1)
		Expect(alone.Status().Commit).To(BeZero())
	})

	ginkgo.It("confirms at once", func() {
		g := newGroup(memberList(1)...)
		alone := g.elect(1)
		g.now += 3 * time.Millisecond
		alone.ConfirmLeadership(g.now)
		Expect(alone.Status().ConfirmedAt).To(Equal(g.now))
	})
})
