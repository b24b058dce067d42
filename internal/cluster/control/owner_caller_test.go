package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("The outcome of a change that is attempted repeatedly is",
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
		Expect(next).To(Equal(len(attempts)), "number of attempts: none after the outcome is final, and none is left out before")
	},
	Entry("that of the attempt which was applied", []failure.Kind{failure.NotLeader, failure.UnknownOutcome, failure.Unavailable, failure.None}, failure.None),
	Entry("Conflict if the log rejected an attempt after one with an unknown outcome", []failure.Kind{failure.UnknownOutcome, failure.Conflict}, failure.Conflict),
	Entry("Invalid if the log rejected an attempt after one with an unknown outcome", []failure.Kind{failure.UnknownOutcome, failure.Invalid}, failure.Invalid),
	Entry("unknown if the owner was overloaded after an attempt with an unknown outcome", []failure.Kind{failure.UnknownOutcome, failure.Overloaded}, failure.UnknownOutcome),
	Entry("Overloaded if no attempt had an unknown outcome before", []failure.Kind{failure.NotLeader, failure.Overloaded}, failure.Overloaded),
	Entry("unknown if there was no leader after an attempt with an unknown outcome", []failure.Kind{failure.UnknownOutcome, failure.NotLeader}, failure.UnknownOutcome),
	Entry("unknown if a connection could not carry the request after an attempt with an unknown outcome", []failure.Kind{failure.UnknownOutcome, failure.TooLarge}, failure.UnknownOutcome),
	Entry("that of the owner after a connection could not carry the request", []failure.Kind{failure.TooLarge, failure.None}, failure.None),
	Entry("Unavailable if there was no leader in any attempt", []failure.Kind{failure.NotLeader, failure.NotLeader}, failure.Unavailable),
	Entry("Forgotten if the log no longer knows whether the change was applied", []failure.Kind{failure.UnknownOutcome, failure.Forgotten}, failure.Forgotten),
)

var _ = Describe("The timeout of one attempt", func() {
	It("grows with the size of the change and stays below the timeout of the request", func() {
		const large = 5 << 20
		Expect(attemptTimeoutFor(0)).To(Equal(attemptTimeout))
		Expect(attemptTimeoutFor(large)).To(BeNumerically(">", 2*time.Second))
		Expect(attemptTimeoutFor(large)).To(BeNumerically("<", changeTimeout(large)))
	})
})
