package archive_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica/wal"
	"ospreypond/internal/store/vfs"
)

// sample returns a backup of a cluster that has a job in shard 2 and no configuration.
func sample() *archive.Archive {
	made := &archive.Archive{MadeMs: 1_700_000_000_000}
	for id := uint32(1); id <= protocol.JobShards; id++ {
		state := jobs.New(jobs.Options{})
		if id == 2 {
			state.Apply(&jobs.Command{TimeOfDayMs: 5, Submits: []jobs.Submit{{
				ID: "5c0e7a21d94b36f8", Queue: protocol.Queue{Key: "h/p/", Service: "s"},
				Job: protocol.JobSpec{Steps: []protocol.Step{{Count: 2}}},
			}}})
		}
		data, err := state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		made.Shards = append(made.Shards, archive.Shard{ID: id, Index: 30 + uint64(id), Term: 7, Data: data})
	}
	data, err := configuration.NewState().Snapshot()
	Expect(err).NotTo(HaveOccurred())
	made.Shards = append(made.Shards, archive.Shard{Index: 4, Term: 2, Data: data})
	return made
}

var process = archive.Process{Node: "n1", Zone: "z", Address: "10.0.0.1:7380"}

var _ = Describe("a backup's file", func() {
	It("has the same content when it is read again", func() {
		path := filepath.Join(GinkgoT().TempDir(), "x")
		Expect(sample().Write(path)).To(Succeed())
		Expect(archive.Read(path)).To(Equal(sample()))
		Expect(filepath.Glob(path + "*")).To(HaveLen(1))
	})

	It("is never overwritten", func() {
		path := filepath.Join(GinkgoT().TempDir(), "x")
		Expect(os.WriteFile(path, []byte("dear"), 0o600)).To(Succeed())
		Expect(sample().Write(path)).To(MatchError(ContainSubstring("exists already")))
		Expect(os.ReadFile(path)).To(Equal([]byte("dear")))
	})

	It("is rejected if any byte is changed, or if it is truncated at any position", func() {
		content, err := sample().Encode()
		Expect(err).NotTo(HaveOccurred())
		for i := range content {
			damaged := append([]byte(nil), content...)
			damaged[i] ^= 0x10
			_, err := archive.Decode(damaged)
			Expect(err).To(HaveOccurred(), "byte %d", i)
			_, err = archive.Decode(content[:i])
			Expect(err).To(HaveOccurred(), "truncated at %d", i)
		}
	})
})

var _ = DescribeTable("a backup can't be restored if",
	func(change func(*archive.Archive), message string) {
		damaged := sample()
		change(damaged)
		dir := filepath.Join(GinkgoT().TempDir(), "data")
		Expect(damaged.Restore(dir, process)).To(MatchError(ContainSubstring(message)))
		Expect(dir).NotTo(BeADirectory())
	},
	Entry("a shard is missing", func(a *archive.Archive) { a.Shards = a.Shards[1:] }, "shard 1 is missing"),
	Entry("the configuration is missing", func(a *archive.Archive) { a.Shards = a.Shards[:4] }, "shard 0 is missing"),
	Entry("a shard appears twice", func(a *archive.Archive) { a.Shards[1].ID = 1 }, "shard 1 appears twice"),
	Entry("it has an unknown shard", func(a *archive.Archive) { a.Shards[1].ID = 77 }, "shard 77: there is no such shard"),
	Entry("a state can't be decoded", func(a *archive.Archive) { a.Shards[1].Data = []byte{99} }, "shard 2: snapshot of version 99"),
	Entry("the configuration can't be decoded", func(a *archive.Archive) { a.Shards[4].Data = []byte("x") }, "shard 0: "),
)

var _ = Describe("the restore of a backup", func() {
	It("makes the process the only member of all groups, with terms far above those of the backup", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "data")
		Expect(sample().Restore(dir, process)).To(Succeed())
		identity, err := wal.ReadIdentity(vfs.OS{}, dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(identity.First).To(BeEmpty())
		log, groups, err := wal.Open(vfs.OS{}, dir, wal.Options{SegmentBytes: 1 << 20})
		Expect(err).NotTo(HaveOccurred())
		defer log.Close()
		Expect(groups).To(HaveLen(protocol.JobShards + 1))
		for i, shard := range sample().Shards {
			group := groups[shard.ID]
			Expect(group.Snapshot.Data).To(Equal(shard.Data), "shard %d", i)
			Expect(group.Snapshot.Index).To(Equal(shard.Index))
			Expect(group.HardState.Term).To(BeNumerically(">", shard.Term+1000))
			Expect(group.Snapshot.Members).To(HaveLen(1))
			Expect(group.Snapshot.Members[0].ID).To(Equal(identity.ID))
			Expect(group.Snapshot.Members[0].Address).To(Equal(process.Address))
			Expect(group.Snapshot.Members[0].Node).To(Equal(process.Node))
		}
	})

	It("creates a new identity each time", func() {
		var ids []any
		for range 2 {
			dir := filepath.Join(GinkgoT().TempDir(), "data")
			Expect(sample().Restore(dir, process)).To(Succeed())
			identity, err := wal.ReadIdentity(vfs.OS{}, dir)
			Expect(err).NotTo(HaveOccurred())
			ids = append(ids, identity.ID)
		}
		Expect(ids[0]).NotTo(Equal(ids[1]))
	})

	It("doesn't touch a folder that is not empty", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "identity"), []byte("dear"), 0o600)).To(Succeed())
		Expect(sample().Restore(dir, process)).To(MatchError(ContainSubstring("is not empty: it has identity")))
		Expect(os.ReadDir(dir)).To(HaveLen(1))
	})
})
