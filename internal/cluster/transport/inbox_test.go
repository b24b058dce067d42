package transport

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The incoming half", func() {
	// stream returns what a client sends: a greeting, types, two calls and a ping.
	stream := func() []byte {
		out := newOutbox(DefaultMaxFrameBytes, DefaultMaxQueueBytes, time.Second, "norte-1", func() {})
		for id := range uint64(2) {
			_, err := out.put(header{kind: frameRequest, id: id}, &notice{Text: "text", Inner: inner{Values: []int{1, 2, 300}}})
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := out.put(header{kind: framePing}, nil)
		Expect(err).NotTo(HaveOccurred())
		return out.pending
	}

	// read reads a stream to its end and returns the calls' values.
	read := func(data []byte) []notice {
		var got []notice
		in := newInbox(bytes.NewReader(data), 10000)
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

	It("reads what was written", func() {
		expected := notice{Text: "text", Inner: inner{Values: []int{1, 2, 300}}}
		Expect(read(stream())).To(Equal([]notice{expected, expected}))
	})

	It("does not panic whichever byte is wrong", func() {
		complete := stream()
		for position := range complete {
			for _, wrong := range []byte{0, 1, 0x7f, 0x80, 0xff, ^complete[position]} {
				spoiled := bytes.Clone(complete)
				spoiled[position] = wrong
				Expect(func() { read(spoiled) }).NotTo(Panic(), "byte %d is %#x", position, wrong)
			}
		}
	})

	It("does not panic wherever it is truncated", func() {
		complete := stream()
		for position := range complete {
			Expect(func() { read(complete[:position]) }).NotTo(Panic(), "truncated at %d", position)
		}
	})
})
