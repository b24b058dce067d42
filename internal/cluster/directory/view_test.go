package directory

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("The view", func() {
	document := []byte("{}")
	DescribeTable("judges an answer, holding version 5 and owners of revision 3",
		func(answer protocol.WatchResponse, expected news) {
			v := newView(nil)
			v.adopt(5)
			v.ownersAt = 3
			Expect(v.judge(&answer, false)).To(Equal(expected))
			Expect(v.version).To(Equal(uint64(5)))
		},
		Entry("nothing new", protocol.WatchResponse{Version: 5, OwnersAt: 3}, news{}),
		Entry("a newer document", protocol.WatchResponse{Version: 6, Configuration: document, OwnersAt: 3},
			news{configuration: document}),
		Entry("a newer version without its document", protocol.WatchResponse{Version: 6, OwnersAt: 3}, news{incomplete: true}),
		Entry("an older version", protocol.WatchResponse{Version: 4, Configuration: document, OwnersAt: 9,
			Owners: map[protocol.ShardID]string{1: "z"}}, news{stale: true}),
		Entry("none at all", protocol.WatchResponse{}, news{stale: true}),
		Entry("the document held", protocol.WatchResponse{Version: 5, Configuration: document, OwnersAt: 3}, news{}),
		Entry("newer owners", protocol.WatchResponse{Version: 5, OwnersAt: 4, Owners: map[protocol.ShardID]string{1: "x"}},
			news{owners: true}),
		Entry("owners that a new owner counts anew", protocol.WatchResponse{Version: 5, OwnersAt: 1,
			Owners: map[protocol.ShardID]string{1: "x"}}, news{owners: true}),
		Entry("the owners held", protocol.WatchResponse{Version: 5, OwnersAt: 3, Owners: map[protocol.ShardID]string{1: "x"}},
			news{}),
	)

	It("wants no document where only owners are watched", func() {
		v := newView(nil)
		v.adopt(5)
		Expect(v.judge(&protocol.WatchResponse{Version: 6}, true)).To(Equal(news{}))
		Expect(v.judge(&protocol.WatchResponse{Version: 4}, true)).To(Equal(news{stale: true}))
	})

	It("never moves back", func() {
		v := newView(nil)
		v.adopt(5)
		v.adopt(4)
		Expect(v.version).To(Equal(uint64(5)))
		late := time.Unix(100, 0)
		v.confirm(late)
		v.confirm(late.Add(-time.Second))
		Expect(v.confirmedAt).To(Equal(late))
	})

	It("knows members before seeds, each once, and goes round", func() {
		v := newView([]string{"s1", "m2", "s3"})
		v.judge(&protocol.WatchResponse{OwnersAt: 1, Members: []protocol.Member{
			{ID: 1, Address: "m1"}, {ID: 2, Address: "m2"}, {ID: 3}}}, false)
		Expect(v.addresses).To(Equal([]string{"m1", "m2", "s1", "s3"}))
		Expect(v.after("m2")).To(Equal("s1"))
		Expect(v.after("s3")).To(Equal("m1"))
		Expect(v.after("unknown")).To(Equal("m1"))
		v.setSeeds([]string{"s9"})
		Expect(v.addresses).To(Equal([]string{"m1", "m2", "s9"}))
		Expect(newView(nil).after("x")).To(BeEmpty())
	})

	It("forgets an owner only if it is the one", func() {
		v := newView(nil)
		v.learn(2, "x")
		v.learn(2, "")
		v.forget(2, "y")
		Expect(v.owners).To(HaveKeyWithValue(protocol.ShardID(2), "x"))
		v.forget(2, "x")
		Expect(v.owners).To(BeEmpty())
	})
})
