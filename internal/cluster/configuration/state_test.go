package configuration

import (
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/failure/answers"
)

// outcome is a command and its expected result.
type outcome struct {
	command Command
	kind    failure.Kind
	version uint64
}

var _ = DescribeTable("the results of successive commands:",
	func(outcomes ...outcome) {
		state := NewState()
		for i, each := range outcomes {
			result := state.Execute(each.command)
			Expect(result.Kind).To(Equal(each.kind), "command %d: %s", i, result.Message)
			Expect(result.Version).To(Equal(each.version), "command %d", i)
		}
	},
	Entry("the first command is acknowledged each time it is resent",
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5},
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5},
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5}),
	Entry("the first command must build on version 0",
		outcome{replace(3, configurationOf(5, routeOne)), failure.Conflict, 0},
		outcome{update(0, `{"version":1}`), failure.None, 1}),
	Entry("of two commands on one version, the first is accepted",
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5},
		outcome{replace(5, configurationOf(7, routeOne, routeTwo)), failure.None, 7},
		outcome{replace(5, configurationOf(8, routeTwo)), failure.Conflict, 7},
		outcome{replace(5, configurationOf(7, routeOne, routeTwo)), failure.None, 7}),
	Entry("of two commands on one version that lead to the same version, the first is accepted",
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5},
		outcome{update(5, `{"version":7,"remove":{"routes":["r-1"]}}`), failure.None, 7},
		outcome{replace(5, configurationOf(7, routeTwo)), failure.Conflict, 7},
		outcome{update(5, `{"version":7,"remove":{"routes":["r-1"]}}`), failure.None, 7}),
	Entry("a command is acknowledged again after others were accepted",
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5},
		outcome{update(5, `{"version":7}`), failure.None, 7},
		outcome{update(7, `{"version":9}`), failure.None, 9},
		outcome{update(5, `{"version":7}`), failure.None, 7},
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5}),
	Entry("a command is acknowledged again with other white space",
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5},
		outcome{update(5, `{"version":7, "remove" : {}}`), failure.None, 7},
		outcome{update(5, `{"version":7,"remove":{}}`), failure.None, 7}),
	Entry("the same body is another command as the other kind of change, or on another version",
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5},
		outcome{update(0, configurationOf(5, routeOne)), failure.Conflict, 5},
		outcome{replace(5, configurationOf(5, routeOne)), failure.Invalid, 5},
		outcome{replace(4, configurationOf(5, routeOne)), failure.Conflict, 5}),
	Entry("a command on a version that doesn't exist yet is rejected",
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5},
		outcome{replace(6, configurationOf(7, routeOne)), failure.Conflict, 5}),
	Entry("an invalid command on an old version is in conflict",
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5},
		outcome{replace(1, `{`), failure.Conflict, 5}),
	Entry("a valid command is accepted after an invalid one on the same version",
		outcome{replace(0, `{"version":1`), failure.Invalid, 0},
		outcome{replace(0, configurationOf(5, routeOne)), failure.None, 5},
		outcome{replace(5, configurationOf(6, aRoute("r", "h", "/", "?"))), failure.Invalid, 5},
		outcome{replace(5, configurationOf(6, routeOne)), failure.None, 6}),
	Entry("a command of an unknown kind is invalid",
		outcome{Command{Kind: "erase", Body: []byte(`{"version":1}`)}, failure.Invalid, 0}),
)

var _ = Describe("the state machine", func() {
	It("executes the entries that a replica applies", func() {
		state := NewState()
		data, err := EncodeCommand(replace(0, configurationOf(5, routeOne)))
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Apply(1, 1, data)).To(Equal(Result{Version: 5}))
		rejected, ok := state.Apply(2, 1, []byte("garbage")).(Result)
		Expect(ok).To(BeTrue())
		Expect(failure.KindOf(rejected.Err())).To(Equal(failure.Invalid))
		Expect(Result{Version: 5}.Err()).To(Succeed())
	})

	It("restores all of its state from a snapshot", func() {
		moved := aRoute("r-1", "one.example", "/one/", "b")
		state := standardState()
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
		Expect(restored.Execute(replace(0, configurationOf(5, routeOne, routeTwo)))).To(Equal(Result{Version: 5}))
		Expect(restored.Execute(replace(0, configurationOf(5, routeOne))).Kind).To(Equal(failure.Conflict))
		second, err := restored.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(data))
	})

	It("keeps its state if a snapshot can't be decoded", func() {
		state := standardState()
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Restore(data[:len(data)/2])).NotTo(Succeed())
		Expect(state.Restore(nil)).NotTo(Succeed())
		Expect(state.Document().Version()).To(Equal(uint64(5)))
	})

	It("rejects a snapshot of a later format", func() {
		state := standardState()
		document := state.document.image()
		document.Format = imageFormat + 1
		_, err := document.document(emptyDocument)
		Expect(err).To(MatchError(ContainSubstring("format")))
	})

	It("remembers the newest accepted commands only, and gives no final answer to older ones", func() {
		state := stateWith(update(0, `{"version":1}`))
		for version := uint64(1); version <= maxAcceptedCommands; version++ {
			Expect(state.Execute(emptyUpdate(version)).Kind).To(Equal(failure.None))
		}
		Expect(state.accepted).To(HaveLen(maxAcceptedCommands))
		Expect(state.Execute(update(0, `{"version":1}`)).Kind).To(Equal(failure.Forgotten))
		Expect(state.Execute(update(0, `{"version":2}`)).Kind).To(Equal(failure.Forgotten), "one that was rejected")
		Expect(state.Execute(emptyUpdate(1))).To(Equal(Result{Version: 2}))
		Expect(state.Execute(update(1, `{"version":3}`)).Kind).To(Equal(failure.Conflict))
		Expect(answers.ForKind(failure.Forgotten).Status).To(BeNumerically(">=", 500), "not a final answer")
	})

	It("accepts no update that makes the document too large for one message", func() {
		state := standardState()
		largeUpdate := func(base uint64, section string) Command {
			return update(base, fmt.Sprintf(`{"version":%d,"upsert":{"%s":%q}}`, base+1, section, strings.Repeat("x", 3<<20)))
		}
		for i, section := range []string{"one", "two", "three"} {
			Expect(state.Execute(largeUpdate(uint64(5+i), section)).Kind).To(Equal(failure.None))
		}
		before := string(state.Document().JSON())
		rejected := state.Execute(largeUpdate(8, "four"))
		Expect(rejected.Kind).To(Equal(failure.Invalid))
		Expect(rejected.Version).To(Equal(uint64(8)))
		Expect(state.Execute(largeUpdate(8, "four")).Kind).To(Equal(failure.Invalid), "each time")
		Expect(string(state.Document().JSON())).To(Equal(before))
		Expect(state.Execute(emptyUpdate(8)).Kind).To(Equal(failure.None))
		complete, err := state.Since(0, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(complete)).To(BeNumerically("<", maxDocumentBytes+1<<20))
	})
})
