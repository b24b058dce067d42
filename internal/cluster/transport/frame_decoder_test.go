package transport

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The frame decoder", func() {
	// stream returns the bytes that a client sends: a greeting, the description of a type, two requests and a ping.
	stream := func() []byte {
		out := newSendQueue(DefaultMaxFrameBytes, DefaultMaxQueueBytes, time.Second, "norte-1", func() {})
		for id := range uint64(2) {
			_, err := out.enqueue(header{kind: frameRequest, id: id}, &notice{Text: "text", Inner: inner{Values: []int{1, 2, 300}}})
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := out.enqueue(header{kind: framePing}, nil)
		Expect(err).NotTo(HaveOccurred())
		return out.pending
	}

	// read decodes a stream until its end or the first error, and returns the values of the requests.
	read := func(data []byte) []notice {
		var got []notice
		in := newFrameDecoder(bytes.NewReader(data), 10000)
		if _, err := in.greeting(); err != nil {
			return got
		}
		for {
			h, err := in.next()
			if err != nil {
				return got
			}
			var value notice
			if h.kind == frameRequest {
				err = in.value(&value)
				got = append(got, value)
			} else {
				err = in.skip()
			}
			if err != nil {
				return got
			}
		}
	}

	It("decodes what a send queue encoded", func() {
		expected := notice{Text: "text", Inner: inner{Values: []int{1, 2, 300}}}
		Expect(read(stream())).To(Equal([]notice{expected, expected}))
	})

	It("does not panic if any one byte is wrong", func() {
		complete := stream()
		for position := range complete {
			for _, wrong := range []byte{0, 1, 0x7f, 0x80, 0xff, ^complete[position]} {
				corrupted := bytes.Clone(complete)
				corrupted[position] = wrong
				Expect(func() { read(corrupted) }).NotTo(Panic(), "byte %d is %#x", position, wrong)
			}
		}
	})

	It("does not panic if the stream is truncated at any byte", func() {
		complete := stream()
		for position := range complete {
			Expect(func() { read(complete[:position]) }).NotTo(Panic(), "truncated at %d", position)
		}
	})
})
