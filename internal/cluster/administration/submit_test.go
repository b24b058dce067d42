package administration

import (
	"errors"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

var _ = ginkgo.DescribeTable("the outcome of attempts that are repeated until one decides, if they are",
	func(outcomes []failure.Kind, waits int, kind failure.Kind, attempts int) {
		attempted := 0
		err := retryUntilDecided(
			func() error {
				outcome := outcomes[min(attempted, len(outcomes)-1)]
				attempted++
				if outcome == failure.None {
					return nil
				}
				return failure.New(outcome, "no")
			},
			func() bool {
				waits--
				return waits >= 0
			},
		)
		Expect(failure.KindOf(err)).To(Equal(kind))
		Expect(attempted).To(Equal(attempts))
	},
	ginkgo.Entry("accepted at once", []failure.Kind{failure.None}, 5, failure.None, 1),
	ginkgo.Entry("accepted later", []failure.Kind{failure.Unavailable, failure.NotLeader, failure.Stale, failure.Moved, failure.None}, 5, failure.None, 5),
	ginkgo.Entry("rejected", []failure.Kind{failure.Overloaded}, 5, failure.Overloaded, 1),
	ginkgo.Entry("rejected later", []failure.Kind{failure.Unavailable, failure.Invalid}, 5, failure.Invalid, 2),
	ginkgo.Entry("rejected for lack of an owner each time", []failure.Kind{failure.NotLeader}, 3, failure.NotLeader, 4),
	ginkgo.Entry("of unknown outcome each time", []failure.Kind{failure.UnknownOutcome}, 3, failure.UnknownOutcome, 4),
	ginkgo.Entry("of unknown outcome, then accepted", []failure.Kind{failure.UnknownOutcome, failure.None}, 3, failure.None, 2),
	ginkgo.Entry("of unknown outcome, then rejected", []failure.Kind{failure.UnknownOutcome, failure.Overloaded}, 3, failure.UnknownOutcome, 2),
	ginkgo.Entry("of unknown outcome, then rejected for lack of an owner", []failure.Kind{failure.UnknownOutcome, failure.NotLeader}, 2, failure.UnknownOutcome, 3),
	ginkgo.Entry("unavailable, without time for a second one", []failure.Kind{failure.Unavailable}, 0, failure.Unavailable, 1),
)

var _ = ginkgo.DescribeTable("the error in a response of the frontend, if it has",
	func(status int, body string, kind failure.Kind, message string) {
		recorder := responseRecorder{status: status}
		_, _ = recorder.Write([]byte(body))
		err := recorder.err()
		Expect(failure.KindOf(err)).To(Equal(kind))
		if kind == failure.None {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		var known *failure.Error
		Expect(errors.As(err, &known)).To(BeTrue())
		Expect(known.Message).To(ContainSubstring(message))
	},
	ginkgo.Entry("a status of success", 200, "{}", failure.None, ""),
	ginkgo.Entry("a kind of error", 429, `{"error":"overloaded","message":"overloaded: full"}`, failure.Overloaded, "full"),
	ginkgo.Entry("the kind of an unknown outcome", 504, `{"error":"unknown_outcome","message":"cut"}`, failure.UnknownOutcome, "cut"),
	ginkgo.Entry("a kind that doesn't exist", 418, `{"error":"teapot","message":"short and stout"}`, failure.UnknownOutcome, "short and stout"),
	ginkgo.Entry("no body", 500, "", failure.UnknownOutcome, "the frontend's response has status 500"),
)
