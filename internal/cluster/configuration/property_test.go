package configuration

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

// model is a simple form of a configuration to compare documents by: the JSON of the routes by name.
type model map[string]string

// randomCommand returns a random replacement or update on a version. Some are invalid: their version is not above base, they
// name an unknown service, or they have two routes of one name or queue.
func randomCommand(random *rand.Rand, base uint64) Command {
	draw := func() string {
		name := fmt.Sprintf("r-%d", random.IntN(8))
		prefix := fmt.Sprintf("/%d/", random.IntN(6))
		service := []string{"a", "b", "b", "gone"}[random.IntN(4)]
		return aRoute(name, fmt.Sprintf("h%d", random.IntN(2)), prefix, service)
	}
	var routes []string
	for range random.IntN(3) {
		routes = append(routes, draw())
	}
	version := base + uint64(random.IntN(6))
	if random.IntN(4) == 0 {
		return replace(base, configurationOf(int(version), routes...))
	}
	return update(base, fmt.Sprintf(`{"version":%d,"remove":{"routes":["r-%d"]},"upsert":{"routes":[%s]}}`,
		version, random.IntN(8), strings.Join(routes, ",")))
}

// modelOf returns the model of a document. It scans the document's JSON, and doesn't use the parser of commands.
func modelOf(document *Document) model {
	routes := model{}
	fields, _ := jsonObject(document.JSON())
	for _, f := range fields {
		if f.key != sectionRoutes {
			continue
		}
		elements, _ := jsonArray(f.value)
		for _, element := range elements {
			routes[itemName(element)] = string(element)
		}
	}
	return routes
}

var _ = Describe("random commands", func() {
	It("lead a replica that is restored from snapshots and a follower to the same document", func() {
		random := rand.New(rand.NewPCG(3, 4))
		for range 30 {
			state, restored := NewState(), NewState()
			follower := state.Document()
			accepted := 0
			for step := range 60 {
				command := randomCommand(random, state.Document().Version())
				result := state.Execute(command)
				Expect(restored.Execute(command)).To(Equal(result))
				if result.Kind != failure.None {
					Expect(result.Kind).To(Equal(failure.Invalid))
					continue
				}
				accepted++
				Expect(state.Execute(command)).To(Equal(result), "resent")
				snapshot, err := state.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				Expect(restored.Snapshot()).To(Equal(snapshot))
				if random.IntN(5) == 0 {
					restored = NewState()
					Expect(restored.Restore(snapshot)).To(Succeed())
				}
				if random.IntN(2) == 0 || step == 59 {
					feed, err := state.Since(follower.Version(), random.IntN(3) > 0)
					Expect(err).NotTo(HaveOccurred())
					follower, err = Advance(follower, feed)
					Expect(err).NotTo(HaveOccurred())
					Expect(follower.Version()).To(Equal(state.Document().Version()))
					Expect(modelOf(follower)).To(Equal(modelOf(state.Document())))
					Expect(follower.image().Moved).To(Equal(state.Document().image().Moved))
					Expect(follower.image().Dropped).To(HaveLen(len(state.Document().droppedQueues)))
				}
				expectInvariants(state.Document())
			}
			Expect(accepted).To(BeNumerically(">", 5))
		}
	})
})

// expectInvariants checks that the index of queues has exactly the routes of the document, sorted and with existing
// services, and that the queues without a route are sorted and have none.
func expectInvariants(document *Document) {
	GinkgoHelper()
	routes := modelOf(document)
	Expect(document.queues).To(HaveLen(len(routes)))
	for i, member := range document.queues {
		Expect(routes).To(HaveKeyWithValue(member.name, string(member.raw)))
		Expect(document.Service(member.route.Service)).NotTo(BeNil())
		Expect(document.Route(member.name)).To(BeIdenticalTo(member.route))
		Expect(document.Queue(QueueKey(member.route))).To(BeIdenticalTo(member.route))
		Expect(document.EarlierServices(QueueKey(member.route))).NotTo(ContainElement(member.route.Service))
		if i > 0 {
			Expect(document.queues[i-1].queue.compare(member.queue)).To(BeNumerically("<", 0))
		}
	}
	for i, member := range document.droppedQueues {
		Expect(document.queues.get(member.queue)).To(BeNil())
		if i > 0 {
			Expect(document.droppedQueues[i-1].queue.compare(member.queue)).To(BeNumerically("<", 0))
		}
	}
}
