package configuration

import (
	"fmt"
	"math/rand/v2"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("the route of a request",
	func(host, path, wantRoute, wantRest string) {
		table := stateWith(replace(0, configurationOf(1,
			aRoute("one", "one.example", "/one/", "a"),
			aRoute("deep", "one.example", "/one/deep/", "a"),
			aRoute("deeper", "one.example", "/one/deep/er/", "a"),
			aRoute("close", "one.example", "/one/deeq", "a"),
			aRoute("upper", "UPPER.example", "/One/", "a"),
			aRoute("root", "root.example", "/", "a"),
			aRoute("under", "root.example", "/under", "a"),
		))).Document().Table()
		route, rest, ok := table.Lookup(host, path)
		Expect(ok).To(Equal(wantRoute != ""))
		Expect(route.GetName()).To(Equal(wantRoute))
		Expect(rest).To(Equal(wantRest))
	},
	Entry("one prefix", "one.example", "/one/5c0e7a21d94b36f8", "one", "5c0e7a21d94b36f8"),
	Entry("the prefix alone", "one.example", "/one/", "one", ""),
	Entry("shorter than the prefix", "one.example", "/one", "", ""),
	Entry("the longest prefix", "one.example", "/one/deep/x", "deep", "x"),
	Entry("a longer one that doesn't match", "one.example", "/one/deep", "one", "deep"),
	Entry("a still longer one that doesn't match", "one.example", "/one/deep/es", "deep", "es"),
	Entry("neighbours that don't match", "one.example", "/one/deer/zzz", "one", "deer/zzz"),
	Entry("past all prefixes", "one.example", "/one/zzz", "one", "zzz"),
	Entry("before all prefixes", "one.example", "/", "", ""),
	Entry("after all prefixes of the host", "one.example", "/zzz", "", ""),
	Entry("an empty path", "one.example", "", "", ""),
	Entry("a port", "one.example:8149", "/one/x", "one", "x"),
	Entry("another case of the host", "ONE.Example", "/one/x", "one", "x"),
	Entry("a route's host in upper case", "upper.example", "/One/x", "upper", "x"),
	Entry("the path's case counts", "upper.example", "/one/x", "", ""),
	Entry("an unknown host", "two.example", "/one/x", "", ""),
	Entry("a host before all", "a", "/one/x", "", ""),
	Entry("a host after all", "z", "/one/x", "", ""),
	Entry("no host", "", "/one/x", "", ""),
	Entry("the root", "root.example", "/any", "root", "any"),
	Entry("a prefix without a slash", "root.example", "/underneath", "under", "neath"),
)

var _ = Describe("the table", func() {
	It("finds the same as a search through all prefixes", func() {
		random := rand.New(rand.NewPCG(1, 2))
		word := func(maxLength int) string {
			letters := make([]byte, random.IntN(maxLength+1))
			for i := range letters {
				letters[i] = "ab/"[random.IntN(3)]
			}
			return "/" + string(letters)
		}
		for range 300 {
			var routes []string
			var prefixes []string
			for i := range random.IntN(12) {
				prefix := word(5)
				if !strings.Contains(strings.Join(prefixes, " ")+" ", prefix+" ") {
					prefixes = append(prefixes, prefix)
					routes = append(routes, aRoute(fmt.Sprint("r", i), "h", prefix, "a"))
				}
			}
			table := stateWith(replace(0, configurationOf(1, routes...))).Document().Table()
			for range 20 {
				path := word(8)
				longest := ""
				for _, prefix := range prefixes {
					if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
						longest = prefix
					}
				}
				route, rest, ok := table.Lookup("h", path)
				Expect(ok).To(Equal(longest != ""), "%s in %v", path, prefixes)
				Expect(route.GetPathPrefix()).To(Equal(longest), "%s in %v", path, prefixes)
				if ok {
					Expect(rest).To(Equal(path[len(longest):]))
				}
			}
		}
	})

	It("identifies a queue by host in lower case and prefix", func() {
		Expect(QueueKey(&Route{Host: "Host.Example", PathPrefix: "/P/"})).To(Equal("host.example/P/"))
	})
})
