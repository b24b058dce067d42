package configuration

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
)

// outcome is a command and what must become of it.
type outcome struct {
	command Command
	kind    failure.Kind
	version uint64
}

var _ = DescribeTable("orders one after the other",
	func(outcomes ...outcome) {
		state := NewState()
		for i, each := range outcomes {
			result := state.Execute(each.command)
			Expect(result.Kind).To(Equal(each.kind), "order %d: %s", i, result.Message)
			Expect(result.Version).To(Equal(each.version), "order %d", i)
		}
	},
	Entry("the first, resent until it is taken",
		outcome{replace(0, whole(5, routeOne)), failure.None, 5},
		outcome{replace(0, whole(5, routeOne)), failure.None, 5},
		outcome{replace(0, whole(5, routeOne)), failure.None, 5}),
	Entry("the first built on something",
		outcome{replace(3, whole(5, routeOne)), failure.Conflict, 0},
		outcome{update(0, `{"version":1}`), failure.None, 1}),
	Entry("two operators on one version: the first wins",
		outcome{replace(0, whole(5, routeOne)), failure.None, 5},
		outcome{replace(5, whole(7, routeOne, routeTwo)), failure.None, 7},
		outcome{replace(5, whole(8, routeTwo)), failure.Conflict, 7},
		outcome{replace(5, whole(7, routeOne, routeTwo)), failure.None, 7}),
	Entry("two operators on one version, with the same number",
		outcome{replace(0, whole(5, routeOne)), failure.None, 5},
		outcome{update(5, `{"version":7,"remove":{"routes":["r-1"]}}`), failure.None, 7},
		outcome{replace(5, whole(7, routeTwo)), failure.Conflict, 7},
		outcome{update(5, `{"version":7,"remove":{"routes":["r-1"]}}`), failure.None, 7}),
	Entry("an order resent after others",
		outcome{replace(0, whole(5, routeOne)), failure.None, 5},
		outcome{update(5, `{"version":7}`), failure.None, 7},
		outcome{update(7, `{"version":9}`), failure.None, 9},
		outcome{update(5, `{"version":7}`), failure.None, 7},
		outcome{replace(0, whole(5, routeOne)), failure.None, 5}),
	Entry("an order resent with other spaces",
		outcome{replace(0, whole(5, routeOne)), failure.None, 5},
		outcome{update(5, `{"version":7, "remove" : {}}`), failure.None, 7},
		outcome{update(5, `{"version":7,"remove":{}}`), failure.None, 7}),
	Entry("the same body as the other kind of change, or on another version",
		outcome{replace(0, whole(5, routeOne)), failure.None, 5},
		outcome{update(0, whole(5, routeOne)), failure.Conflict, 5},
		outcome{replace(5, whole(5, routeOne)), failure.Invalid, 5},
		outcome{replace(4, whole(5, routeOne)), failure.Conflict, 5}),
	Entry("built on a version to come",
		outcome{replace(0, whole(5, routeOne)), failure.None, 5},
		outcome{replace(6, whole(7, routeOne)), failure.Conflict, 5}),
	Entry("stale and invalid",
		outcome{replace(0, whole(5, routeOne)), failure.None, 5},
		outcome{replace(1, `{`), failure.Conflict, 5}),
	Entry("an invalid order leaves room for a right one",
		outcome{replace(0, `{"version":1`), failure.Invalid, 0},
		outcome{replace(0, whole(5, routeOne)), failure.None, 5},
		outcome{replace(5, whole(6, aRoute("r", "h", "/", "?"))), failure.Invalid, 5},
		outcome{replace(5, whole(6, routeOne)), failure.None, 6}),
	Entry("no kind of change",
		outcome{Command{Kind: "erase", Body: []byte(`{"version":1}`)}, failure.Invalid, 0}),
)

var _ = Describe("the state machine", func() {
	It("has the form that a replica wants", func() {
		state := NewState()
		data, err := EncodeCommand(replace(0, whole(5, routeOne)))
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Apply(1, 1, data)).To(Equal(Result{Version: 5}))
		refused, ok := state.Apply(2, 1, []byte("garbage")).(Result)
		Expect(ok).To(BeTrue())
		Expect(failure.KindOf(refused.Err())).To(Equal(failure.Invalid))
		Expect(Result{Version: 5}.Err()).To(Succeed())
	})

	It("comes back from a snapshot with all it knew", func() {
		moved := aRoute("r-1", "one.example", "/one/", "b")
		state := standard()
		Expect(state.Execute(update(5, `{"version":6,"upsert":{"routes":[`+moved+`]}}`)).Kind).To(Equal(failure.None))
		Expect(state.Execute(update(6, `{"version":8,"remove":{"routes":["r-2"]}}`)).Kind).To(Equal(failure.None))
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())

		restored := NewState()
		Expect(restored.Restore(data)).To(Succeed())
		Expect(string(restored.Document().JSON())).To(Equal(string(state.Document().JSON())))
		Expect(restored.Document().Limits().GetMaxBodyBytes()).To(Equal(int64(262144)))
		Expect(restored.Document().EarlierServices("one.example/one/")).To(Equal([]string{"a"}))
		Expect(restored.Document().EarlierServices("one.example/two/")).To(Equal([]string{"b"}))
		Expect(restored.Execute(replace(0, whole(5, routeOne, routeTwo)))).To(Equal(Result{Version: 5}))
		Expect(restored.Execute(replace(0, whole(5, routeOne))).Kind).To(Equal(failure.Conflict))
		again, err := restored.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(data))
	})

	It("keeps its state where a snapshot cannot be read", func() {
		state := standard()
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Restore(data[:len(data)/2])).NotTo(Succeed())
		Expect(state.Restore(nil)).NotTo(Succeed())
		Expect(state.Document().Version()).To(Equal(uint64(5)))
	})

	It("refuses a snapshot of a format to come", func() {
		state := standard()
		document := state.document.image()
		document.Format = imageFormat + 1
		_, err := document.document(noDocument)
		Expect(err).To(MatchError(ContainSubstring("format")))
	})

	It("remembers the newest orders only, and refuses none that it may have taken", func() {
		state := stateWith(update(0, `{"version":1}`))
		for version := uint64(1); version <= takenOrders; version++ {
			Expect(state.Execute(step(version)).Kind).To(Equal(failure.None))
		}
		Expect(state.taken).To(HaveLen(takenOrders))
		Expect(state.Execute(update(0, `{"version":1}`)).Kind).To(Equal(failure.Forgotten))
		Expect(state.Execute(update(0, `{"version":2}`)).Kind).To(Equal(failure.Forgotten), "nor one that was refused")
		Expect(state.Execute(step(1))).To(Equal(Result{Version: 2}))
		Expect(state.Execute(update(1, `{"version":3}`)).Kind).To(Equal(failure.Conflict))
		Expect(answers.To(failure.Forgotten).Status).To(BeNumerically(">=", 500), "no final answer")
	})

	It("takes no update that makes it too large for one message", func() {
		state := standard()
		note := func(base uint64, section string) Command {
			return update(base, fmt.Sprintf(`{"version":%d,"upsert":{"%s":%q}}`, base+1, section, strings.Repeat("x", 3<<20)))
		}
		for i, section := range []string{"one", "two", "three"} {
			Expect(state.Execute(note(uint64(5+i), section)).Kind).To(Equal(failure.None))
		}
		before := string(state.Document().JSON())
		refused := state.Execute(note(8, "four"))
		Expect(refused.Kind).To(Equal(failure.Invalid))
		Expect(refused.Version).To(Equal(uint64(8)))
		Expect(state.Execute(note(8, "four")).Kind).To(Equal(failure.Invalid), "whenever it comes")
		Expect(string(state.Document().JSON())).To(Equal(before))
		Expect(state.Execute(step(8)).Kind).To(Equal(failure.None))
		whole, err := state.Since(0, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(whole)).To(BeNumerically("<", documentBytes+1<<20))
	})
})
