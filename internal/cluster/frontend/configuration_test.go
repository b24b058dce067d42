package frontend

import (
	"time"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/protocol"
)

// services are the services of the configurations in these tests, in JSON.
const services = `{"name":"huvo11a"},{"name":"wuno96b"}`

// replaced replaces the configuration of state by one with that version and those routes, which builds on version base, a
// digit. It returns the new document in encoded form.
func replaced(state *configuration.State, version, base string, routes string) []byte {
	GinkgoHelper()
	body := `{"version":` + version + `,"routes":[` + routes + `],"services":[` + services + `],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
	result := state.Execute(configuration.Command{Kind: protocol.ConfigurationReplace, Base: uint64(base[0] - '0'), Body: []byte(body)})
	Expect(result.Err()).NotTo(HaveOccurred())
	encoded, err := state.Document().Encode()
	Expect(err).NotTo(HaveOccurred())
	return encoded
}

// queueOf returns the JSON of a route. Its queue belongs to service.
func queueOf(service string) string {
	return `{"name":"r","host":"FICU95.example","pathPrefix":"/a/","timeoutMs":2500,"targetLatencyMs":800,` +
		`"priority":1,"service":"` + service + `","maxAttempts":3,"extension":1.5}`
}

var _ = Describe("the configuration applier", func() {
	It("makes the view of a document", func() {
		state := configuration.NewState()
		documents := configurationApplier{views: NewViews(), logger: log.NewNopLogger()}
		Expect(documents.apply(3, replaced(state, "3", "0", queueOf("huvo11a")))).To(Succeed())
		current := documents.views.Current()
		Expect(current.Version).To(Equal(uint64(3)))
		Expect(current.Limits).To(Equal(Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144,
			HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}))
		found, rest, ok := current.Table.Lookup("ficu95.example:80", "/a/"+jobID)
		Expect(ok).To(BeTrue())
		Expect(rest).To(Equal(jobID))
		Expect(found).To(Equal(&Route{
			Queue: protocol.Queue{Key: "ficu95.example/a/", Service: "huvo11a", Priority: 1, MaxAttempts: 3,
				Extension: 1.5, TargetLatencyMs: 800},
			Timeout: 2500 * time.Millisecond,
			Shards:  []protocol.ShardID{protocol.ShardOf("huvo11a")},
		}))
		_, _, ok = current.Table.Lookup("other.example", "/a/")
		Expect(ok).To(BeFalse())
	})

	It("lists the earlier shard of a queue that has moved after the present one", func() {
		Expect(protocol.ShardOf("huvo11a")).NotTo(Equal(protocol.ShardOf("wuno96b")))
		state := configuration.NewState()
		documents := configurationApplier{views: NewViews(), logger: log.NewNopLogger()}
		Expect(documents.apply(3, replaced(state, "3", "0", queueOf("huvo11a")))).To(Succeed())
		Expect(documents.apply(5, replaced(state, "5", "3", queueOf("wuno96b")))).To(Succeed())
		found, _, ok := documents.views.Current().Table.Lookup("ficu95.example", "/a/")
		Expect(ok).To(BeTrue())
		Expect(found.Shards).To(Equal([]protocol.ShardID{protocol.ShardOf("wuno96b"), protocol.ShardOf("huvo11a")}))
	})

	It("applies changes to its newest version, and rejects changes to another version", func() {
		state := configuration.NewState()
		documents := configurationApplier{views: NewViews(), logger: log.NewNopLogger()}
		Expect(documents.apply(3, replaced(state, "3", "0", queueOf("huvo11a")))).To(Succeed())
		replaced(state, "5", "3", queueOf("wuno96b"))
		changes, err := state.Since(3, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(documents.apply(5, changes)).To(Succeed())
		found, _, _ := documents.views.Current().Table.Lookup("ficu95.example", "/a/")
		Expect(found.Queue.Service).To(Equal("wuno96b"))
		Expect(documents.apply(5, changes)).NotTo(Succeed(), "the changes build on version 3")
	})

	It("keeps its view after invalid data", func() {
		documents := configurationApplier{views: NewViews(), logger: log.NewNopLogger()}
		Expect(documents.apply(3, replaced(configuration.NewState(), "3", "0", queueOf("huvo11a")))).To(Succeed())
		Expect(documents.apply(4, []byte("nonsense"))).NotTo(Succeed())
		Expect(documents.views.Current().Version).To(Equal(uint64(3)))
	})

	DescribeTable("lists each shard of a queue once, the present one first",
		func(present string, earlier []string, wantServices ...string) {
			var want []protocol.ShardID
			for _, service := range wantServices {
				want = append(want, protocol.ShardOf(service))
			}
			Expect(shardsOf(present, earlier)).To(Equal(want))
		},
		Entry("a queue that never moved", "huvo11a", nil, "huvo11a"),
		Entry("a queue that moved away and back", "huvo11a", []string{"wuno96b", "huvo11a"}, "huvo11a", "wuno96b"),
		Entry("a queue that left the same service twice", "huvo11a", []string{"wuno96b", "wuno96b"}, "huvo11a", "wuno96b"),
	)
})
