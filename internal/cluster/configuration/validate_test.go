package configuration

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

var _ = DescribeTable("a replacement is rejected as invalid if it has",
	func(body, message string) {
		state := standardState()
		before := state.Document()
		result := state.Execute(replace(5, body))
		Expect(result.Kind).To(Equal(failure.Invalid))
		Expect(result.Message).To(ContainSubstring(message))
		Expect(result.Version).To(Equal(uint64(5)))
		Expect(state.Document()).To(BeIdenticalTo(before))
	},
	Entry("no bytes", "", "not exactly one"),
	Entry("only the first 200 bytes", configurationOf(7, routeOne)[:200], "not exactly one"),
	Entry("no last byte", strings.TrimSuffix(configurationOf(7, routeOne), "}"), "not exactly one"),
	Entry("a byte after the JSON value", configurationOf(7, routeOne)+"}", "not exactly one"),
	Entry("two JSON values", configurationOf(7, routeOne)+configurationOf(7, routeOne), "not exactly one"),
	Entry("a string that is not UTF-8", strings.Replace(configurationOf(7, routeOne), "r-1", "r-\xff", 1), "not exactly one"),
	Entry("an array in place of an object", `[]`, "not a JSON object"),
	Entry("null in place of an object", `null`, "not a JSON object"),
	Entry("no version", strings.Replace(configurationOf(7, routeOne), `"version":7,`, "", 1), "no version"),
	Entry("null as version", strings.Replace(configurationOf(7, routeOne), `:7,`, ":null,", 1), "version 0 is not above"),
	Entry("a negative version", configurationOf(-7, routeOne), "version"),
	Entry("a fraction as version", strings.Replace(configurationOf(7, routeOne), `:7,`, ":7.5,", 1), "version"),
	Entry("a word as version", strings.Replace(configurationOf(7, routeOne), `:7,`, `:"x",`, 1), "version"),
	Entry("two versions", strings.Replace(configurationOf(7, routeOne), `:7,`, `:7,"version":8,`, 1), "appears twice"),
	Entry("the current version", configurationOf(5, routeOne), "not above"),
	Entry("the current version and content", configurationOf(5, routeOne, routeTwo), "not above"),
	Entry("an old version", configurationOf(4, routeOne), "not above"),
	Entry("no routes", `{"version":7,"services":[]}`, `no field "routes"`),
	Entry("no services", `{"version":7,"routes":[]}`, `no field "services"`),
	Entry("the body of an update", `{"version":7,"upsert":{},"remove":{}}`, `no field "routes"`),
	Entry("an object as routes", `{"version":7,"routes":{},"services":[]}`, "routes is not a list"),
	Entry("null as routes", `{"version":7,"routes":null,"services":[]}`, "routes is not a list"),
	Entry("a word as a route", `{"version":7,"routes":["r"],"services":[]}`, `in the item "r"`),
	Entry("null as a route", `{"version":7,"routes":[null],"services":[]}`, "routes"),
	Entry("a route without a name", configurationOf(7, aRoute("", "h", "/p/", "a")), `no name: {"name":""`),
	Entry("two routes of one name", configurationOf(7, routeOne, aRoute("r-1", "h", "/p/", "a")), "two items have the name"),
	Entry("two services of one name", `{"version":7,"routes":[],"services":[{"name":"a"},{"name":"a"}]}`, "two items"),
	Entry("a route with an unknown service", configurationOf(7, aRoute("r-1", "h", "/p/", "gone")), "unknown service"),
	Entry("a route without a service", configurationOf(7, strings.Replace(routeOne, `"service":"a",`, "", 1)), "unknown service"),
	Entry("two routes of one queue", configurationOf(7, routeOne, aRoute("r-9", "one.example", "/one/", "b")), "share host"),
	Entry("two routes of one queue, the host in another case", configurationOf(7, routeOne, aRoute("r-9", "One.EXAMPLE", "/one/", "b")), "share host"),
	Entry("a timeoutMs of 0", configurationOf(7, strings.Replace(routeOne, `"timeoutMs":3000`, `"timeoutMs":0`, 1)), `"r-1": timeoutMs is 0`),
	Entry("a route without timeoutMs", configurationOf(7, strings.Replace(routeOne, `"timeoutMs":3000,`, ``, 1)), "timeoutMs"),
	Entry("a negative timeoutMs", configurationOf(7, strings.Replace(routeOne, `"timeoutMs":3000`, `"timeoutMs":-1`, 1)), "timeoutMs"),
	Entry("a word as timeoutMs", configurationOf(7, strings.Replace(routeOne, `"timeoutMs":3000`, `"timeoutMs":"soon"`, 1)), `in the item {"name":"r-1"`),
	Entry("two timeoutMs in a route", configurationOf(7, strings.Replace(routeOne, `"timeoutMs":3000`, `"timeoutMs":3000,"timeoutMs":1`, 1)), "routes"),
	Entry("a number as a service's flag", `{"version":7,"routes":[],"services":[{"name":"a","preconditions":3}]}`, `in the item {"name":"a"`),
	Entry("an array as limits", `{"version":7,"routes":[],"services":[],"limits":[]}`, "limits"),
	Entry("a word as limits", `{"version":7,"routes":[],"services":[],"limits":"none"}`, "limits"),
	Entry("a limit of the wrong type", `{"version":7,"routes":[],"services":[],"limits":{"maxBodyBytes":true}}`, "limits"),
)

var _ = DescribeTable("an update is rejected as invalid if it has",
	func(body, message string) {
		state := standardState()
		before := state.Document()
		result := state.Execute(update(5, body))
		Expect(result.Kind).To(Equal(failure.Invalid))
		Expect(result.Message).To(ContainSubstring(message))
		Expect(state.Document()).To(BeIdenticalTo(before))
		Expect(state.Document().JSON()).To(MatchJSON(configurationOf(5, routeOne, routeTwo)))
	},
	Entry("no last bytes", `{"version":7,"upsert":{"routes":[`, "not exactly one"),
	Entry("no version", `{"upsert":{}}`, "no version"),
	Entry("the current version", `{"version":5,"upsert":{"routes":[]}}`, "not above"),
	Entry("an old version", `{"version":3,"remove":{"routes":["r-1"]}}`, "not above"),
	Entry("an array as upsert", `{"version":7,"upsert":[]}`, "upsert"),
	Entry("an object as upserted routes", `{"version":7,"upsert":{"routes":{}}}`, "not a list"),
	Entry("an array as remove", `{"version":7,"remove":[]}`, "remove"),
	Entry("a word as the names to remove", `{"version":7,"remove":{"routes":"r-1"}}`, "remove"),
	Entry("a number as a name to remove", `{"version":7,"remove":{"routes":[1]}}`, "remove"),
	Entry("a number as a name to remove from an unknown section", `{"version":7,"remove":{"others":[1]}}`, "not a list of names"),
	Entry("two lists of names to remove from one section", `{"version":7,"remove":{"routes":["r-1"],"routes":[]}}`, "appears twice"),
	Entry("two upserts of one section", `{"version":7,"upsert":{"routes":[],"routes":[]}}`, "appears twice"),
	Entry("a route with an unknown service", `{"version":7,"upsert":{"routes":[`+aRoute("r-3", "h", "/p/", "gone")+`]}}`, "unknown service"),
	Entry("a removal of a service in use", `{"version":7,"remove":{"services":["b"]}}`, "unknown service"),
	Entry("a route with the queue of another one", `{"version":7,"upsert":{"routes":[`+aRoute("r-3", "one.example", "/two/", "a")+`]}}`, "share host"),
	Entry("two new routes with one queue",
		`{"version":7,"upsert":{"routes":[`+aRoute("r-3", "h", "/p/", "a")+`,`+aRoute("r-4", "h", "/p/", "a")+`]}}`, "share host"),
	Entry("two items with one name",
		`{"version":7,"upsert":{"routes":[`+aRoute("r-3", "h", "/p/", "a")+`,`+aRoute("r-3", "h", "/q/", "a")+`]}}`, "two items"),
	Entry("a timeoutMs of 0",
		`{"version":7,"upsert":{"routes":[`+strings.Replace(routeOne, `"timeoutMs":3000`, `"timeoutMs":0`, 1)+`]}}`, "timeoutMs"),
	Entry("a limit of the wrong type", `{"version":7,"upsert":{"limits":{"maxBodyBytes":"x"}}}`, "limits"),
)
