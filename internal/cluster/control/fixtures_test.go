package control

import (
	"path"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Package transport has fixtures of all messages of these packages, see its fixtures_test.go.
var _ = Describe("the requests that a control process serves", func() {
	It("are messages of which there are fixtures", func() {
		endpoints := (&Control{}).newEndpoints()
		Expect(endpoints).NotTo(BeEmpty())
		for i := range endpoints {
			declared := path.Base(endpoints[i].request.Elem().PkgPath())
			Expect(declared).To(BeElementOf("protocol", "administration"), "%v", endpoints[i].request)
		}
	})
})
