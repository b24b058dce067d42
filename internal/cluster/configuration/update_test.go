package configuration

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

var _ = DescribeTable("an update is accepted if it has",
	func(body, want string) {
		state := standardState()
		before := state.Document()
		result := state.Execute(update(5, body))
		Expect(result).To(Equal(Result{Version: 9}))
		Expect(state.Document().JSON()).To(MatchJSON(want))
		Expect(before.JSON()).To(MatchJSON(configurationOf(5, routeOne, routeTwo)), "a document never changes")
		replaced := stateWith(replace(0, want))
		Expect(replaced.Document().queues).To(HaveLen(len(state.Document().queues)))
		for i, member := range replaced.Document().queues {
			Expect(state.Document().queues[i].raw).To(MatchJSON(member.raw))
		}
	},
	Entry("nothing but the version", `{"version":9}`, configurationOf(9, routeOne, routeTwo)),
	Entry("a new route", `{"version":9,"upsert":{"routes":[`+aRoute("r-3", "h", "/p/", "a")+`]}}`,
		configurationOf(9, routeOne, routeTwo, aRoute("r-3", "h", "/p/", "a"))),
	Entry("a new route that sorts before all others", `{"version":9,"upsert":{"routes":[`+aRoute("q", "h", "/p/", "a")+`]}}`,
		configurationOf(9, aRoute("q", "h", "/p/", "a"), routeOne, routeTwo)),
	Entry("a route in place of another", `{"version":9,"upsert":{"routes":[`+aRoute("r-1", "h", "/p/", "b")+`]}}`,
		configurationOf(9, aRoute("r-1", "h", "/p/", "b"), routeTwo)),
	Entry("a route that doesn't change", `{"version":9,"upsert":{"routes":[`+routeOne+`]}}`, configurationOf(9, routeOne, routeTwo)),
	Entry("a removal of a route", `{"version":9,"remove":{"routes":["r-1"]}}`, configurationOf(9, routeTwo)),
	Entry("a removal of all routes", `{"version":9,"remove":{"routes":["r-1","r-2"]}}`, configurationOf(9)),
	Entry("removals of items that don't exist", `{"version":9,"remove":{"routes":["r-old"],"others":["x"],"limits":["y"]}}`,
		configurationOf(9, routeOne, routeTwo)),
	Entry("a removal and an upsert of one name", `{"version":9,"remove":{"routes":["r-1"]},"upsert":{"routes":[`+
		aRoute("r-1", "h", "/p/", "b")+`]}}`, configurationOf(9, aRoute("r-1", "h", "/p/", "b"), routeTwo)),
	Entry("a new route for the queue of a route that is removed", `{"version":9,"remove":{"routes":["r-1"]},"upsert":{"routes":[`+
		aRoute("r-9", "one.example", "/one/", "b")+`]}}`, configurationOf(9, routeTwo, aRoute("r-9", "one.example", "/one/", "b"))),
	Entry("two routes that swap their queues", `{"version":9,"upsert":{"routes":[`+
		aRoute("r-1", "one.example", "/two/", "a")+`,`+aRoute("r-2", "one.example", "/one/", "a")+`]}}`,
		configurationOf(9, aRoute("r-1", "one.example", "/two/", "a"), aRoute("r-2", "one.example", "/one/", "a"))),
	Entry("a new service and its route", `{"version":9,"upsert":{"services":[{"name":"c"}],"routes":[`+aRoute("r-3", "h", "/p/", "c")+`]}}`,
		strings.Replace(configurationOf(9, routeOne, routeTwo, aRoute("r-3", "h", "/p/", "c")), serviceB, serviceB+`,{"name":"c"}`, 1)),
	Entry("a removal of a service and its route", `{"version":9,"remove":{"services":["b"],"routes":["r-2"]}}`,
		strings.Replace(configurationOf(9, routeOne), ","+serviceB, "", 1)),
	Entry("new limits", `{"version":9,"upsert":{"limits":{"idleTimeoutMs":1}}}`,
		strings.Replace(configurationOf(9, routeOne, routeTwo), someLimits, `{"idleTimeoutMs":1}`, 1)),
	Entry("an unknown section", `{"version":9,"upsert":{"tenants":[{"name":"t","keys":["k"]}]}}`,
		strings.Replace(configurationOf(9, routeOne, routeTwo), `"limits"`, `"tenants":[{"name":"t","keys":["k"]}],"limits"`, 1)),
	Entry("unknown fields and unusual white space", " {\n\"version\" : 9 ,\t\"upsert\":{ \"routes\" : [ "+
		strings.Replace(routeOne, "{", `{ "odd\"\\" : [ {"x":"]}"} , null ] , `, 1)+" ] } } \n",
		configurationOf(9, strings.Replace(routeOne, "{", `{"odd\"\\":[{"x":"]}"},null],`, 1), routeTwo)),
)

var _ = Describe("a list that is not sorted by name", func() {
	It("keeps the operator's order, with new items at the end", func() {
		state := stateWith(replace(0, configurationOf(1, routeTwo, routeOne, aRoute("r-0", "h", "/p/", "a"))))
		result := state.Execute(update(1, `{"version":2,"remove":{"routes":["r-1"]},"upsert":{"routes":[`+aRoute("a", "h", "/q/", "a")+`]}}`))
		Expect(result.Kind).To(Equal(failure.None))
		want := configurationOf(2, routeTwo, aRoute("r-0", "h", "/p/", "a"), aRoute("a", "h", "/q/", "a"))
		Expect(state.Document().JSON()).To(MatchJSON(want))
	})
})

var _ = Describe("a document", func() {
	It("returns items by name, and the limits", func() {
		document := standardState().Document()
		Expect(document.Route("r-2").GetExtension()).To(Equal(4.0))
		Expect(document.Route("r-2").GetTargetLatencyMs()).To(Equal(int64(800)))
		Expect(document.Route("r-3")).To(BeNil())
		Expect(document.Queue("one.example/two/")).To(BeIdenticalTo(document.Route("r-2")))
		Expect(document.Queue("one.example/three/")).To(BeNil())
		Expect(document.Service("b").GetPreconditions()).To(BeTrue())
		Expect(document.Service("c")).To(BeNil())
		Expect(document.Limits().GetMaxBodyBytes()).To(Equal(int64(262144)))
		var names []string
		for route := range document.Routes() {
			names = append(names, route.Name)
		}
		for service := range document.Services() {
			names = append(names, service.Name)
		}
		Expect(names).To(Equal([]string{"r-1", "r-2", "a", "b"}))
	})

	It("is empty before the first configuration", func() {
		document := NewState().Document()
		Expect(document.Version()).To(BeZero())
		Expect(document.JSON()).To(MatchJSON(`{"version":0}`))
		Expect(document.Limits().GetMaxBodyBytes()).To(BeZero())
		Expect(document.Table().Len()).To(BeZero())
	})

	It("returns byte for byte the JSON of a replacement", func() {
		body := configurationOf(5, routeOne, routeTwo)
		Expect(string(standardState().Document().JSON())).To(Equal(body))
	})

	It("shares unchanged items with the document before", func() {
		state := standardState()
		before := state.Document()
		Expect(state.Execute(replace(5, configurationOf(6, routeOne, aRoute("r-15", "h", "/", "a"), routeTwo))).Kind).To(Equal(failure.None))
		Expect(state.Document().Route("r-1")).To(BeIdenticalTo(before.Route("r-1")))
		Expect(state.Document().Route("r-2")).To(BeIdenticalTo(before.Route("r-2")))
	})
})
