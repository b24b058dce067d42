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

// systemOf starts fakes whose reports name all as members of one group.
func systemOf(count int) []*fakeControl {
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
		f.answer = func(any) (any, error) { return &administration.ResignResponse{Left: i}, nil }
	}
	return controls
}

var _ = Describe("reports", func() {
	It("come from all members, though only one is given", func() {
		controls := systemOf(3)
		reports, err := dial(controls[1].address).Reports(soon(patience))
		Expect(err).NotTo(HaveOccurred())
		Expect(reports).To(HaveLen(3))
		Expect(reports[0].Node).To(Equal("n1"))
	})

	It("count a process once that stands under two addresses", func() {
		controls := systemOf(1)
		_, port, err := net.SplitHostPort(controls[0].address)
		Expect(err).NotTo(HaveOccurred())
		Expect(dial(controls[0].address, "localhost:"+port).Reports(soon(patience))).To(HaveLen(1))
	})

	It("are what there is while some do not answer", func() {
		controls := systemOf(2)
		Expect(dial("127.0.0.1:1", controls[0].address).Reports(soon(patience))).To(HaveLen(2))
	})

	It("name the addresses if nobody answers", func() {
		_, err := dial("127.0.0.1:1").Reports(soon(patience))
		Expect(err).To(MatchError(ContainSubstring("no control process answers at 127.0.0.1:1")))
	})
})

var _ = Describe("draining", func() {
	It("asks the process of that name, or of that address, alone", func() {
		controls := systemOf(3)
		client := dial(controls[0].address)
		Expect(client.Drain(soon(patience), "n3")).To(Equal(2))
		Expect(client.Drain(soon(patience), controls[1].address)).To(Equal(1))
		Expect(controls[0].requests()).To(BeEmpty())
		Expect(controls[1].requests()).To(HaveLen(1))
		Expect(controls[2].requests()).To(HaveLen(1))
	})

	It("names those that there are", func() {
		_, err := dial(systemOf(2)[0].address).Drain(soon(patience), "n7")
		Expect(failure.KindOf(err)).To(Equal(failure.Invalid))
		Expect(err).To(MatchError(ContainSubstring(`no control process "n7" answers; there are ["n1" "n2"]`)))
	})
})

var _ = Describe("a backup", func() {
	whole := []byte("0123456789")

	// piece is an honest owner's answer, three bytes at a time.
	piece := func(asked administration.SnapshotRequest) *administration.SnapshotResponse {
		end := min(asked.Offset+3, len(whole))
		return &administration.SnapshotResponse{Session: 4, Index: 8, Term: 2, Total: len(whole), Data: whole[asked.Offset:end]}
	}

	It("is put together from pieces", func() {
		f := newFakeControl()
		f.answer = func(request any) (any, error) { return piece(request.(administration.SnapshotRequest)), nil }
		made, err := dial(f.address).Backup(soon(patience))
		Expect(err).NotTo(HaveOccurred())
		Expect(made.Shards).To(HaveLen(protocol.JobShards + 1))
		Expect(made.Shards[protocol.JobShards].ID).To(Equal(uint32(protocol.ConfigurationShard)))
		for _, shard := range made.Shards {
			Expect(shard.Data).To(Equal(whole))
			Expect(shard.Index).To(Equal(uint64(8)))
		}
	})

	It("may hold a state without a byte", func() {
		f := newFakeControl()
		f.answer = func(any) (any, error) { return &administration.SnapshotResponse{Session: 1, Index: 1, Term: 1}, nil }
		Expect(dial(f.address).Backup(soon(patience))).NotTo(BeNil())
	})

	It("reads a shard anew whose owner has changed meanwhile", func() {
		f := newFakeControl()
		changes := 2
		f.answer = func(request any) (any, error) {
			asked := request.(administration.SnapshotRequest)
			if asked.Offset > 0 && changes > 0 {
				changes--
				if changes == 0 {
					other := piece(asked)
					other.Index++
					return other, nil
				}
				return nil, failure.New(failure.Conflict, "this reading is over")
			}
			return piece(asked), nil
		}
		made, err := dial(f.address).Backup(soon(patience))
		Expect(err).NotTo(HaveOccurred())
		Expect(made.Shards[0].Data).To(Equal(whole))
	})

	It("is given up if owners change again and again", func() {
		f := newFakeControl()
		f.answer = func(request any) (any, error) {
			if request.(administration.SnapshotRequest).Session != 0 {
				return nil, failure.New(failure.Conflict, "this reading is over")
			}
			return piece(administration.SnapshotRequest{}), nil
		}
		_, err := dial(f.address).Backup(soon(patience))
		Expect(failure.KindOf(err)).To(Equal(failure.Conflict))
	})
})

var _ = Describe("digests", func() {
	// standing has fakes that stand at an index, which they tell the digest of.
	standing := func(digests ...uint64) []*fakeControl {
		controls := systemOf(len(digests))
		for i, f := range controls {
			f.report.Groups[0].Applied = 40
			f.answer = func(request any) (any, error) {
				asked, _ := request.(administration.DigestRequest)
				if asked.Index != 40 {
					return nil, failure.New(failure.Conflict, "it is past that")
				}
				return &administration.DigestResponse{Digest: digests[i]}, nil
			}
		}
		return controls
	}
	ask := func(controls []*fakeControl) administration.ShardDigests {
		GinkgoHelper()
		all, err := dial(controls[0].address).Digests(soon(patience))
		Expect(err).NotTo(HaveOccurred())
		Expect(all).To(HaveLen(protocol.JobShards + 1))
		return all[1]
	}

	It("are compared as of one index", func() {
		shard := ask(standing(7, 7, 7))
		Expect(shard.Index).To(Equal(uint64(40)))
		Expect(shard.Members).To(HaveLen(3))
		Expect(shard.Members[2].Digest).To(Equal("0000000000000007"))
		Expect(shard.Differ()).To(BeFalse())
	})

	It("tell of a member with another state", func() {
		shard := ask(standing(7, 8, 7))
		Expect(shard.Differ()).To(BeTrue())
	})

	It("are asked for a little ahead where a member is past the index", func() {
		controls := standing(7, 7)
		controls[1].answer = func(request any) (any, error) {
			asked, _ := request.(administration.DigestRequest)
			if asked.Index <= 40 {
				return nil, failure.New(failure.Conflict, "it is past that")
			}
			return &administration.DigestResponse{Digest: 9}, nil
		}
		controls[0].answer = controls[1].answer
		shard := ask(controls)
		Expect(shard.Index).To(BeNumerically(">", 40))
		Expect(shard.Members[0].Digest).To(Equal("0000000000000009"))
		Expect(shard.Differ()).To(BeFalse())
	})

	It("are none where a member gives none", func() {
		controls := standing(7, 7)
		controls[1].answer = func(any) (any, error) { return nil, failure.New(failure.Unavailable, "it does not get there") }
		shard := ask(controls)
		Expect(shard.Members[0].Digest).To(Equal("0000000000000007"))
		Expect(shard.Members[1].Digest).To(BeEmpty())
		Expect(shard.Differ()).To(BeFalse())
	})
})
