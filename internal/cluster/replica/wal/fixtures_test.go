package wal

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/fixturetest"
	"ospreypond/internal/store/vfs"
	"ospreypond/internal/store/vfs/vfstest"
)

// fixtureLog is the folder of a log that the release which made the fixtures has written.
const fixtureLog = "testdata/log"

// An upgraded process reads the files that the previous release has written. These specs fail if a change of the code
// changes how files of an earlier release are read.
var _ = Describe("A file that the release of the fixtures has written", func() {
	var files *vfstest.Mem

	BeforeEach(func() {
		files = &vfstest.Mem{}
		Expect(files.MkdirAll(folder)).To(Succeed())
	})

	// content reads the file with a name, and write writes it.
	content := func(name string) ([]byte, error) { return vfs.ReadFile(files, filepath.Join(folder, name)) }
	write := func(name string, data []byte) {
		Expect(writeAtomically(files, folder, name, [][]byte{data})).To(Succeed())
	}

	It("is read as an identity", func() {
		written := &Identity{}
		fixturetest.Fill(written)
		fixturetest.Check(GinkgoTB(), "identity", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				Expect(WriteIdentity(files, folder, written)).To(Succeed())
				data, err := content(identityName)
				return written, data, err
			},
			Decode: func(data []byte) (any, error) {
				write("identity", data)
				return ReadIdentity(files, folder)
			},
		})
	})

	It("is read as a snapshot", func() {
		const group = 3
		written := &consensus.Snapshot{}
		fixturetest.Fill(written)
		fixturetest.Check(GinkgoTB(), "snapshot", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				Expect(WriteSnapshot(files, folder, group, written)).To(Succeed())
				data, err := content(snapshotName(group, written.Index, written.Term))
				return written, data, err
			},
			Decode: func(data []byte) (any, error) {
				write("snapshot-00000003-00000000000003e9-00000000000003ea.state", data)
				return ReadSnapshot(files, folder, group, written.Index, written.Term)
			},
		})
	})

	It("is read as a log of several groups and segments, with frames of each kind", func() {
		if _, err := os.Stat(fixtureLog); os.IsNotExist(err) && fixturetest.WriteMissing() {
			Expect(os.MkdirAll(fixtureLog, 0o755)).To(Succeed())
			writeFixtureLog(vfs.OS{}, fixtureLog)
		}
		fixturetest.Check(GinkgoTB(), "log", fixturetest.Codec{
			Encode: func() (any, []byte, error) { return readLog(copyOf(fixtureLog)), nil, nil },
			Decode: func([]byte) (any, error) { return readLog(copyOf(fixtureLog)), nil },
		})
	})
})

// writeFixtureLog writes a log of three groups in several segments, with every kind of frame and entry, a compacted and
// an installed snapshot, and entries that replace others.
func writeFixtureLog(files vfs.FS, dir string) {
	GinkgoHelper()
	log, _, err := Open(files, dir, Options{SegmentBytes: 400})
	Expect(err).NotTo(HaveOccurred())
	defer log.Close()
	snapshot := func(index uint64) *consensus.Snapshot {
		made := &consensus.Snapshot{}
		fixturetest.Fill(made)
		made.Index, made.Term = index, 5
		return made
	}
	kinds := []consensus.EntryKind{consensus.EntryEmpty, consensus.EntryMembership, consensus.EntryCommand}
	for index := uint64(1); index <= 20; index++ {
		batch := &Batch{}
		for group := uint32(0); group < 3; group++ {
			made := entry(index, 5)
			made.Kind = kinds[index%3]
			batch.Entries(group, []consensus.Entry{made})
			batch.HardState(group, consensus.HardState{
				Term: 5, Vote: consensus.MemberID(1<<63 + uint64(group)), Commit: index - uint64(group)%index,
			})
		}
		switch index {
		case 14:
			Expect(WriteSnapshot(files, dir, 1, snapshot(12))).To(Succeed())
			batch.Compact(1, 12, 5)
		case 16:
			Expect(WriteSnapshot(files, dir, 2, snapshot(16))).To(Succeed())
			batch.Install(2, 16, 5)
		}
		Expect(log.Append(batch)).To(Succeed())
	}
	batch := &Batch{}
	batch.Entries(0, entries(19, 22, 6)) // replace entries 19 and 20 of term 5, which were not committed
	batch.HardState(0, consensus.HardState{Term: 6, Vote: 4, Commit: 18})
	Expect(log.Append(batch)).To(Succeed())
}

// readLog returns the groups that Open reads from a log.
func readLog(dir string) map[uint32]*Group {
	GinkgoHelper()
	log, groups, err := Open(vfs.OS{}, dir, Options{SegmentBytes: 400})
	Expect(err).NotTo(HaveOccurred())
	log.Close()
	return groups
}

// copyOf returns a copy of a folder, for Open may change the folder of a log.
func copyOf(dir string) string {
	GinkgoHelper()
	copied := GinkgoT().TempDir()
	Expect(os.CopyFS(copied, os.DirFS(dir))).To(Succeed())
	return copied
}
