package configuration

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/fixturetest"
)

// content has the properties of a state or a document that the fixtures list. The digest covers the commands that are
// remembered and the services of all queues.
type content struct {
	Version uint64
	JSON    string
	Earlier []string // earlier services of a queue with a changed service, then of one without a route
	Digest  uint64
}

// contentOf returns the content of a state.
func contentOf(s *State) *content {
	document := s.Document()
	earlier := append(document.EarlierServices("one.example/one/"), document.EarlierServices("one.example/two/")...)
	return &content{Version: document.Version(), JSON: string(document.JSON()), Earlier: earlier, Digest: s.Digest()}
}

// contentOfDocument returns the content of a decoded document, or the error of its decoding.
func contentOfDocument(d *Document, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return contentOf(&State{document: d}), nil
}

// stateWithHistory returns a state with lists and other sections, a queue with a changed service, one without a route,
// accepted commands and an early one.
func stateWithHistory() *State {
	GinkgoHelper()
	state := standardState()
	moved := aRoute("r-1", "one.example", "/one/", "b")
	for _, command := range []Command{
		update(5, `{"version":6,"upsert":{"routes":[`+moved+`]}}`),
		update(6, `{"version":7,"remove":{"routes":["r-2"]},"upsert":{"unknown":{"kept":[1,2]},"others":[{"name":"x","n":1}]}}`),
	} {
		Expect(state.Execute(command).Kind).To(Equal(failure.None))
	}
	Expect(state.Execute(update(9, `{"version":10}`)).Kind).To(Equal(failure.Conflict))
	return state
}

var _ = Describe("data that the program wrote when the fixtures were made", func() {
	It("is read as a command", func() {
		fixturetest.Check(GinkgoTB(), "command", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				var written Command
				fixturetest.Fill(&written)
				data, err := EncodeCommand(written)
				return written, data, err
			},
			Decode: func(data []byte) (any, error) { return DecodeCommand(data) },
		})
	})

	It("is read as a snapshot", func() {
		fixturetest.Check(GinkgoTB(), "snapshot", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				state := stateWithHistory()
				data, err := state.Snapshot()
				return contentOf(state), data, err
			},
			Decode: func(data []byte) (any, error) {
				state := NewState()
				err := state.Restore(data)
				return contentOf(state), err
			},
		})
	})

	It("is read as a complete document", func() {
		fixturetest.Check(GinkgoTB(), "document", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				state := stateWithHistory()
				data, err := state.Since(0, false)
				if err != nil {
					return nil, nil, err
				}
				value, err := contentOfDocument(state.Document(), nil)
				return value, data, err
			},
			Decode: func(data []byte) (any, error) { return contentOfDocument(Decode(data)) },
		})
	})

	It("is read as changes", func() {
		fixturetest.Check(GinkgoTB(), "changes", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				state := stateWithHistory()
				data, err := state.Since(5, true)
				if err != nil {
					return nil, nil, err
				}
				value, err := contentOfDocument(state.Document(), nil)
				return value, data, err
			},
			Decode: func(data []byte) (any, error) { return contentOfDocument(Advance(standardState().Document(), data)) },
		})
	})
})
