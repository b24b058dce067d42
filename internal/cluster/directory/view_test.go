package directory

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/protocol"
)

var _ = Describe("The view of a Directory", func() {
	document := []byte("{}")
	DescribeTable("with version 5 and owners of revision 3 applies a response with",
		func(response protocol.WatchResponse, expected viewUpdate) {
			v := newView(nil)
			v.setVersion(5)
			v.ownersAt = 3
			Expect(v.apply(&response, false)).To(Equal(expected))
			Expect(v.version).To(Equal(uint64(5)))
		},
		Entry("nothing new", protocol.WatchResponse{Version: 5, OwnersAt: 3}, viewUpdate{}),
		Entry("a newer document", protocol.WatchResponse{Version: 6, Configuration: document, OwnersAt: 3},
			viewUpdate{configuration: document}),
		Entry("a newer version without its document", protocol.WatchResponse{Version: 6, OwnersAt: 3},
			viewUpdate{incomplete: true}),
		Entry("an older version", protocol.WatchResponse{Version: 4, Configuration: document, OwnersAt: 9,
			Owners: map[protocol.ShardID]string{1: "z"}}, viewUpdate{stale: true}),
		Entry("no version", protocol.WatchResponse{}, viewUpdate{stale: true}),
		Entry("the document of its own version", protocol.WatchResponse{Version: 5, Configuration: document, OwnersAt: 3},
			viewUpdate{}),
		Entry("owners of a higher revision", protocol.WatchResponse{Version: 5, OwnersAt: 4,
			Owners: map[protocol.ShardID]string{1: "x"}},
			viewUpdate{ownersChanged: true}),
		Entry("owners of a lower revision, from a new owner of the configuration that counts from the start", protocol.WatchResponse{
			Version: 5, OwnersAt: 1,
			Owners: map[protocol.ShardID]string{1: "x"}}, viewUpdate{ownersChanged: true}),
		Entry("owners of its own revision", protocol.WatchResponse{Version: 5, OwnersAt: 3,
			Owners: map[protocol.ShardID]string{1: "x"}},
			viewUpdate{}),
	)

	It("does not miss a document if only owners are watched", func() {
		v := newView(nil)
		v.setVersion(5)
		Expect(v.apply(&protocol.WatchResponse{Version: 6}, true)).To(Equal(viewUpdate{}))
		Expect(v.apply(&protocol.WatchResponse{Version: 4}, true)).To(Equal(viewUpdate{stale: true}))
	})

	It("goes back neither to a lower version nor to an earlier confirmation", func() {
		v := newView(nil)
		v.setVersion(5)
		v.setVersion(4)
		Expect(v.version).To(Equal(uint64(5)))
		late := time.Unix(100, 0)
		v.confirm(late)
		v.confirm(late.Add(-time.Second))
		Expect(v.confirmedAt).To(Equal(late))
	})

	It("lists each address once, members before seeds, and goes through the list round robin", func() {
		v := newView([]string{"s1", "m2", "s3"})
		v.apply(&protocol.WatchResponse{OwnersAt: 1, Members: []protocol.Member{
			{ID: 1, Address: "m1"}, {ID: 2, Address: "m2"}, {ID: 3}}}, false)
		Expect(v.addresses).To(Equal([]string{"m1", "m2", "s1", "s3"}))
		Expect(v.targetAfter("m2")).To(Equal("s1"))
		Expect(v.targetAfter("s3")).To(Equal("m1"))
		Expect(v.targetAfter("unknown")).To(Equal("m1"))
		v.setSeeds([]string{"s9"})
		Expect(v.addresses).To(Equal([]string{"m1", "m2", "s9"}))
		Expect(newView(nil).targetAfter("x")).To(BeEmpty())
	})

	It("removes a shard's owner only if the given address is the recorded one", func() {
		v := newView(nil)
		v.setOwner(2, "x")
		v.setOwner(2, "")
		v.removeOwner(2, "y")
		Expect(v.owners).To(HaveKeyWithValue(protocol.ShardID(2), "x"))
		v.removeOwner(2, "x")
		Expect(v.owners).To(BeEmpty())
	})
})
