package control

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

var _ = DescribeTable("an order that is tried more than once",
	func(tries []failure.Kind, outcome failure.Kind) {
		next := 0
		try := func() (*protocol.ConfigureResponse, error) {
			kind := tries[next]
			next++
			if kind == failure.None {
				return &protocol.ConfigureResponse{Version: 7}, nil
			}
			return nil, failure.New(kind, "a try")
		}
		response, err := untilClear(try, func() bool { return next < len(tries) })
		Expect(failure.KindOf(err)).To(Equal(outcome))
		Expect(response != nil).To(Equal(outcome == failure.None))
		Expect(next).To(Equal(len(tries)), "no try is made after a clear answer, and none is spared before")
	},
	Entry("taken at last", []failure.Kind{failure.NotLeader, failure.UnknownOutcome, failure.Unavailable, failure.None}, failure.None),
	Entry("refused by the log after a doubt: the log has decided", []failure.Kind{failure.UnknownOutcome, failure.Conflict}, failure.Conflict),
	Entry("invalid after a doubt", []failure.Kind{failure.UnknownOutcome, failure.Invalid}, failure.Invalid),
	Entry("no room for a later try says nothing of the first", []failure.Kind{failure.UnknownOutcome, failure.Overloaded}, failure.UnknownOutcome),
	Entry("no room from the start", []failure.Kind{failure.NotLeader, failure.Overloaded}, failure.Overloaded),
	Entry("in doubt, then no leader", []failure.Kind{failure.UnknownOutcome, failure.NotLeader}, failure.UnknownOutcome),
	Entry("no link that can carry it says nothing of an earlier try", []failure.Kind{failure.UnknownOutcome, failure.TooLarge}, failure.UnknownOutcome),
	Entry("no link that can carry it: the owner itself may take it", []failure.Kind{failure.TooLarge, failure.None}, failure.None),
	Entry("no leader", []failure.Kind{failure.NotLeader, failure.NotLeader}, failure.Unavailable),
	Entry("forgotten", []failure.Kind{failure.UnknownOutcome, failure.Forgotten}, failure.Forgotten),
)

var _ = Describe("the time of one try", func() {
	It("leaves a large order the time that its bytes need, within the time of the whole", func() {
		const large = 5 << 20
		Expect(attemptTimeFor(0)).To(Equal(attemptTime))
		Expect(attemptTimeFor(large)).To(BeNumerically(">", 2*time.Second))
		Expect(attemptTimeFor(large)).To(BeNumerically("<", orderTime(large)))
	})
})
