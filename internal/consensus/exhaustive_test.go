package consensus

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.DescribeTable("three members, every order of steps",
	func(limits bounds) {
		limits.states = 200_000
		broken, visited := explore(limits)
		if broken != nil {
			ginkgo.Fail(fmt.Sprintf("%s after %v", broken.broken, broken.path))
		}
		Expect(visited).To(BeNumerically("<", limits.states), "the exploration is not complete")
	},
	ginkgo.Entry("two terms", bounds{terms: 2}),
	ginkgo.Entry("two terms, two proposals", bounds{terms: 2, proposals: 2}),
	ginkgo.Entry("three terms", bounds{terms: 3}),
	ginkgo.Entry("two terms, a restart that loses what was not synced", bounds{terms: 2, crashes: 1, late: true}),
	ginkgo.Entry("two terms, a lost disk", bounds{terms: 2, losses: 1}),
	ginkgo.Entry("two terms, a lost disk, a restart", bounds{terms: 2, losses: 1, crashes: 1}),
)
