package configuration

import (
	"bytes"
	"encoding/gob"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

var _ = Describe("a state's digest", func() {
	moved := aRoute("r-1", "one.example", "/one/", "b")
	full := func() *State {
		return stateWith(replace(0, configurationOf(5, routeOne, routeTwo)),
			update(5, `{"version":6,"upsert":{"routes":[`+moved+`]}}`),
			update(6, `{"version":8,"remove":{"routes":["r-2"]}}`))
	}

	It("is the same after the same commands, and after a restore from a snapshot", func() {
		state := full()
		Expect(state.Execute(update(20, `{"version":21}`)).Kind).To(Equal(failure.Conflict))
		Expect(state.Digest()).NotTo(Equal(full().Digest()), "the early command is remembered")
		Expect(full().Digest()).To(Equal(full().Digest()))
		Expect(restoredCopy(state).Digest()).To(Equal(state.Digest()))
	})

	It("doesn't depend on the types that the process has encoded before", func() {
		before := full().Digest()
		type another struct{ A, B int }
		Expect(gob.NewEncoder(&bytes.Buffer{}).Encode(another{1, 2})).To(Succeed())
		Expect(full().Digest()).To(Equal(before))
	})

	DescribeTable("differs between two states that differ in",
		func(change func(state *State)) {
			state := full()
			change(state)
			Expect(state.Digest()).NotTo(Equal(full().Digest()))
		},
		Entry("the version", func(s *State) { s.document.version++ }),
		Entry("a route", func(s *State) { s.Execute(update(8, `{"version":9,"upsert":{"routes":[`+routeTwo+`]}}`)) }),
		Entry("another section", func(s *State) { s.document.sections[len(s.document.sections)-1].raw = []byte(`{}`) }),
		Entry("the earlier services of a queue", func(s *State) { s.document.queues[0].earlierServices = nil }),
		Entry("the queues without a route", func(s *State) { s.document.droppedQueues = nil }),
		Entry("the commands that are remembered", func(s *State) { s.accepted = s.accepted[1:] }),
		Entry("the content of a command that is remembered", func(s *State) { s.accepted[0].Digest[0]++ }),
	)
})
