package control

import (
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/fixturetest"
)

var _ = Describe("the requests that a control process serves", func() {
	It("have a fixture each, of what an earlier version sent", func() {
		endpoints := (&Control{}).newEndpoints()
		Expect(endpoints).NotTo(BeEmpty())
		for i := range endpoints {
			name := endpoints[i].request.Elem().String()
			Expect(filepath.Join("../transport", fixturetest.Path(name))).To(BeARegularFile())
		}
	})
})
