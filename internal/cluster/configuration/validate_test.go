package configuration

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
)

var _ = DescribeTable("a replacement that is invalid",
	func(body, message string) {
		state := standard()
		before := state.Document()
		result := state.Execute(replace(5, body))
		Expect(result.Kind).To(Equal(failure.Invalid))
		Expect(result.Message).To(ContainSubstring(message))
		Expect(result.Version).To(Equal(uint64(5)))
		Expect(state.Document()).To(BeIdenticalTo(before))
	},
	Entry("empty", "", "not exactly one"),
	Entry("truncated", configurationOf(7, routeOne)[:200], "not exactly one"),
	Entry("truncated by one byte", strings.TrimSuffix(configurationOf(7, routeOne), "}"), "not exactly one"),
	Entry("with trailing bytes", configurationOf(7, routeOne)+"}", "not exactly one"),
	Entry("two values", configurationOf(7, routeOne)+configurationOf(7, routeOne), "not exactly one"),
	Entry("not UTF-8", strings.Replace(configurationOf(7, routeOne), "r-1", "r-\xff", 1), "not exactly one"),
	Entry("not an object", `[]`, "not a JSON object"),
	Entry("null", `null`, "not a JSON object"),
	Entry("no version", strings.Replace(configurationOf(7, routeOne), `"version":7,`, "", 1), "no version"),
	Entry("version null", strings.Replace(configurationOf(7, routeOne), `:7,`, ":null,", 1), "version 0 is not above"),
	Entry("version negative", configurationOf(-7, routeOne), "version"),
	Entry("version a fraction", strings.Replace(configurationOf(7, routeOne), `:7,`, ":7.5,", 1), "version"),
	Entry("version a word", strings.Replace(configurationOf(7, routeOne), `:7,`, `:"x",`, 1), "version"),
	Entry("version twice", strings.Replace(configurationOf(7, routeOne), `:7,`, `:7,"version":8,`, 1), "appears twice"),
	Entry("same version", configurationOf(5, routeOne), "not above"),
	Entry("same version, same content", configurationOf(5, routeOne, routeTwo), "not above"),
	Entry("old version", configurationOf(4, routeOne), "not above"),
	Entry("no routes", `{"version":7,"services":[]}`, "no routes"),
	Entry("no services", `{"version":7,"routes":[]}`, "no services"),
	Entry("an update's body", `{"version":7,"upsert":{},"remove":{}}`, "no routes"),
	Entry("routes an object", `{"version":7,"routes":{},"services":[]}`, "routes is not a list"),
	Entry("routes null", `{"version":7,"routes":null,"services":[]}`, "routes is not a list"),
	Entry("a route a word", `{"version":7,"routes":["r"],"services":[]}`, "routes"),
	Entry("a route null", `{"version":7,"routes":[null],"services":[]}`, "routes"),
	Entry("a route without a name", configurationOf(7, aRoute("", "h", "/p/", "a")), "no name"),
	Entry("two routes of one name", configurationOf(7, routeOne, aRoute("r-1", "h", "/p/", "a")), "two items have the name"),
	Entry("two services of one name", `{"version":7,"routes":[],"services":[{"name":"a"},{"name":"a"}]}`, "two items"),
	Entry("unknown service", configurationOf(7, aRoute("r-1", "h", "/p/", "gone")), "unknown service"),
	Entry("no service", configurationOf(7, strings.Replace(routeOne, `"service":"a",`, "", 1)), "unknown service"),
	Entry("same queue", configurationOf(7, routeOne, aRoute("r-9", "one.example", "/one/", "b")), "share host"),
	Entry("same queue in another case", configurationOf(7, routeOne, aRoute("r-9", "One.EXAMPLE", "/one/", "b")), "share host"),
	Entry("timeoutMs 0", configurationOf(7, strings.Replace(routeOne, `"timeoutMs":3000`, `"timeoutMs":0`, 1)), "timeoutMs"),
	Entry("timeoutMs missing", configurationOf(7, strings.Replace(routeOne, `"timeoutMs":3000,`, ``, 1)), "timeoutMs"),
	Entry("timeoutMs negative", configurationOf(7, strings.Replace(routeOne, `"timeoutMs":3000`, `"timeoutMs":-1`, 1)), "timeoutMs"),
	Entry("timeoutMs a word", configurationOf(7, strings.Replace(routeOne, `"timeoutMs":3000`, `"timeoutMs":"soon"`, 1)), "routes"),
	Entry("timeoutMs twice", configurationOf(7, strings.Replace(routeOne, `"timeoutMs":3000`, `"timeoutMs":3000,"timeoutMs":1`, 1)), "routes"),
	Entry("a service's flag a number", `{"version":7,"routes":[],"services":[{"name":"a","preconditions":3}]}`, "services"),
	Entry("limits a list", `{"version":7,"routes":[],"services":[],"limits":[]}`, "limits"),
	Entry("limits a word", `{"version":7,"routes":[],"services":[],"limits":"none"}`, "limits"),
	Entry("limits of the wrong type", `{"version":7,"routes":[],"services":[],"limits":{"maxBodyBytes":true}}`, "limits"),
)

var _ = DescribeTable("an update that is invalid",
	func(body, message string) {
		state := standard()
		before := state.Document()
		result := state.Execute(update(5, body))
		Expect(result.Kind).To(Equal(failure.Invalid))
		Expect(result.Message).To(ContainSubstring(message))
		Expect(state.Document()).To(BeIdenticalTo(before))
		Expect(state.Document().JSON()).To(MatchJSON(configurationOf(5, routeOne, routeTwo)))
	},
	Entry("truncated", `{"version":7,"upsert":{"routes":[`, "not exactly one"),
	Entry("no version", `{"upsert":{}}`, "no version"),
	Entry("same version", `{"version":5,"upsert":{"routes":[]}}`, "not above"),
	Entry("old version", `{"version":3,"remove":{"routes":["r-1"]}}`, "not above"),
	Entry("upsert a list", `{"version":7,"upsert":[]}`, "upsert"),
	Entry("upsert of routes an object", `{"version":7,"upsert":{"routes":{}}}`, "not a list"),
	Entry("remove a list", `{"version":7,"remove":[]}`, "remove"),
	Entry("remove of routes a word", `{"version":7,"remove":{"routes":"r-1"}}`, "remove"),
	Entry("remove of numbers", `{"version":7,"remove":{"routes":[1]}}`, "remove"),
	Entry("remove of an unknown section, no names", `{"version":7,"remove":{"others":[1]}}`, "not a list of names"),
	Entry("remove twice", `{"version":7,"remove":{"routes":["r-1"],"routes":[]}}`, "appears twice"),
	Entry("upsert twice", `{"version":7,"upsert":{"routes":[],"routes":[]}}`, "appears twice"),
	Entry("unknown service", `{"version":7,"upsert":{"routes":[`+aRoute("r-3", "h", "/p/", "gone")+`]}}`, "unknown service"),
	Entry("a service in use is removed", `{"version":7,"remove":{"services":["b"]}}`, "unknown service"),
	Entry("same queue as another route", `{"version":7,"upsert":{"routes":[`+aRoute("r-3", "one.example", "/two/", "a")+`]}}`, "share host"),
	Entry("two new routes of one queue",
		`{"version":7,"upsert":{"routes":[`+aRoute("r-3", "h", "/p/", "a")+`,`+aRoute("r-4", "h", "/p/", "a")+`]}}`, "share host"),
	Entry("one name twice",
		`{"version":7,"upsert":{"routes":[`+aRoute("r-3", "h", "/p/", "a")+`,`+aRoute("r-3", "h", "/q/", "a")+`]}}`, "two items"),
	Entry("timeoutMs 0",
		`{"version":7,"upsert":{"routes":[`+strings.Replace(routeOne, `"timeoutMs":3000`, `"timeoutMs":0`, 1)+`]}}`, "timeoutMs"),
	Entry("limits of the wrong type", `{"version":7,"upsert":{"limits":{"maxBodyBytes":"x"}}}`, "limits"),
)
