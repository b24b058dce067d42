package configuration

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

var _ = DescribeTable("the earlier services of a queue after each version gave it a service or no route:",
	func(want []string, services ...string) { // the service in each version; "": no route
		const key = "one.example/one/"
		for _, replacing := range []bool{true, false} {
			state := stateWith(replace(0, configurationOf(1, routeTwo)))
			follower := state.Document()
			for i, service := range services {
				version := i + 1
				command := update(uint64(version), fmt.Sprintf(`{"version":%d,"remove":{"routes":["r-1","r-9"]}}`, version+1))
				route := aRoute([]string{"r-1", "r-9"}[i%2], "ONE.example", "/one/", service)
				switch {
				case replacing && service == "":
					command = replace(uint64(version), configurationOf(version+1, routeTwo))
				case replacing:
					command = replace(uint64(version), configurationOf(version+1, route, routeTwo))
				case service != "":
					body := fmt.Sprintf(`{"version":%d,"remove":{"routes":["r-1","r-9"]},"upsert":{"routes":[%s]}}`, version+1, route)
					command = update(uint64(version), body)
				}
				Expect(state.Execute(command).Kind).To(Equal(failure.None))
				feed, err := state.Since(follower.Version(), i%3 != 0)
				Expect(err).NotTo(HaveOccurred())
				follower, err = Advance(follower, feed)
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(state.Document().EarlierServices(key)).To(Equal(want), "replacing: %t", replacing)
			Expect(follower.EarlierServices(key)).To(Equal(want), "follower, replacing: %t", replacing)
		}
	},
	Entry("never a route", nil),
	Entry("one service", nil, "a"),
	Entry("always the same service", nil, "a", "a", "a"),
	Entry("another service", []string{"a"}, "a", "b"),
	Entry("another service, then the first one", []string{"b"}, "a", "b", "a"),
	Entry("no route any more", []string{"a"}, "a", ""),
	Entry("no route in several versions", []string{"a"}, "a", "", "", ""),
	Entry("no route, then the same service", nil, "a", "", "a"),
	Entry("no route, then another service", []string{"a"}, "a", "", "b"),
	Entry("another service, then no route", []string{"a", "b"}, "a", "b", ""),
	Entry("another service, no route, then the first service", []string{"b"}, "a", "b", "", "a"),
)

var _ = Describe("queues without a route", func() {
	It("are forgotten, the longest dropped first, once there are too many", func() {
		document := &Document{version: 9, limits: &Limits{}}
		for i := range maxDroppedQueues {
			member := &item{queue: queueKey{host: "h", prefix: fmt.Sprintf("/%05d/", i)}, earlierServices: []string{"a"}, droppedIn: uint64(maxDroppedQueues - i)}
			document.droppedQueues = append(document.droppedQueues, member)
		}
		route := &Route{Host: "h", PathPrefix: "/x/", Service: "a"}
		left := &item{route: route, queue: queueKey{host: "h", prefix: "/x/"}}
		next := &Document{version: maxDroppedQueues + 1}
		next.inheritServices(document, []*item{left}, nil)
		Expect(len(next.droppedQueues)).To(BeNumerically("~", maxDroppedQueues*3/4, 1))
		Expect(next.EarlierServices("h/x/")).To(Equal([]string{"a"}))
		Expect(next.EarlierServices("h/00000/")).To(Equal([]string{"a"}))
		Expect(next.EarlierServices(fmt.Sprintf("h/%05d/", maxDroppedQueues-1))).To(BeNil())
	})
})
