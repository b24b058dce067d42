package administration

import (
	"errors"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

var _ = ginkgo.DescribeTable("tries that are repeated",
	func(outcomes []failure.Kind, pauses int, kind failure.Kind, tries int) {
		tried := 0
		err := repeat(
			func() error {
				outcome := outcomes[min(tried, len(outcomes)-1)]
				tried++
				if outcome == failure.None {
					return nil
				}
				return failure.New(outcome, "no")
			},
			func() bool {
				pauses--
				return pauses >= 0
			},
		)
		Expect(failure.KindOf(err)).To(Equal(kind))
		Expect(tried).To(Equal(tries))
	},
	ginkgo.Entry("taken at once", []failure.Kind{failure.None}, 5, failure.None, 1),
	ginkgo.Entry("taken later", []failure.Kind{failure.Unavailable, failure.NotLeader, failure.Stale, failure.Moved, failure.None}, 5, failure.None, 5),
	ginkgo.Entry("refused", []failure.Kind{failure.Overloaded}, 5, failure.Overloaded, 1),
	ginkgo.Entry("refused later", []failure.Kind{failure.Unavailable, failure.Invalid}, 5, failure.Invalid, 2),
	ginkgo.Entry("never an owner", []failure.Kind{failure.NotLeader}, 3, failure.NotLeader, 4),
	ginkgo.Entry("always in doubt", []failure.Kind{failure.UnknownOutcome}, 3, failure.UnknownOutcome, 4),
	ginkgo.Entry("in doubt, then known", []failure.Kind{failure.UnknownOutcome, failure.None}, 3, failure.None, 2),
	ginkgo.Entry("in doubt, then refused", []failure.Kind{failure.UnknownOutcome, failure.Overloaded}, 3, failure.UnknownOutcome, 2),
	ginkgo.Entry("in doubt, then no owner", []failure.Kind{failure.UnknownOutcome, failure.NotLeader}, 2, failure.UnknownOutcome, 3),
	ginkgo.Entry("no time for a second try", []failure.Kind{failure.Unavailable}, 0, failure.Unavailable, 1),
)

var _ = ginkgo.DescribeTable("what a handler's answer tells",
	func(status int, body string, kind failure.Kind, message string) {
		got := answer{status: status}
		_, _ = got.Write([]byte(body))
		err := got.fault()
		Expect(failure.KindOf(err)).To(Equal(kind))
		if kind == failure.None {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		var known *failure.Error
		Expect(errors.As(err, &known)).To(BeTrue())
		Expect(known.Message).To(ContainSubstring(message))
	},
	ginkgo.Entry("taken", 200, "{}", failure.None, ""),
	ginkgo.Entry("a kind", 429, `{"error":"overloaded","message":"overloaded: full"}`, failure.Overloaded, "full"),
	ginkgo.Entry("a doubt", 504, `{"error":"unknown_outcome","message":"cut"}`, failure.UnknownOutcome, "cut"),
	ginkgo.Entry("an unknown kind", 418, `{"error":"teapot","message":"short and stout"}`, failure.UnknownOutcome, "short and stout"),
	ginkgo.Entry("no body", 500, "", failure.UnknownOutcome, "the answer is 500"),
)
