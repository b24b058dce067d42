package configuration

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

// emptyUpdate returns the shortest update that leads from a version to the next.
func emptyUpdate(base uint64) Command { return update(base, fmt.Sprintf(`{"version":%d}`, base+1)) }

// acceptUpdates has a state accept a number of further commands.
func acceptUpdates(state *State, changes int) {
	GinkgoHelper()
	for range changes {
		Expect(state.Execute(emptyUpdate(state.Document().Version())).Kind).To(Equal(failure.None))
	}
}

// restoredCopy returns a copy of the state: another State restored from its snapshot.
func restoredCopy(state *State) *State {
	GinkgoHelper()
	data, err := state.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	restored := NewState()
	Expect(restored.Restore(data)).To(Succeed())
	return restored
}

var _ = Describe("a command that is resent", func() {
	moved := aRoute("r-1", "one.example", "/one/", "b")
	commands := map[string]Command{
		"a replacement": replace(5, configurationOf(7, routeOne)),
		"an update":     update(5, `{"version":7,"upsert":{"routes":[`+moved+`]}}`),
		"a removal":     update(5, `{"version":7,"remove":{"routes":["r-2"]}}`),
	}
	others := map[string]Command{
		"the same version, other content":           replace(5, configurationOf(7, routeTwo)),
		"another version, the same content":         replace(5, configurationOf(8, routeOne)),
		"the same body as the other kind":           update(5, configurationOf(7, routeOne, routeTwo)),
		"the same body on an older version":         replace(0, configurationOf(7, routeOne)),
		"an invalid command of the same version":    replace(5, configurationOf(7, aRoute("r", "h", "/", "?"))),
		"a command that can't be parsed":            replace(5, `{"version":7`),
		"other members, of the same version":        replace(5, `{"limits":`+someLimits+`,"version":7}`),
		"an unknown kind of change":                 {Kind: "erase", Base: 5, Body: []byte(configurationOf(7, routeOne))},
		"an update to a much later version":         update(5, `{"version":4000}`),
		"a removal of an item that doesn't exist":   update(5, `{"version":9,"remove":{"routes":["nobody"]}}`),
		"a command without a body":                  update(5, ``),
		"a version below the one it builds on":      update(5, `{"version":1}`),
		"an upsert that had no effect on version 5": update(5, `{"version":11,"upsert":{"routes":[`+routeOne+`]}}`),
		"a replacement by the content of version 5": replace(5, configurationOf(12, routeOne, routeTwo)),
	}
	for name, command := range commands {
		for _, changes := range []int{0, 1, 100, 2000, maxAcceptedCommands - 2} {
			It(fmt.Sprintf("is acknowledged and changes nothing: %s, after %d others", name, changes), func() {
				state := standardState()
				Expect(state.Execute(command)).To(Equal(Result{Version: 7}))
				acceptUpdates(state, changes)
				for _, each := range []*State{state, restoredCopy(state), restoredCopy(restoredCopy(state))} {
					before := string(each.Document().JSON())
					Expect(each.Execute(command)).To(Equal(Result{Version: 7}))
					for other, rejected := range others {
						result := each.Execute(rejected)
						Expect(result.Kind).To(Equal(failure.Conflict), other)
						Expect(result.Version).To(Equal(uint64(7+changes)), other)
					}
					Expect(each.Execute(command)).To(Equal(Result{Version: 7}))
					Expect(string(each.Document().JSON())).To(Equal(before))
				}
			})
		}
	}

	It("is acknowledged with other white space, but rejected with its members in another order", func() {
		state := standardState()
		Expect(state.Execute(update(5, `{"version":7,"remove":{"routes":["r-2"]}}`)).Kind).To(Equal(failure.None))
		acceptUpdates(state, 3)
		spaced := update(5, " {\n\t\"version\" : 7 ,\r\n \"remove\":{ \"routes\":[ \"r-2\" ] } }\n")
		Expect(state.Execute(spaced)).To(Equal(Result{Version: 7}))
		reordered := update(5, `{"remove":{"routes":["r-2"]},"version":7}`)
		Expect(state.Execute(reordered).Kind).To(Equal(failure.Conflict))
		inText := update(5, `{"version":7,"remove":{"routes":["r- 2"]}}`)
		Expect(state.Execute(inText).Kind).To(Equal(failure.Conflict), "white space within a string counts")
	})

	It("is acknowledged whichever operator sends it", func() {
		state := standardState()
		command := replace(5, configurationOf(7, routeTwo))
		Expect(state.Execute(command)).To(Equal(Result{Version: 7}))
		Expect(state.Execute(replace(5, configurationOf(7, routeTwo)))).To(Equal(Result{Version: 7}))
	})

	It("is rejected as a replacement with the same effect", func() {
		state := standardState()
		Expect(state.Execute(update(5, `{"version":7,"remove":{"routes":["r-2"]}}`)).Kind).To(Equal(failure.None))
		replacement := replace(5, string(state.Document().JSON()))
		Expect(state.Execute(replacement).Kind).To(Equal(failure.Conflict))
		acceptUpdates(state, 1)
		Expect(state.Execute(replacement).Kind).To(Equal(failure.Conflict))
	})

	It("is rejected on another base", func() {
		state := standardState()
		acceptUpdates(state, 2)
		for _, base := range []uint64{0, 1, 4, 6, 7} {
			Expect(state.Execute(update(base, `{"version":6}`)).Kind).NotTo(Equal(failure.None), "on %d", base)
		}
		Expect(state.Execute(update(5, `{"version":6}`))).To(Equal(Result{Version: 6}))
	})

	It("is never accepted if it was invalid, even if it would be valid on a later version", func() {
		state := standardState()
		needsLater := replace(5, configurationOf(7, aRoute("r-9", "h", "/", "c"))) // service c comes with the next change
		Expect(state.Execute(needsLater).Kind).To(Equal(failure.Invalid))
		addition := update(5, `{"version":6,"upsert":{"services":[{"name":"c"}]}}`)
		Expect(state.Execute(addition).Kind).To(Equal(failure.None))
		Expect(state.Execute(needsLater).Kind).To(Equal(failure.Conflict))
		acceptUpdates(state, 2)
		Expect(state.Execute(needsLater).Kind).To(Equal(failure.Conflict))
		Expect(restoredCopy(state).Execute(needsLater).Kind).To(Equal(failure.Conflict))
	})

	It("is never accepted if another command on its version was", func() {
		state := standardState()
		Expect(state.Execute(replace(5, configurationOf(7, routeOne))).Kind).To(Equal(failure.None))
		loser := replace(5, configurationOf(7, routeTwo))
		for range 3 {
			Expect(state.Execute(loser).Kind).To(Equal(failure.Conflict))
			state = restoredCopy(state)
			acceptUpdates(state, 1)
		}
		Expect(state.Execute(replace(5, configurationOf(7, routeOne)))).To(Equal(Result{Version: 7}))
	})

	It("is never accepted if it was rejected before its base existed", func() {
		state := standardState()
		early := update(7, `{"version":9}`)
		Expect(state.Execute(early).Kind).To(Equal(failure.Conflict))
		Expect(state.Execute(update(5, `{"version":7}`)).Kind).To(Equal(failure.None))
		for _, each := range []*State{state, restoredCopy(state)} {
			Expect(each.Execute(early).Kind).To(Equal(failure.Conflict), "a late duplicate")
			Expect(each.Execute(update(7, `{"version":10}`))).To(Equal(Result{Version: 10}), "another command on that version")
			Expect(each.Execute(early).Kind).To(Equal(failure.Conflict))
			Expect(each.early).To(BeEmpty())
		}
	})

	It("may be accepted later if it came before its base and was not remembered, since too many were", func() {
		state := standardState()
		for version := range uint64(maxEarlyCommands) {
			Expect(state.Execute(emptyUpdate(100 + version)).Kind).To(Equal(failure.Conflict))
		}
		late := update(6, `{"version":7}`)
		Expect(state.Execute(late).Kind).To(Equal(failure.Unavailable))
		Expect(state.early).To(HaveLen(maxEarlyCommands))
		Expect(state.Execute(emptyUpdate(100)).Kind).To(Equal(failure.Conflict), "one that is remembered")
		acceptUpdates(state, 1)
		Expect(state.Execute(late)).To(Equal(Result{Version: 7}))
	})

	It("is acknowledged only if it was the first of eight on one version", func() {
		state := standardState()
		var concurrent []Command
		for i := range 8 {
			concurrent = append(concurrent, replace(5, configurationOf(7, aRoute(fmt.Sprintf("r-%d", i), "h", "/", "a"))))
		}
		for round := range 4 {
			for i := range concurrent {
				at := (i + 3*round) % len(concurrent)
				result := state.Execute(concurrent[at])
				if at == 0 {
					Expect(result).To(Equal(Result{Version: 7}), "the first one, in round %d", round)
				} else {
					Expect(result.Kind).To(Equal(failure.Conflict), "command %d in round %d", at, round)
				}
			}
			if round > 0 {
				acceptUpdates(state, 1)
			}
		}
	})
})

var _ = Describe("random commands and their duplicates, in any order,", func() {
	It("are decided once: a later result of the same command neither accepts a rejected one nor rejects an accepted one", func() {
		random := rand.New(rand.NewPCG(5, 6))
		accepted := 0
		for range 300 {
			state := NewState()
			sent := []Command{emptyUpdate(0)}
			decided := map[commandKey]failure.Kind{}
			winners := map[uint64]commandKey{}
			for range 80 {
				command := sent[random.IntN(len(sent))]
				if random.IntN(2) == 0 {
					base := state.Document().Version() + uint64(random.IntN(4))
					base -= min(base, uint64(random.IntN(4)))
					command = update(base, fmt.Sprintf(`{"version":%d,"note":%d}`, base+uint64(random.IntN(4)), random.IntN(3)))
					sent = append(sent, command)
				}
				before := state.Document()
				result, key := state.Execute(command), keyOfCommand(command)
				kind, known := decided[key]
				switch {
				case result.Kind == failure.Unavailable:
					Expect(known).To(BeFalse(), "Unavailable is no result of a command that was decided")
				case known:
					Expect(result.Kind == failure.None).To(Equal(kind == failure.None), "%s on %d", command.Body, command.Base)
				default:
					decided[key] = result.Kind
				}
				if known || result.Kind != failure.None {
					Expect(state.Document()).To(BeIdenticalTo(before), "a duplicate or rejected command changes nothing")
				}
				if result.Kind == failure.None {
					winner, found := winners[command.Base]
					Expect(!found || winner == key).To(BeTrue(), "one command for each version")
					winners[command.Base] = key
				}
				if random.IntN(10) == 0 {
					state = restoredCopy(state)
				}
			}
			accepted += len(winners)
		}
		Expect(accepted).To(BeNumerically(">", 300*5), "the number of accepted commands in all rounds")
	})
})
