package transport

import (
	"bytes"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

var _ = Describe("Headers", func() {
	DescribeTable("are read as they were written",
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
		Entry("cancelled", header{kind: frameVoid}),
		Entry("a type", header{kind: frameDefine, number: 300, name: "protocol.WatchRequest"}),
		Entry("a call", header{kind: frameRequest, id: 1 << 40, number: 2, remainingMs: 600}),
		Entry("a message", header{kind: frameMessage, number: 1}),
		Entry("a response", header{kind: frameResponse, id: 9, number: 4}),
		Entry("an error", header{kind: frameFailure, id: 9,
			failure: &failure.Error{Kind: failure.NotLeader, Message: "elsewhere", Leader: "10.0.0.1:7400"}}),
		Entry("a ping", header{kind: framePing}),
		Entry("a pong", header{kind: framePong}),
	)

	It("truncate texts that are too long", func() {
		given := header{kind: frameFailure, failure: &failure.Error{Message: strings.Repeat("x", maxTextBytes+1)}}
		got, err := readHeader(bytes.NewReader(given.append(nil)))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.failure.Message).To(HaveLen(maxTextBytes))
	})
})
