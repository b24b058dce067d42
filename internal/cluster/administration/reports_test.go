package administration_test

import (
	"fmt"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// newFakeSystem starts fake control processes. The report of each names all of them as members of one group.
func newFakeSystem(count int) []*fakeControl {
	var controls []*fakeControl
	var members []administration.MemberReport
	for i := range count {
		f := newFakeControl()
		controls = append(controls, f)
		members = append(members, administration.MemberReport{Member: protocol.Member{ID: uint64(i + 1), Address: f.address}})
	}
	for i, f := range controls {
		f.report = administration.Report{
			Node: fmt.Sprint("n", i+1), Identity: uint64(i + 1), Address: f.address,
			Groups: []administration.GroupReport{{Shard: 1, Members: members}},
		}
		f.respond = func(any) (any, error) { return &administration.ResignResponse{Left: i}, nil }
	}
	return controls
}

var _ = Describe("reports", func() {
	It("come from all members, even if the address of only one is given", func() {
		controls := newFakeSystem(3)
		reports, err := dial(controls[1].address).Reports(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		Expect(reports).To(HaveLen(3))
		Expect(reports[0].Node).To(Equal("n1"))
	})

	It("have a process once, even if two of its addresses are given", func() {
		controls := newFakeSystem(1)
		_, port, err := net.SplitHostPort(controls[0].address)
		Expect(err).NotTo(HaveOccurred())
		Expect(dial(controls[0].address, "localhost:"+port).Reports(within(callTimeout))).To(HaveLen(1))
	})

	It("come from the processes that answer", func() {
		controls := newFakeSystem(2)
		Expect(dial("127.0.0.1:1", controls[0].address).Reports(within(callTimeout))).To(HaveLen(2))
	})

	It("fail with an error that names the addresses if no process answers", func() {
		_, err := dial("127.0.0.1:1").Reports(within(callTimeout))
		Expect(err).To(MatchError(ContainSubstring("no control process answers at 127.0.0.1:1")))
	})
})

var _ = Describe("draining", func() {
	It("sends the request only to the process with the given node or address", func() {
		controls := newFakeSystem(3)
		client := dial(controls[0].address)
		Expect(client.Drain(within(callTimeout), "n3")).To(Equal(2))
		Expect(client.Drain(within(callTimeout), controls[1].address)).To(Equal(1))
		Expect(controls[0].requests()).To(BeEmpty())
		Expect(controls[1].requests()).To(HaveLen(1))
		Expect(controls[2].requests()).To(HaveLen(1))
	})

	It("fails with an error that names the existing nodes if no process has the given one", func() {
		_, err := dial(newFakeSystem(2)[0].address).Drain(within(callTimeout), "n7")
		Expect(failure.KindOf(err)).To(Equal(failure.Invalid))
		Expect(err).To(MatchError(ContainSubstring(`no control process "n7" answers; there are ["n1" "n2"]`)))
	})
})

var _ = Describe("a backup", func() {
	complete := []byte("0123456789")

	// chunk returns an owner's correct response, with three bytes of the state.
	chunk := func(request administration.SnapshotRequest) *administration.SnapshotResponse {
		end := min(request.Offset+3, len(complete))
		return &administration.SnapshotResponse{Session: 4, Index: 8, Term: 2, Total: len(complete), Data: complete[request.Offset:end]}
	}

	It("is put together from chunks", func() {
		f := newFakeControl()
		f.respond = func(request any) (any, error) { return chunk(request.(administration.SnapshotRequest)), nil }
		backup, err := dial(f.address).Backup(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		Expect(backup.Shards).To(HaveLen(protocol.JobShards + 1))
		Expect(backup.Shards[protocol.JobShards].ID).To(Equal(uint32(protocol.ConfigurationShard)))
		for _, shard := range backup.Shards {
			Expect(shard.Data).To(Equal(complete))
			Expect(shard.Index).To(Equal(uint64(8)))
		}
	})

	It("may contain an empty state", func() {
		f := newFakeControl()
		f.respond = func(any) (any, error) { return &administration.SnapshotResponse{Session: 1, Index: 1, Term: 1}, nil }
		Expect(dial(f.address).Backup(within(callTimeout))).NotTo(BeNil())
	})

	It("reads a shard from the start again if its owner changes between two chunks", func() {
		f := newFakeControl()
		changes := 2
		f.respond = func(request any) (any, error) {
			requested := request.(administration.SnapshotRequest)
			if requested.Offset > 0 && changes > 0 {
				changes--
				if changes == 0 {
					other := chunk(requested)
					other.Index++
					return other, nil
				}
				return nil, failure.New(failure.Conflict, "the session has ended")
			}
			return chunk(requested), nil
		}
		backup, err := dial(f.address).Backup(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		Expect(backup.Shards[0].Data).To(Equal(complete))
	})

	It("fails if a shard's owner changes each time that it is read", func() {
		f := newFakeControl()
		f.respond = func(request any) (any, error) {
			if request.(administration.SnapshotRequest).Session != 0 {
				return nil, failure.New(failure.Conflict, "the session has ended")
			}
			return chunk(administration.SnapshotRequest{}), nil
		}
		_, err := dial(f.address).Backup(within(callTimeout))
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
	})
})

var _ = Describe("digests", func() {
	// appliedAt40 returns fakes that have applied index 40. Each has one of the digests, for that index only.
	appliedAt40 := func(digests ...uint64) []*fakeControl {
		controls := newFakeSystem(len(digests))
		for i, f := range controls {
			f.report.Groups[0].Applied = 40
			f.respond = func(request any) (any, error) {
				requested, _ := request.(administration.DigestRequest)
				if requested.Index != 40 {
					return nil, failure.New(failure.Conflict, "past that index")
				}
				return &administration.DigestResponse{Digest: digests[i]}, nil
			}
		}
		return controls
	}
	digestsOf := func(controls []*fakeControl) administration.ShardDigests {
		GinkgoHelper()
		all, err := dial(controls[0].address).Digests(within(callTimeout))
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveLen(protocol.JobShards + 1))
		return all[1]
	}

	It("are compared as of one index", func() {
		shard := digestsOf(appliedAt40(7, 7, 7))
		Expect(shard.Index).To(Equal(uint64(40)))
		Expect(shard.Members).To(HaveLen(3))
		Expect(shard.Members[2].Digest).To(Equal("0000000000000007"))
		Expect(shard.Differ()).To(BeFalse())
	})

	It("differ if a member has another state", func() {
		shard := digestsOf(appliedAt40(7, 8, 7))
		Expect(shard.Differ()).To(BeTrue())
	})

	It("are requested for a later index if the members are past the first one", func() {
		controls := appliedAt40(7, 7)
		controls[1].respond = func(request any) (any, error) {
			requested, _ := request.(administration.DigestRequest)
			if requested.Index <= 40 {
				return nil, failure.New(failure.Conflict, "past that index")
			}
			return &administration.DigestResponse{Digest: 9}, nil
		}
		controls[0].respond = controls[1].respond
		shard := digestsOf(controls)
		Expect(shard.Index).To(BeNumerically(">", 40))
		Expect(shard.Members[0].Digest).To(Equal("0000000000000009"))
		Expect(shard.Differ()).To(BeFalse())
	})

	It("are empty for a member that returns none", func() {
		controls := appliedAt40(7, 7)
		controls[1].respond = func(any) (any, error) { return nil, failure.New(failure.Unavailable, "it does not reach the index") }
		shard := digestsOf(controls)
		Expect(shard.Members[0].Digest).To(Equal("0000000000000007"))
		Expect(shard.Members[1].Digest).To(BeEmpty())
		Expect(shard.Differ()).To(BeFalse())
	})
})
