package consensus

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// voteOutcome is the response to a request for a vote or pre-vote.
type voteOutcome int

const (
	noResponse voteOutcome = iota
	voteGranted
	voteRejected
)

// voterState is the state of a member that receives a request for its vote.
type voterState struct {
	term               uint64
	vote               MemberID
	sinceLeaderContact time.Duration // time since the last message of a leader of this term; 0: no leader is known
	isLeader           bool
}

// requestVote sends a request to member 1 and returns the member and its response. The log of member 1 has entries of the
// terms 1, 2 and 2.
func requestVote(state voterState, request Message) (*testMember, voteOutcome) {
	g := &group{now: time.Minute}
	voter := g.add(1, Restored{HardState: HardState{Term: state.term, Vote: state.vote},
		Snapshot: &Snapshot{Members: memberList(1, 2, 3)}, Entries: entriesOf(1, 1, 2, 2)})
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
	for _, response := range append(output.Immediate, output.Deferred...) {
		if response.To != 2 || (response.Kind != MessageVoteResponse && response.Kind != MessagePreVoteResponse) {
			continue
		}
		if response.Reject {
			return voter, voteRejected
		}
		if response.Kind == MessageVoteResponse && voter.vote != state.vote {
			Expect(output.HardState).To(Equal(&HardState{Term: voter.term, Vote: 2}), "the output that contains the vote also writes it")
		}
		return voter, voteGranted
	}
	return voter, noResponse
}

var _ = ginkgo.DescribeTable("a member whose vote is requested",
	func(state voterState, request Message, expected voteOutcome, term uint64, vote MemberID) {
		request.Kind = MessageVote
		voter, outcome := requestVote(state, request)
		Expect(outcome).To(Equal(expected))
		Expect(voter.term).To(Equal(term))
		Expect(voter.vote).To(Equal(vote))
	},
	ginkgo.Entry("grants it in a later term to a candidate with the same log", voterState{term: 2},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("grants it in a later term to a candidate with a longer log", voterState{term: 2},
		Message{Term: 3, Index: 9, LogTerm: 2}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("denies it in a later term to a candidate with a shorter log", voterState{term: 2},
		Message{Term: 3, Index: 2, LogTerm: 2}, voteRejected, uint64(3), None),
	ginkgo.Entry("denies it in a later term to a candidate with a longer log whose last entry has an earlier term", voterState{term: 2},
		Message{Term: 3, Index: 9, LogTerm: 1}, voteRejected, uint64(3), None),
	ginkgo.Entry("grants it in a later term to a candidate with a shorter log whose last entry has a later term", voterState{term: 4},
		Message{Term: 5, Index: 1, LogTerm: 3}, voteGranted, uint64(5), MemberID(2)),
	ginkgo.Entry("denies it in a term in which it voted for another member", voterState{term: 3, vote: 3},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteRejected, uint64(3), MemberID(3)),
	ginkgo.Entry("grants it again in a term in which it voted for the candidate", voterState{term: 3, vote: 2},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("grants it in its own term if it has not voted", voterState{term: 3},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("denies it in an earlier term", voterState{term: 4},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteRejected, uint64(4), None),
	ginkgo.Entry("denies it in a term whose leader it knows", voterState{term: 3, sinceLeaderContact: electionTimeout},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteRejected, uint64(3), None),
	ginkgo.Entry("does not respond within an election timeout of its last contact with a leader", voterState{term: 2, sinceLeaderContact: electionTimeout / 2},
		Message{Term: 3, Index: 3, LogTerm: 2}, noResponse, uint64(2), None),
	ginkgo.Entry("grants it within an election timeout of its last contact with a leader that transfers its leadership", voterState{term: 2, sinceLeaderContact: electionTimeout / 2},
		Message{Term: 3, Index: 3, LogTerm: 2, Forced: true}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("grants it an election timeout after its last contact with a leader", voterState{term: 2, sinceLeaderContact: electionTimeout},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted, uint64(3), MemberID(2)),
	ginkgo.Entry("does not respond while it leads", voterState{term: 2, isLeader: true},
		Message{Term: 3, Index: 9, LogTerm: 2}, noResponse, uint64(2), None),
	ginkgo.Entry("grants it while it leads, if it transfers its leadership to the candidate", voterState{term: 2, isLeader: true},
		Message{Term: 3, Index: 9, LogTerm: 2, Forced: true}, voteGranted, uint64(3), MemberID(2)),
)

var _ = ginkgo.DescribeTable("a member whose pre-vote is requested keeps its term and vote, and",
	func(state voterState, request Message, expected voteOutcome) {
		request.Kind = MessagePreVote
		voter, outcome := requestVote(state, request)
		Expect(outcome).To(Equal(expected))
		Expect(voter.term).To(Equal(state.term))
		Expect(voter.vote).To(Equal(state.vote))
	},
	ginkgo.Entry("grants it in a later term to a candidate with the same log", voterState{term: 2}, Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted),
	ginkgo.Entry("grants it in a later term although it voted for another member in its own term", voterState{term: 2, vote: 3},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted),
	ginkgo.Entry("denies it in a later term to a candidate with a shorter log", voterState{term: 2}, Message{Term: 3, Index: 2, LogTerm: 2}, voteRejected),
	ginkgo.Entry("denies it in its own term", voterState{term: 3}, Message{Term: 3, Index: 3, LogTerm: 2}, voteRejected),
	ginkgo.Entry("denies it in an earlier term", voterState{term: 4}, Message{Term: 3, Index: 3, LogTerm: 2}, voteRejected),
	ginkgo.Entry("does not respond within an election timeout of its last contact with a leader", voterState{term: 2, sinceLeaderContact: electionTimeout / 2},
		Message{Term: 3, Index: 3, LogTerm: 2}, noResponse),
	ginkgo.Entry("grants it an election timeout after its last contact with a leader", voterState{term: 2, sinceLeaderContact: electionTimeout},
		Message{Term: 3, Index: 3, LogTerm: 2}, voteGranted),
	ginkgo.Entry("does not respond while it leads", voterState{term: 2, isLeader: true}, Message{Term: 3, Index: 9, LogTerm: 2}, noResponse),
)

var _ = ginkgo.DescribeTable("without contact with a leader for two election timeouts,",
	func(prepare func(member *testMember), campaigns bool) {
		g := newGroup(append(memberList(1, 2, 3), learner(4))...)
		member := g.member(1)
		prepare(member)
		g.now += 2 * electionTimeout
		member.Tick(g.now)
		g.processOutput(member)
		Expect(g.countSent(MessagePreVote) > 0).To(Equal(campaigns))
		Expect(member.NextDeadline()).To(BeNumerically(">", g.now))
	},
	ginkgo.Entry("a voter campaigns", func(*testMember) {}, true),
	ginkgo.Entry("a learner does not campaign", func(member *testMember) { member.config.ID = 4 }, false),
	ginkgo.Entry("a machine that is no member does not campaign", func(member *testMember) { member.config.ID = 9 }, false),
	ginkgo.Entry("a voter that is forbidden to campaign does not", func(member *testMember) { member.SetCampaignAllowed(false) }, false),
	ginkgo.Entry("a voter that is allowed to campaign again does", func(member *testMember) {
		member.SetCampaignAllowed(false)
		member.SetCampaignAllowed(true)
	}, true),
)

var _ = ginkgo.Describe("an election", func() {
	var g *group
	ginkgo.BeforeEach(func() { g = newGroup(memberList(1, 2, 3)...) })

	ginkgo.It("starts between one and two election timeouts after the last contact with a leader", func() {
		started := g.now
		for _, member := range g.members {
			Expect(member.NextDeadline()).To(BeNumerically(">=", started+electionTimeout))
			Expect(member.NextDeadline()).To(BeNumerically("<", started+2*electionTimeout))
		}
	})

	ginkgo.It("requests votes only after the candidate's own vote is on disk", func() {
		candidate := g.member(1)
		candidate.diskPaused = true
		g.runElection(candidate)
		Expect(candidate.role).To(Equal(roleCandidate))
		Expect(g.countSent(MessageVote)).To(BeZero())
		g.syncDisk(candidate)
		g.deliverAll()
		Expect(candidate.Status().IsLeader).To(BeTrue())
	})

	ginkgo.It("gets each vote only after that is on the voter's disk", func() {
		g.member(2).diskPaused = true
		g.member(3).diskPaused = true
		candidate := g.member(1)
		g.runElection(candidate)
		Expect(g.countSent(MessageVoteResponse)).To(BeZero())
		g.syncDisk(g.member(3))
		g.deliverAll()
		Expect(candidate.Status().IsLeader).To(BeTrue())
	})

	ginkgo.It("requests votes again if the first requests were lost", func() {
		candidate := g.member(1)
		g.drop = from(1)
		g.runElection(candidate)
		g.drop = nil
		g.now = candidate.NextDeadline()
		Expect(g.now).To(BeNumerically("<", candidate.electionDeadline))
		candidate.Tick(g.now)
		g.deliverAll()
		Expect(candidate.Status().Ready).To(BeTrue())
	})

	ginkgo.It("starts no new term while a majority has contact with the leader", func() {
		g.elect(1)
		g.drop = fromOrTo(3)
		g.elapse(5 * electionTimeout)
		Expect(g.member(3).term).To(Equal(uint64(1)))
		g.drop = nil
		g.elapse(3 * heartbeatInterval)
		Expect(g.member(1).Status().Ready).To(BeTrue())
		Expect(g.member(3).Status().Leader).To(Equal(MemberID(1)))
	})

	ginkgo.It("replaces a leader without contact with a quorum, and that leader steps down", func() {
		g.elect(1)
		g.drop = fromOrTo(1)
		g.elapse(electionTimeout + heartbeatInterval)
		Expect(g.member(1).Status().IsLeader).To(BeFalse())
		g.elapse(2 * electionTimeout)
		Expect(g.member(2).Status().Ready || g.member(3).Status().Ready).To(BeTrue())
	})

	ginkgo.It("is held in a later term than any member has entered", func() {
		g.elect(1)
		g.member(3).becomeFollower(7, None)
		g.elapse(3 * electionTimeout)
		Expect(g.member(1).term).To(BeNumerically(">", 7))
		Expect(g.member(3).Status().Leader).NotTo(Equal(None))
	})

	ginkgo.It("ends when the candidate is no longer allowed to campaign", func() {
		candidate := g.member(1)
		candidate.diskPaused = true
		g.runElection(candidate)
		candidate.SetCampaignAllowed(false)
		Expect(candidate.role).To(Equal(roleFollower))
	})

	ginkgo.It("can follow a restart after a torn write: the member is in the term of its newest entry, and has not voted in it", func() {
		torn := g.add(9, Restored{HardState: HardState{Term: 2, Vote: 1}, Entries: entriesOf(1, 1, 3)})
		Expect(torn.term).To(Equal(uint64(3)))
		Expect(torn.vote).To(Equal(None))
	})
})

var _ = ginkgo.Describe("the only voter of a group", func() {
	ginkgo.It("leads at once, but commits and sends nothing before the first entry of its term is on its disk", func() {
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

	ginkgo.It("commits nothing while only entries of earlier terms are on its disk", func() {
		g := &group{now: time.Minute}
		alone := g.add(1, Restored{Snapshot: &Snapshot{Members: memberList(1)}, Entries: entriesOf(1, 1)})
		alone.diskPaused = true
		g.runElection(alone)
		alone.Persisted(g.now, 1, 1)
		Expect(alone.Status().Commit).To(BeZero())
	})

	ginkgo.It("confirms its leadership at once", func() {
		g := newGroup(memberList(1)...)
		alone := g.elect(1)
		g.now += 3 * time.Millisecond
		alone.ConfirmLeadership(g.now)
		Expect(alone.Status().ConfirmedAt).To(Equal(g.now))
	})
})
