package control

import (
	"path"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The fixtures of package transport (its fixtures_test.go) cover the messages of the two packages below. A request type of
// another package would have no fixture that guards its encoding.
var _ = Describe("The requests that a control process serves", func() {
	It("are messages of the packages for which there are fixtures", func() {
		endpoints := (&Control{}).newEndpoints()
		Expect(endpoints).NotTo(BeEmpty())
		for i := range endpoints {
			declared := path.Base(endpoints[i].request.Elem().PkgPath())
			Expect(declared).To(BeElementOf("protocol", "administration"), "%v", endpoints[i].request)
		}
	})
})
