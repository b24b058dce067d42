package configuration

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

var _ = DescribeTable("an update that is taken",
	func(body, want string) {
		state := standard()
		before := state.Document()
		result := state.Execute(update(5, body))
		Expect(result).To(Equal(Result{Version: 9}))
		Expect(state.Document().JSON()).To(MatchJSON(want))
		Expect(before.JSON()).To(MatchJSON(whole(5, routeOne, routeTwo)), "a document never changes")
		again := stateWith(replace(0, want))
		Expect(again.Document().places).To(HaveLen(len(state.Document().places)))
		for i, member := range again.Document().places {
			Expect(state.Document().places[i].raw).To(MatchJSON(member.raw))
		}
	},
	Entry("nothing but the version", `{"version":9}`, whole(9, routeOne, routeTwo)),
	Entry("a new route", `{"version":9,"upsert":{"routes":[`+aRoute("r-3", "h", "/p/", "a")+`]}}`,
		whole(9, routeOne, routeTwo, aRoute("r-3", "h", "/p/", "a"))),
	Entry("a new route whose name comes first", `{"version":9,"upsert":{"routes":[`+aRoute("q", "h", "/p/", "a")+`]}}`,
		whole(9, aRoute("q", "h", "/p/", "a"), routeOne, routeTwo)),
	Entry("a route replaced", `{"version":9,"upsert":{"routes":[`+aRoute("r-1", "h", "/p/", "b")+`]}}`,
		whole(9, aRoute("r-1", "h", "/p/", "b"), routeTwo)),
	Entry("a route as it is", `{"version":9,"upsert":{"routes":[`+routeOne+`]}}`, whole(9, routeOne, routeTwo)),
	Entry("a route removed", `{"version":9,"remove":{"routes":["r-1"]}}`, whole(9, routeTwo)),
	Entry("all routes removed", `{"version":9,"remove":{"routes":["r-1","r-2"]}}`, whole(9)),
	Entry("an unknown route removed", `{"version":9,"remove":{"routes":["r-old"],"others":["x"],"limits":["y"]}}`,
		whole(9, routeOne, routeTwo)),
	Entry("removed and added under one name", `{"version":9,"remove":{"routes":["r-1"]},"upsert":{"routes":[`+
		aRoute("r-1", "h", "/p/", "b")+`]}}`, whole(9, aRoute("r-1", "h", "/p/", "b"), routeTwo)),
	Entry("another takes the place of one removed", `{"version":9,"remove":{"routes":["r-1"]},"upsert":{"routes":[`+
		aRoute("r-9", "one.example", "/one/", "b")+`]}}`, whole(9, routeTwo, aRoute("r-9", "one.example", "/one/", "b"))),
	Entry("two change places", `{"version":9,"upsert":{"routes":[`+
		aRoute("r-1", "one.example", "/two/", "a")+`,`+aRoute("r-2", "one.example", "/one/", "a")+`]}}`,
		whole(9, aRoute("r-1", "one.example", "/two/", "a"), aRoute("r-2", "one.example", "/one/", "a"))),
	Entry("a service and its route at once", `{"version":9,"upsert":{"services":[{"name":"c"}],"routes":[`+aRoute("r-3", "h", "/p/", "c")+`]}}`,
		strings.Replace(whole(9, routeOne, routeTwo, aRoute("r-3", "h", "/p/", "c")), serviceB, serviceB+`,{"name":"c"}`, 1)),
	Entry("a service goes with its route", `{"version":9,"remove":{"services":["b"],"routes":["r-2"]}}`,
		strings.Replace(whole(9, routeOne), ","+serviceB, "", 1)),
	Entry("limits", `{"version":9,"upsert":{"limits":{"idleTimeoutMs":1}}}`,
		strings.Replace(whole(9, routeOne, routeTwo), someLimits, `{"idleTimeoutMs":1}`, 1)),
	Entry("a section nobody knows", `{"version":9,"upsert":{"tenants":[{"name":"t","keys":["k"]}]}}`,
		strings.Replace(whole(9, routeOne, routeTwo), `"limits"`, `"tenants":[{"name":"t","keys":["k"]}],"limits"`, 1)),
	Entry("unknown fields and odd spaces", " {\n\"version\" : 9 ,\t\"upsert\":{ \"routes\" : [ "+
		strings.Replace(routeOne, "{", `{ "odd\"\\" : [ {"x":"]}"} , null ] , `, 1)+" ] } } \n",
		whole(9, strings.Replace(routeOne, "{", `{"odd\"\\":[{"x":"]}"},null],`, 1), routeTwo)),
)

var _ = Describe("a list that is not sorted", func() {
	It("keeps the operator's order", func() {
		state := stateWith(replace(0, whole(1, routeTwo, routeOne, aRoute("r-0", "h", "/p/", "a"))))
		result := state.Execute(update(1, `{"version":2,"remove":{"routes":["r-1"]},"upsert":{"routes":[`+aRoute("a", "h", "/q/", "a")+`]}}`))
		Expect(result.Kind).To(Equal(failure.None))
		want := whole(2, routeTwo, aRoute("r-0", "h", "/p/", "a"), aRoute("a", "h", "/q/", "a"))
		Expect(state.Document().JSON()).To(MatchJSON(want))
	})
})

var _ = Describe("the document", func() {
	It("gives items by name, and the limits", func() {
		document := standard().Document()
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

	It("reads back byte for byte what a replacement sent", func() {
		body := whole(5, routeOne, routeTwo)
		Expect(string(standard().Document().JSON())).To(Equal(body))
	})

	It("takes unchanged items over unread", func() {
		state := standard()
		before := state.Document()
		Expect(state.Execute(replace(5, whole(6, routeOne, aRoute("r-15", "h", "/", "a"), routeTwo))).Kind).To(Equal(failure.None))
		Expect(state.Document().Route("r-1")).To(BeIdenticalTo(before.Route("r-1")))
		Expect(state.Document().Route("r-2")).To(BeIdenticalTo(before.Route("r-2")))
	})
})
