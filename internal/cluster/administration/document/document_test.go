package document_test

import (
	"bytes"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration/document"
)

const current = `{"version":5,"routes":[
	{"name":"a","host":"h","pathPrefix":"/a/","timeoutMs":9,"service":"s"},
	{"name":"b","host":"h","pathPrefix":"/b/","timeoutMs":9,"service":"s"}],
	"services":[{"name":"s","note":1}],"limits":{"maxBodyBytes":5}}`

const empty = `{"version":0}`

var _ = DescribeTable("the check of a file with",
	func(current, body, fault string) {
		var running []byte
		if current != "" {
			running = []byte(current)
		}
		err := document.Check([]byte(body), running)
		if fault == "" {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(ContainSubstring(fault)))
	},
	Entry("a complete configuration", "", current, ""),
	Entry("the first complete configuration", empty, current, ""),
	Entry("the same complete configuration", current, current, "version 5 is not above the current 5"),
	Entry("an update", current, `{"version":6,"remove":{"routes":["a"]}}`, ""),
	Entry("an update that leaves routes without their service", current, `{"version":6,"remove":{"services":["s"]}}`, "service"),
	Entry("an update without a current configuration", "", `{"version":6,"remove":{}}`, "give --control"),
	Entry("no bytes", "", "", "not exactly one JSON value"),
	Entry("a list", "", "[]", "not a JSON object"),
	Entry("trailing text", "", current+"x", "not exactly one JSON value"),
	Entry("no version", "", `{"routes":[]}`, "there is no version"),
	Entry("two routes of one queue", "", `{"version":1,"services":[{"name":"s"}],"routes":[
		{"name":"a","host":"h","pathPrefix":"/a/","timeoutMs":9,"service":"s"},
		{"name":"b","host":"h","pathPrefix":"/a/","timeoutMs":9,"service":"s"}]}`, `share host "h" and prefix "/a/"`),
	Entry("a timeoutMs of 0", "", `{"version":1,"services":[{"name":"s"}],"routes":[
		{"name":"a","host":"h","pathPrefix":"/a/","timeoutMs":0,"service":"s"}]}`, "timeoutMs"),
)

var _ = DescribeTable("the difference between the current configuration and a file with",
	func(body, text string) {
		difference, err := document.Compare([]byte(current), []byte(body))
		Expect(err).NotTo(HaveOccurred())
		var out bytes.Buffer
		difference.Text(&out)
		Expect(out.String()).To(Equal(text))
	},
	Entry("the same content", current, "version 5: nothing changes\n"),
	Entry("nothing but a new version", `{"version":7,"upsert":{}}`, "version 5 to 7: nothing else changes\n"),
	Entry("a version that is too low", `{"version":4,"remove":{"routes":["a"]}}`,
		"version 5 to 4, which must be raised before it can be applied\n"+
			`- routes a  {"host":"h","name":"a","pathPrefix":"/a/","service":"s","timeoutMs":9}`+"\n"),
	Entry("changed fields of an item, unknown ones included", `{"version":6,"upsert":{"services":[{"name":"s","note":2,"new":[1]}]}}`,
		"version 5 to 6\n~ services s\n    new: null -> [1]\n    note: 1 -> 2\n"),
	Entry("an item's fields in another order", `{"version":6,"upsert":{"services":[{"note": 1.0, "name":"s"}]}}`,
		"version 5 to 6\n~ services s\n    note: 1 -> 1.0\n"),
	Entry("changed limits", `{"version":6,"upsert":{"limits":{"maxBodyBytes":6}}}`,
		"version 5 to 6\n~ limits\n    maxBodyBytes: 5 -> 6\n"),
	Entry("a new section that is unknown", `{"version":6,"upsert":{"notes":["x"]}}`, "version 5 to 6\n+ notes  [\"x\"]\n"),
	Entry("a complete configuration without some items", `{"version":6,"routes":[{"name":"a","host":"h","pathPrefix":"/a/","timeoutMs":9,"service":"s"}],"services":[{"name":"s","note":1}]}`,
		"version 5 to 6\n- limits  {\"maxBodyBytes\":5}\n"+
			`- routes b  {"host":"h","name":"b","pathPrefix":"/b/","service":"s","timeoutMs":9}`+"\n"),
)

var _ = DescribeTable("a file can't be compared if it has", func(body, fault string) {
	_, err := document.Compare([]byte(current), []byte(body))
	Expect(err).To(MatchError(ContainSubstring(fault)))
},
	Entry("no closing brace", `{"version":6`, "not exactly one JSON value"),
	Entry("a version that is not a number", `{"version":"x","upsert":{}}`, "version"),
	Entry("an unknown service", `{"version":6,"upsert":{"routes":[{"name":"c","host":"h","pathPrefix":"/c/","timeoutMs":9,"service":"t"}]}}`, `"t"`),
)
