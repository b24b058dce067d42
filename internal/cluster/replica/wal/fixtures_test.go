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

// fixtureLog is the folder of a log whose files the version of the fixtures wrote.
const fixtureLog = "testdata/log"

var _ = Describe("what the version of the fixtures wrote", func() {
	var files *vfstest.Mem

	BeforeEach(func() {
		files = &vfstest.Mem{}
		Expect(files.MkdirAll(folder)).To(Succeed())
	})

	// content returns the file of that name, and place puts it there.
	content := func(name string) ([]byte, error) { return vfs.ReadFile(files, filepath.Join(folder, name)) }
	place := func(name string, data []byte) {
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
				place("identity", data)
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
				place("snapshot-00000003-00000000000003e9-00000000000003ea.state", data)
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

// writeFixtureLog writes a log that has everything a log can have.
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
	batch.Entries(0, entries(19, 22, 6)) // in place of two that were never committed
	batch.HardState(0, consensus.HardState{Term: 6, Vote: 4, Commit: 18})
	Expect(log.Append(batch)).To(Succeed())
}

// readLog returns what a log holds, by group.
func readLog(dir string) map[uint32]*Group {
	GinkgoHelper()
	log, groups, err := Open(vfs.OS{}, dir, Options{SegmentBytes: 400})
	Expect(err).NotTo(HaveOccurred())
	log.Close()
	return groups
}

// copyOf copies a folder, as opening a log may change it.
func copyOf(dir string) string {
	GinkgoHelper()
	copied := GinkgoT().TempDir()
	Expect(os.CopyFS(copied, os.DirFS(dir))).To(Succeed())
	return copied
}
