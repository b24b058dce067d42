package transport

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

var _ = Describe("The header of a frame", func() {
	DescribeTable("is decoded as it was encoded, and fails to decode if it is truncated",
		func(given header) {
			written := given.append(nil)
			got, err := readHeader(bytes.NewReader(written))
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(given))
			for length := range written {
				_, err := readHeader(bytes.NewReader(written[:length]))
				Expect(err).To(HaveOccurred(), "truncated at %d", length)
			}
		},
		Entry("of a canceled request", header{kind: frameCanceled}),
		Entry("that describes a type", header{kind: frameDefine, typeNumber: 300, name: "protocol.WatchRequest"}),
		Entry("of a request", header{kind: frameRequest, id: 1 << 40, typeNumber: 2, remainingMs: 600}),
		Entry("of a one-way message", header{kind: frameMessage, typeNumber: 1}),
		Entry("of a response", header{kind: frameResponse, id: 9, typeNumber: 4}),
		Entry("of an error", header{kind: frameFailure, id: 9,
			failure: &failure.Error{Kind: failure.NotLeader, Message: "elsewhere", Leader: "10.0.0.1:7400"}}),
		Entry("of a ping", header{kind: framePing}),
		Entry("of a pong", header{kind: framePong}),
	)

	It("has its texts truncated to maxTextBytes", func() {
		given := header{kind: frameFailure, failure: &failure.Error{Message: strings.Repeat("x", maxTextBytes+1)}}
		got, err := readHeader(bytes.NewReader(given.append(nil)))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.failure.Message).To(HaveLen(maxTextBytes))
	})
})
