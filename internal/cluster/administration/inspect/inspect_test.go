package inspect_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration/inspect"
	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica/wal"
	"ospreypond/internal/store/vfs"
)

var members = []consensus.Member{
	{ID: 17, Node: "n1", Zone: "z1", Address: "10.0.0.1:7380"},
	{ID: 18, Node: "n2", Zone: "z2", Address: "10.0.0.2:7380", Learner: true},
}

// must fails the test on an error.
func must[T any](value T, err error) T {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	return value
}

// submit returns the encoded command that submits a job with two tasks.
func submit(id string) []byte {
	return must(jobs.Encode(&jobs.Command{TimeOfDayMs: 5, Submits: []jobs.Submit{{
		ID: id, Queue: protocol.Queue{Key: "h/p/", Service: "s"}, Job: protocol.JobSpec{Steps: []protocol.Step{{Count: 2}}},
	}}}))
}

// folder returns a new data folder. Shard 0 has entries and no snapshot; shard 2 has a snapshot at index 5 and entries
// after it.
func folder() string {
	dir := GinkgoT().TempDir()
	files := vfs.OS{}
	identity := &wal.Identity{ID: 17, First: members[:1]}
	Expect(wal.WriteIdentity(files, dir, identity)).To(Succeed())
	log, _, err := wal.Open(files, dir, wal.Options{SegmentBytes: 1 << 20})
	Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	command := must(configuration.EncodeCommand(configuration.Command{Kind: protocol.ConfigurationReplace, Body: []byte(
		`{"version":5,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","timeoutMs":9,"service":"s"}],"services":[{"name":"s"}]}`)}))
	state := must(jobs.New(jobs.Options{}).Snapshot())
	snapshot := &consensus.Snapshot{Index: 5, Term: 2, Members: members[:1], Data: state}
	Expect(wal.WriteSnapshot(files, dir, 2, snapshot)).To(Succeed())
	batch := &wal.Batch{}
	batch.Entries(0, []consensus.Entry{{Term: 1, Index: 1, Kind: consensus.EntryEmpty}, {Term: 1, Index: 2, Data: command}})
	batch.HardState(0, consensus.HardState{Term: 3, Vote: 18, Commit: 2})
	batch.Install(2, 5, 2)
	batch.HardState(2, consensus.HardState{Term: 4, Vote: 17, Commit: 6})
	Expect(log.Append(batch)).To(Succeed())
	batch.Reset()
	batch.Entries(2, []consensus.Entry{
		{Term: 2, Index: 6, Data: submit("5c0e7a21d94b36f8")},
		{Term: 4, Index: 7, Kind: consensus.EntryMembership, Data: must(consensus.EncodeMembers(members))},
		{Term: 4, Index: 8, Data: submit("5c0e7a21d94b36f9")},
	})
	Expect(log.Append(batch)).To(Succeed())
	return dir
}

// damage changes one byte of the only file that matches pattern, and returns the file's name. A negative offset counts from
// the end of the file.
func damage(dir, pattern string, offset int) string {
	names := must(filepath.Glob(filepath.Join(dir, pattern)))
	Expect(names).To(HaveLen(1))
	content := must(os.ReadFile(names[0]))
	content[(offset+len(content))%len(content)] ^= 0xff
	Expect(os.WriteFile(names[0], content, 0o600)).To(Succeed())
	return filepath.Base(names[0])
}

// contentsOf returns the content of each file in a folder.
func contentsOf(dir string) map[string]string {
	contents := map[string]string{}
	for _, entry := range must(os.ReadDir(dir)) {
		contents[entry.Name()] = string(must(os.ReadFile(filepath.Join(dir, entry.Name()))))
	}
	return contents
}

var _ = Describe("a data folder", func() {
	It("is listed with its identity and its groups", func() {
		read := must(inspect.Read(folder(), true))
		Expect(read.Faults).To(BeEmpty())
		Expect(read.Identity.String()).To(Equal("11"))
		Expect(read.Groups).To(HaveLen(2))
		configured, shard := read.Groups[0], read.Groups[1]
		Expect(configured.Members).To(HaveLen(1))
		Expect(configured.Members[0].Node).To(Equal("n1"))
		Expect(configured.Vote.String()).To(Equal("12"))
		Expect(configured.Contents).To(Equal("configuration 5: 1 routes, 1 services"))
		Expect(shard.Term).To(Equal(uint64(4)))
		Expect(shard.SnapshotIndex).To(Equal(uint64(5)))
		Expect([]uint64{shard.First, shard.Last, shard.Commit}).To(Equal([]uint64{6, 8, 6}))
		Expect(shard.Members).To(HaveLen(2), "the newest membership counts")
		Expect(shard.Members[1].Learner).To(BeTrue())
		Expect(shard.Contents).To(HavePrefix("2 jobs (4 tasks pending, 0 running)"))
	})

	It("is not modified, even if it has files that a control process would remove at its start", func() {
		dir := folder()
		Expect(os.WriteFile(filepath.Join(dir, "identity.new"), []byte("half"), 0o600)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, "log-00000000000000ff.segment"), []byte("half"), 0o600)).To(Succeed())
		before := contentsOf(dir)
		must(inspect.Read(dir, true))
		Expect(contentsOf(dir)).To(Equal(before))
	})

	It("is not read while another process has locked it", func() {
		dir := folder()
		lock := must(vfs.OS{}.Lock(filepath.Join(dir, "lock")))
		DeferCleanup(lock.Close)
		_, err := inspect.Read(dir, false)
		Expect(err).To(MatchError(ContainSubstring("a process runs on " + dir)))
	})

	It("has no identity if it is empty, and can't be read if it is missing", func() {
		read := must(inspect.Read(GinkgoT().TempDir(), true))
		Expect(read.Faults).To(HaveLen(1))
		Expect(read.Faults[0].Reason).To(ContainSubstring("there is no identity"))
		_, err := inspect.Read("/no/such/folder", true)
		Expect(err).To(HaveOccurred())
	})

	It("has no fault if the end of the log is torn, as a power failure may leave it", func() {
		dir := folder()
		names := must(filepath.Glob(filepath.Join(dir, "log-*")))
		newest := names[len(names)-1]
		content := must(os.ReadFile(newest))
		Expect(os.WriteFile(newest, content[:len(content)-3], 0o600)).To(Succeed())
		read := must(inspect.Read(dir, true))
		Expect(read.Faults).To(BeEmpty())
		Expect(read.Groups[1].Entries).To(BeZero())
	})
})

var _ = DescribeTable("damage is reported by file and offset",
	func(pattern string, offset int, verify bool, reason string) {
		dir := folder()
		name := damage(dir, pattern, offset)
		read := must(inspect.Read(dir, verify))
		Expect(read.Faults).NotTo(BeEmpty())
		Expect(read.Faults[0].File).To(Equal(name))
		Expect(read.Faults[0].Reason).To(ContainSubstring(reason))
		for i, fault := range read.Faults {
			Expect(read.Faults[:i]).NotTo(ContainElement(fault), "each is reported once")
		}
	},
	Entry("of the identity", "identity", 9, false, "its checksum is wrong"),
	Entry("of the identity's version", "identity", 7, false, "it is not an identity of a known version"),
	Entry("of a snapshot", "snapshot-*", -1, false, "its checksum is wrong"),
	Entry("of a snapshot, verified", "snapshot-*", 20, true, "its checksum is wrong"),
	Entry("of the log's first batch", "log-0000000000000001*", 40, false, "its first batches are not valid, but a later one is"),
)

var _ = Describe("an entry that can't be applied", func() {
	It("is reported by shard and index", func() {
		dir := folder()
		log, _, err := wal.Open(vfs.OS{}, dir, wal.Options{SegmentBytes: 1 << 20})
		Expect(err).NotTo(HaveOccurred())
		batch := &wal.Batch{}
		batch.Entries(2, []consensus.Entry{{Term: 4, Index: 9, Data: []byte("nonsense")}})
		batch.Entries(9, []consensus.Entry{{Term: 1, Index: 1}})
		Expect(log.Append(batch)).To(Succeed())
		log.Close()
		read := must(inspect.Read(dir, true))
		var reasons []string
		for _, fault := range read.Faults {
			reasons = append(reasons, fault.Reason)
		}
		Expect(strings.Join(reasons, "\n")).To(And(
			ContainSubstring("shard 2, entry 9 of term 4: "),
			ContainSubstring("shard 9 is unknown to this program"),
		))
	})
})
