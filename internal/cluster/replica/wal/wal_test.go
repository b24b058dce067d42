package wal

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs"
	"ospreypond/internal/store/vfs/vfstest"
)

func TestWAL(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wal")
}

const folder = "data"

// smallSegments makes the log start a new segment after every few batches.
var smallSegments = Options{SegmentBytes: 300}

func entry(index, term uint64) consensus.Entry {
	data := fmt.Sprintf("entry %d of term %d", index, term)
	return consensus.Entry{Index: index, Term: term, Data: []byte(data)}
}

// entries returns the entries from first up to and including last.
func entries(first, last, term uint64) []consensus.Entry {
	var list []consensus.Entry
	for index := first; index <= last; index++ {
		list = append(list, entry(index, term))
	}
	return list
}

func open(files vfs.FS, options Options) (*Log, map[uint32]*Group) {
	GinkgoHelper()
	log, groups, err := Open(files, folder, options)
	Expect(err).NotTo(HaveOccurred())
	return log, groups
}

// appendBatch appends a batch that fill has filled.
func appendBatch(log *Log, fill func(*Batch)) {
	GinkgoHelper()
	batch := &Batch{}
	fill(batch)
	Expect(log.Append(batch)).To(Succeed())
}

// snapshotAt writes a snapshot of a group.
func snapshotAt(files vfs.FS, group uint32, index, term uint64) {
	GinkgoHelper()
	snapshot := &consensus.Snapshot{
		Index:   index,
		Term:    term,
		Members: []consensus.Member{{ID: 7, Address: "here"}},
		Data:    []byte(fmt.Sprintf("state at %d", index)),
	}
	Expect(WriteSnapshot(files, folder, group, snapshot)).To(Succeed())
}

// expectDamage expects err to be a *DamageError, and returns it.
func expectDamage(err error) *DamageError {
	GinkgoHelper()
	var damage *DamageError
	Expect(errors.As(err, &damage)).To(BeTrue(), "%v", err)
	return damage
}

var _ = Describe("Log", func() {
	var files *vfstest.Mem

	BeforeEach(func() {
		files = &vfstest.Mem{}
		Expect(files.MkdirAll(folder)).To(Succeed())
	})

	// Each step fills one batch. The log is opened twice: the second time shows that opening it did not change it.
	DescribeTable("returns after a restart what was appended:",
		func(steps []func(*Batch), expected Group) {
			for _, options := range []Options{smallSegments, {SegmentBytes: 1 << 20}} {
				files = &vfstest.Mem{}
				Expect(files.MkdirAll(folder)).To(Succeed())
				snapshotAt(files, 3, 4, 1)
				log, _ := open(files, options)
				// Open has removed the file, since no batch refers to it yet.
				snapshotAt(files, 3, 4, 1)
				for _, step := range steps {
					appendBatch(log, step)
				}
				for range 2 {
					_, groups := open(files, options)
					Expect(groups[3].HardState).To(Equal(expected.HardState))
					Expect(groups[3].Entries).To(HaveExactElements(expected.Entries))
					if expected.Snapshot == nil {
						Expect(groups[3].Snapshot).To(BeNil())
					} else {
						Expect(groups[3].Snapshot.Index).To(Equal(expected.Snapshot.Index))
						Expect(string(groups[3].Snapshot.Data)).To(Equal("state at 4"))
						Expect(groups[3].Snapshot.Members).To(HaveLen(1))
					}
				}
			}
		},
		Entry("a hard state",
			[]func(*Batch){
				func(b *Batch) { b.HardState(3, consensus.HardState{Term: 2, Vote: 1 << 63, Commit: 0}) },
			},
			Group{HardState: consensus.HardState{Term: 2, Vote: 1 << 63}}),
		Entry("entries",
			[]func(*Batch){
				func(b *Batch) { b.Entries(3, entries(1, 3, 1)) },
				func(b *Batch) { b.Entries(3, entries(4, 30, 1)) },
			},
			Group{Entries: entries(1, 30, 1)}),
		Entry("entries of two groups in the same batches",
			[]func(*Batch){
				func(b *Batch) { b.Entries(3, entries(1, 3, 1)); b.Entries(4, entries(1, 9, 1)) },
				func(b *Batch) { b.Entries(4, entries(3, 4, 2)); b.Entries(3, entries(4, 5, 1)) },
			},
			Group{Entries: entries(1, 5, 1)}),
		Entry("entries that replace others at the same and higher indexes",
			[]func(*Batch){
				func(b *Batch) { b.Entries(3, entries(1, 30, 1)) },
				func(b *Batch) { b.Entries(3, entries(3, 4, 2)) },
			},
			Group{Entries: append(entries(1, 2, 1), entries(3, 4, 2)...)}),
		Entry("a snapshot that replaces the entries up to its index",
			[]func(*Batch){
				func(b *Batch) { b.Entries(3, entries(1, 9, 1)) },
				func(b *Batch) { b.Compact(3, 4, 1) },
				func(b *Batch) { b.Entries(3, entries(10, 11, 1)) },
			},
			Group{Snapshot: &consensus.Snapshot{Index: 4}, Entries: entries(5, 11, 1)}),
		Entry("a snapshot that replaces the complete log",
			[]func(*Batch){
				func(b *Batch) { b.Entries(3, entries(1, 9, 1)) },
				func(b *Batch) { b.Install(3, 4, 1); b.Entries(3, entries(5, 6, 2)) },
			},
			Group{Snapshot: &consensus.Snapshot{Index: 4}, Entries: entries(5, 6, 2)}),
		Entry("a commit index beyond the newest entry, which it is limited to",
			[]func(*Batch){
				func(b *Batch) { b.HardState(3, consensus.HardState{Term: 1, Commit: 9}) },
				func(b *Batch) { b.Entries(3, entries(1, 2, 1)) },
			},
			Group{HardState: consensus.HardState{Term: 1, Commit: 2}, Entries: entries(1, 2, 1)}),
	)

	// newest returns the name and the content of the newest segment's file.
	newest := func() (string, []byte) {
		content := files.Files()
		names := slices.Sorted(maps.Keys(content))
		names = slices.DeleteFunc(names, func(name string) bool {
			_, ok := parseSegmentName(filepath.Base(name))
			return !ok
		})
		name := names[len(names)-1]
		return name, content[name]
	}

	// withContent returns a copy of the disk on which one file has other content.
	withContent := func(name string, content []byte) *vfstest.Mem {
		all := files.Files()
		all[name] = content
		return vfstest.FromFiles(all)
	}

	// The power failed while the last batch was written, so that any number of its bytes may be on disk.
	It("ignores a last batch that ends after any byte, and can be appended to", func() {
		log, _ := open(files, Options{SegmentBytes: 1 << 20})
		appendBatch(log, func(b *Batch) { b.Entries(1, entries(1, 2, 1)) })
		name, before := newest()
		appendBatch(log, func(b *Batch) { b.Entries(1, entries(3, 4, 1)) })
		_, after := newest()
		for length := len(before); length < len(after); length++ {
			torn := withContent(name, after[:length])
			log, groups := open(torn, smallSegments)
			Expect(groups[1].Entries).To(HaveExactElements(entries(1, 2, 1)))
			appendBatch(log, func(b *Batch) { b.Entries(1, entries(3, 3, 2)) })
			_, groups = open(torn, smallSegments)
			Expect(groups[1].Entries).To(HaveExactElements(append(entries(1, 2, 1), entries(3, 3, 2)...)))
		}
	})

	It("ignores bytes after the last batch, also copies of earlier batches", func() {
		log, _ := open(files, Options{SegmentBytes: 1 << 20})
		appendBatch(log, func(b *Batch) { b.Entries(1, entries(1, 2, 1)) })
		name, content := newest()
		for _, garbage := range []string{"\x00\x00\x00\x00", "garbage of some length", string(content[segmentHeaderSize:])} {
			_, groups := open(withContent(name, append(slices.Clone(content), garbage...)), smallSegments)
			Expect(groups[1].Entries).To(HaveExactElements(entries(1, 2, 1)))
		}
	})

	It("reports a changed byte anywhere before the last batch, with file and offset", func() {
		log, _ := open(files, Options{SegmentBytes: 1 << 20})
		for index := uint64(1); index <= 3; index++ {
			appendBatch(log, func(b *Batch) { b.Entries(1, entries(index, index, 1)) })
		}
		name, before := newest()
		appendBatch(log, func(b *Batch) { b.Entries(1, entries(4, 4, 1)) })
		_, content := newest()
		for offset := range before {
			changed := slices.Clone(content)
			changed[offset] ^= 0x10
			_, _, err := Open(withContent(name, changed), folder, smallSegments)
			damage := expectDamage(err)
			Expect(damage.File).To(Equal(filepath.Base(name)))
			Expect(damage.Offset).To(BeNumerically("<=", offset))
			Expect(damage.Error()).To(ContainSubstring(filepath.Base(name)))
		}
	})

	It("reports a changed or missing byte in a segment that is not the newest", func() {
		log, _ := open(files, smallSegments)
		for index := uint64(1); index <= 60; index++ {
			appendBatch(log, func(b *Batch) { b.Entries(1, entries(index, index, 1)) })
		}
		Expect(log.Segments()).To(BeNumerically(">", 3))
		first := filepath.Join(folder, segmentName(2))
		content := files.Files()[first]
		for _, change := range []func([]byte) []byte{
			func(b []byte) []byte { b[len(b)-1] ^= 1; return b },
			func(b []byte) []byte { b[0] ^= 1; return b },
			func(b []byte) []byte { return b[:len(b)-1] },
			func(b []byte) []byte { return b[:10] },
		} {
			_, _, err := Open(withContent(first, change(slices.Clone(content))), folder, smallSegments)
			Expect(expectDamage(err).File).To(Equal(segmentName(2)))
		}
	})

	It("removes the oldest segments once snapshots of all groups cover them, and no others", func() {
		log, _ := open(files, smallSegments)
		appendBatch(log, func(b *Batch) { b.Entries(2, entries(1, 1, 1)) })
		for index := uint64(1); index <= 60; index++ {
			appendBatch(log, func(b *Batch) { b.Entries(1, entries(index, index, 1)) })
		}
		many := log.Segments()
		snapshotAt(files, 1, 50, 1)
		appendBatch(log, func(b *Batch) { b.Compact(1, 50, 1) })
		removed, err := log.RemoveObsolete()
		Expect(err).NotTo(HaveOccurred())
		Expect(removed).To(BeZero())
		Expect(log.PinningGroups()).To(ConsistOf(uint32(2)))

		snapshotAt(files, 2, 1, 1)
		appendBatch(log, func(b *Batch) { b.Compact(2, 1, 1) })
		_, err = log.RemoveObsolete()
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Segments()).To(BeNumerically("<", many/2))
		_, groups := open(files, smallSegments)
		Expect(groups[1].Entries).To(HaveExactElements(entries(51, 60, 1)))
		Expect(groups[2].Entries).To(BeEmpty())
		Expect(groups[2].Snapshot.Index).To(Equal(uint64(1)))
	})

	// Entries 11 to 40 are replaced, so no snapshot will ever cover them. They must not keep their segments forever.
	It("removes segments whose entries later entries have replaced", func() {
		log, _ := open(files, smallSegments)
		for index := uint64(1); index <= 40; index++ {
			appendBatch(log, func(b *Batch) { b.Entries(1, entries(index, index, 1)) })
		}
		appendBatch(log, func(b *Batch) { b.Entries(1, entries(10, 10, 2)) })
		snapshotAt(files, 1, 10, 2)
		appendBatch(log, func(b *Batch) { b.Compact(1, 10, 2) })
		_, err := log.RemoveObsolete()
		Expect(err).NotTo(HaveOccurred())
		Expect(log.Segments()).To(BeNumerically("<=", 2))
	})

	// The folder is not synced after a removal, so a power failure may undo the removal of some segments.
	It("returns the same entries if removed segments reappear", func() {
		log, _ := open(files, smallSegments)
		for index := uint64(1); index <= 60; index++ {
			appendBatch(log, func(b *Batch) { b.Entries(1, entries(index, index, 1)) })
		}
		before := files.Files()
		snapshotAt(files, 1, 55, 1)
		appendBatch(log, func(b *Batch) { b.Compact(1, 55, 1) })
		_, err := log.RemoveObsolete()
		Expect(err).NotTo(HaveOccurred())
		after := files.Files()
		oldest := log.segments[0].number
		for back := uint64(1); back < oldest; back++ {
			for _, last := range []uint64{back, oldest - 1} { // segment back alone, or all removed ones from back on
				all := maps.Clone(after)
				for number := back; number <= last; number++ {
					name := filepath.Join(folder, segmentName(number))
					all[name] = before[name]
				}
				again := vfstest.FromFiles(all)
				log, groups := open(again, smallSegments)
				Expect(groups[1].Entries).To(HaveExactElements(entries(56, 60, 1)))
				appendBatch(log, func(b *Batch) { b.Entries(1, entries(61, 61, 1)) })
				_, err := log.RemoveObsolete()
				Expect(err).NotTo(HaveOccurred())
				Expect(log.Segments()).To(BeNumerically("<", 8))
			}
		}
	})

	// A failed sync drops half of a batch on disk, but the page cache still has the complete batch. The process ends, and
	// the next process reads the batch. It must make the batch durable before it acknowledges anything.
	It("makes the last batch durable that an earlier process failed to sync, with the first batch of its own", func() {
		log, _ := open(splitWrites{files}, Options{SegmentBytes: 1 << 20})
		appendBatch(log, func(b *Batch) { b.Entries(1, entries(1, 1, 1)) })
		files.SetOnCall(func(call vfstest.Call) vfstest.Fault {
			if call.Op == "sync" {
				return vfstest.Fault{Err: errors.New("the sync fails")}
			}
			return vfstest.Fault{}
		})
		batch := &Batch{}
		batch.Entries(1, entries(2, 2, 1))
		Expect(log.Append(batch)).NotTo(Succeed())
		files.SetOnCall(nil)
		log, groups := open(splitWrites{files}, smallSegments)
		Expect(groups[1].Entries).To(HaveExactElements(entries(1, 2, 1)), "the next process can still read the batch")
		appendBatch(log, func(b *Batch) { b.HardState(1, consensus.HardState{Term: 1}) })
		files = files.Crash(rand.New(rand.NewPCG(1, 1)))
		_, groups = open(splitWrites{files}, smallSegments)
		Expect(groups[1].Entries).To(HaveExactElements(entries(1, 2, 1)), "the batch is durable after the first Append")
	})

	It("reports entries that are missing because a segment is", func() {
		log, _ := open(files, smallSegments)
		for index := uint64(1); index <= 60; index++ {
			appendBatch(log, func(b *Batch) { b.Entries(1, entries(index, index, 1)) })
		}
		all := files.Files()
		delete(all, filepath.Join(folder, segmentName(2)))
		_, _, err := Open(vfstest.FromFiles(all), folder, smallSegments)
		Expect(expectDamage(err).File).To(Equal(segmentName(3)), "the oldest segment after the missing one")
	})

	It("removes every snapshot except the newest, in whatever order they are recorded", func() {
		log, _ := open(files, smallSegments)
		appendBatch(log, func(b *Batch) { b.Entries(1, entries(1, 9, 1)) })
		for _, index := range []uint64{3, 5, 4} {
			snapshotAt(files, 1, index, 1)
			appendBatch(log, func(b *Batch) { b.Compact(1, index, 1) })
			_, err := log.RemoveObsolete()
			Expect(err).NotTo(HaveOccurred())
		}
		var left []string
		for name := range files.Files() {
			if isSnapshotFile(filepath.Base(name)) {
				left = append(left, filepath.Base(name))
			}
		}
		Expect(left).To(ConsistOf(snapshotName(1, 5, 1)))
	})

	DescribeTable("reports a snapshot file that is",
		func(change func([]byte) []byte) {
			log, _ := open(files, smallSegments)
			appendBatch(log, func(b *Batch) { b.Entries(1, entries(1, 9, 1)) })
			snapshotAt(files, 1, 5, 1)
			appendBatch(log, func(b *Batch) { b.Compact(1, 5, 1) })
			name := filepath.Join(folder, snapshotName(1, 5, 1))
			all := files.Files()
			all[name] = change(all[name])
			if all[name] == nil {
				delete(all, name)
			}
			_, _, err := Open(vfstest.FromFiles(all), folder, smallSegments)
			Expect(expectDamage(err).File).To(Equal(snapshotName(1, 5, 1)))
		},
		Entry("missing", func(b []byte) []byte { return nil }),
		Entry("empty", func(b []byte) []byte { return []byte{} }),
		Entry("too short", func(b []byte) []byte { return b[:len(b)-1] }),
		Entry("changed", func(b []byte) []byte { b[len(b)/2] ^= 4; return b }),
		Entry("of an unknown version", func(b []byte) []byte { b[7]++; return b }),
	)
})

var _ = Describe("Identity", func() {
	It("is nil on an empty disk, and is read as it was written", func() {
		files := &vfstest.Mem{}
		identity, err := ReadIdentity(files, folder)
		Expect(identity, err).To(BeNil())
		Expect(Vacant(files, folder)).To(BeTrue())
		written := &Identity{ID: 1 << 63, First: []consensus.Member{{ID: 3, Address: "a"}}}
		Expect(WriteIdentity(files, folder, written)).To(Succeed())
		Expect(ReadIdentity(files, folder)).To(Equal(written))
		Expect(Vacant(files, folder)).To(BeFalse())
	})

	It("is reported as damaged if any byte of its file has changed", func() {
		files := &vfstest.Mem{}
		Expect(WriteIdentity(files, folder, &Identity{ID: 9})).To(Succeed())
		name := filepath.Join(folder, identityName)
		content := files.Files()[name]
		for offset := range content {
			changed := slices.Clone(content)
			changed[offset] ^= 1
			_, err := ReadIdentity(vfstest.FromFiles(map[string][]byte{name: changed}), folder)
			Expect(expectDamage(err).File).To(Equal(identityName))
		}
	})

	// If the process ends after some files are moved, no identity may be left that another process could use with the
	// rest of the log.
	It("is the first file that MoveAside moves, and all others follow", func() {
		files := &vfstest.Mem{}
		Expect(WriteIdentity(files, folder, &Identity{ID: 9})).To(Succeed())
		log, _ := open(files, smallSegments)
		appendBatch(log, func(b *Batch) { b.Entries(1, entries(1, 9, 1)) })
		renames := 0
		files.SetOnCall(func(call vfstest.Call) vfstest.Fault {
			if call.Op == "rename" {
				renames++
				Expect(renames > 1 || call.Name == identityName).To(BeTrue())
			}
			return vfstest.Fault{}
		})
		for range 2 {
			Expect(MoveAside(files, folder)).To(Succeed())
			Expect(files.List(folder)).To(BeEmpty())
			Expect(Vacant(files, folder)).To(BeTrue())
			Expect(WriteIdentity(files, folder, &Identity{ID: 9})).To(Succeed())
			renames = 0
		}
	})
})
