package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("a change that is attempted more than once",
	func(attempts []failure.Kind, outcome failure.Kind) {
		next := 0
		attempt := func() (*protocol.ConfigureResponse, error) {
			kind := attempts[next]
			next++
			if kind == failure.None {
				return &protocol.ConfigureResponse{Version: 7}, nil
			}
			return nil, failure.New(kind, "an attempt")
		}
		response, err := retryUntilDecided(attempt, func() bool { return next < len(attempts) })
		Expect(failure.KindOf(err)).To(Equal(outcome))
		Expect(response != nil).To(Equal(outcome == failure.None))
		Expect(next).To(Equal(len(attempts)), "there is no attempt after the outcome is known, and none is skipped before")
	},
	Entry("applied in the end", []failure.Kind{failure.NotLeader, failure.UnknownOutcome, failure.Unavailable, failure.None}, failure.None),
	Entry("rejected by the log after an unknown outcome: the log has decided", []failure.Kind{failure.UnknownOutcome, failure.Conflict}, failure.Conflict),
	Entry("invalid after an unknown outcome", []failure.Kind{failure.UnknownOutcome, failure.Invalid}, failure.Invalid),
	Entry("an overloaded owner says nothing of an earlier attempt", []failure.Kind{failure.UnknownOutcome, failure.Overloaded}, failure.UnknownOutcome),
	Entry("an overloaded owner at the first attempt", []failure.Kind{failure.NotLeader, failure.Overloaded}, failure.Overloaded),
	Entry("an unknown outcome, then no leader", []failure.Kind{failure.UnknownOutcome, failure.NotLeader}, failure.UnknownOutcome),
	Entry("a link that cannot carry it says nothing of an earlier attempt", []failure.Kind{failure.UnknownOutcome, failure.TooLarge}, failure.UnknownOutcome),
	Entry("a link that cannot carry it: the owner itself may accept it", []failure.Kind{failure.TooLarge, failure.None}, failure.None),
	Entry("no leader", []failure.Kind{failure.NotLeader, failure.NotLeader}, failure.Unavailable),
	Entry("forgotten", []failure.Kind{failure.UnknownOutcome, failure.Forgotten}, failure.Forgotten),
)

var _ = Describe("the timeout of one attempt", func() {
	It("grows with the size of a change, and stays within the timeout of the request", func() {
		const large = 5 << 20
		Expect(attemptTimeoutFor(0)).To(Equal(attemptTimeout))
		Expect(attemptTimeoutFor(large)).To(BeNumerically(">", 2*time.Second))
		Expect(attemptTimeoutFor(large)).To(BeNumerically("<", changeTimeout(large)))
	})
})
