package configuration

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

// manyRoutes returns routes of seven hosts, sorted by name, with one path prefix each.
func manyRoutes(count int) []string {
	routes := make([]string, count)
	for i := range routes {
		routes[i] = aRoute(fmt.Sprintf("r-%05d", i), fmt.Sprintf("host%d.example", i%7), fmt.Sprintf("/p%d/", i), "a")
	}
	return routes
}

// routesOf returns the JSON of a document's routes, sorted by queue.
func routesOf(document *Document) []string {
	var routes []string
	for _, member := range document.queues {
		routes = append(routes, string(member.raw))
	}
	return routes
}

var _ = Describe("a follower of the configuration", func() {
	var state *State

	BeforeEach(func() {
		state = stateWith(replace(0, configurationOf(5, manyRoutes(100)...)))
	})

	feedFrom := func(version uint64, canTakeChanges bool) []byte {
		GinkgoHelper()
		data, err := state.Since(version, canTakeChanges)
		Expect(err).NotTo(HaveOccurred())
		return data
	}

	It("starts from a complete document", func() {
		document, err := Decode(feedFrom(0, true))
		Expect(err).NotTo(HaveOccurred())
		Expect(document.Version()).To(Equal(uint64(5)))
		Expect(string(document.JSON())).To(Equal(string(state.Document().JSON())))
		Expect(routesOf(document)).To(Equal(routesOf(state.Document())))
	})

	It("is sent nothing if there is nothing new", func() {
		Expect(feedFrom(5, true)).To(BeNil())
	})

	It("is sent the changes alone if it has a document", func() {
		follower, err := Decode(feedFrom(0, false))
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Execute(update(5, `{"version":6,"remove":{"routes":["r-00007"]}}`)).Kind).To(Equal(failure.None))
		Expect(state.Execute(update(6, `{"version":8,"upsert":{"routes":[`+routeOne+`]}}`)).Kind).To(Equal(failure.None))
		data := feedFrom(5, true)
		Expect(len(data)).To(BeNumerically("<", 1000))
		Expect(&feedFrom(5, true)[0]).To(BeIdenticalTo(&data[0]), "the encoded feed is shared between followers")
		next, err := Advance(follower, data)
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Version()).To(Equal(uint64(8)))
		Expect(routesOf(next)).To(Equal(routesOf(state.Document())))
		Expect(follower.Version()).To(Equal(uint64(5)))
		Expect(follower.Route("r-00007")).NotTo(BeNil())
	})

	It("is sent an update in place of a replacement that changes little", func() {
		follower, err := Decode(feedFrom(0, false))
		Expect(err).NotTo(HaveOccurred())
		routes := manyRoutes(101)
		routes[3] = aRoute("r-00003", "moved.example", "/p3/", "b")
		Expect(state.Execute(replace(5, configurationOf(6, append(routes[:50], routes[51:]...)...))).Kind).To(Equal(failure.None))
		data := feedFrom(5, true)
		Expect(len(data)).To(BeNumerically("<", 1500))
		next, err := Advance(follower, data)
		Expect(err).NotTo(HaveOccurred())
		Expect(routesOf(next)).To(Equal(routesOf(state.Document())))
		Expect(string(next.JSON())).To(Equal(string(state.Document().JSON())))
	})

	It("is sent the replacement itself if that removes a section", func() {
		follower, err := Decode(feedFrom(0, false))
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Execute(replace(5, `{"version":6,"services":[`+serviceA+`],"routes":[]}`)).Kind).To(Equal(failure.None))
		next, err := Advance(follower, feedFrom(5, true))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(next.JSON())).To(Equal(string(state.Document().JSON())))
		Expect(next.Limits().GetMaxBodyBytes()).To(BeZero())
	})

	It("is sent a complete document if the changes are no longer remembered, or it can't take changes", func() {
		for version := uint64(5); version < 5+maxRecentChanges+1; version++ {
			Expect(state.Execute(update(version, fmt.Sprintf(`{"version":%d}`, version+1))).Kind).To(Equal(failure.None))
		}
		for _, data := range [][]byte{feedFrom(5, true), feedFrom(200, false), feedFrom(4, true)} {
			document, err := Decode(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(document.Version()).To(Equal(uint64(5 + maxRecentChanges + 1)))
		}
		_, err := Decode(feedFrom(200, true))
		Expect(err).To(HaveOccurred(), "this feed has changes")
	})

	It("is fed from remembered changes of at most maxRecentBytes", func() {
		version := uint64(5)
		for range 40 {
			body := fmt.Sprintf(`{"version":%d,"upsert":{"note":{"text":"%020000d"}}}`, version+1, version)
			Expect(state.Execute(update(version, body)).Kind).To(Equal(failure.None))
			version++
			Expect(state.recent.bytes).To(BeNumerically("<=", maxRecentBytes))
		}
		Expect(len(state.recent.changes)).To(BeNumerically("~", maxRecentBytes/20000, 2))
	})

	It("rejects changes that don't follow its document", func() {
		Expect(state.Execute(update(5, `{"version":6}`)).Kind).To(Equal(failure.None))
		data := feedFrom(5, true)
		_, err := Advance(nil, data)
		Expect(err).To(HaveOccurred())
		_, err = Advance(state.Document(), data)
		Expect(err).To(HaveOccurred())
		_, err = Advance(nil, []byte("garbage"))
		Expect(err).To(HaveOccurred())
		_, err = Advance(nil, nil)
		Expect(err).To(HaveOccurred())
	})

	It("doesn't parse items again that it has when it gets a complete document", func() {
		follower, err := Decode(feedFrom(0, false))
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Execute(update(5, `{"version":6,"upsert":{"routes":[`+routeOne+`]}}`)).Kind).To(Equal(failure.None))
		next, err := Advance(follower, feedFrom(0, false))
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Route("r-00001")).To(BeIdenticalTo(follower.Route("r-00001")))
		Expect(routesOf(next)).To(Equal(routesOf(state.Document())))
	})
})
