package wal

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs"
	"ospreypond/internal/store/vfs/vfstest"
)

// splitWrites is a file system that writes each range as two halves. A failing sync of vfstest.Mem drops every second
// write, so here it drops one half of a range.
type splitWrites struct{ *vfstest.Mem }

type splitFile struct{ vfs.File }

func (s splitWrites) Create(name string) (vfs.File, error) {
	file, err := s.Mem.Create(name)
	if err != nil {
		return nil, err
	}
	return splitFile{file}, nil
}

func (f splitFile) WriteAt(data []byte, offset int64) (int, error) {
	half := len(data) / 2
	written, err := f.File.WriteAt(data[:half], offset)
	if err != nil {
		return written, err
	}
	more, err := f.File.WriteAt(data[half:], offset+int64(half))
	return written + more, err
}

// model is the expected state of one group.
type model struct {
	hard     consensus.HardState
	snapshot uint64            // index of the newest snapshot; 0 if there is none
	entries  []consensus.Entry // after the snapshot
}

// last returns the index of the newest entry, or of the snapshot if no entry follows it.
func (m *model) last() uint64 {
	if len(m.entries) == 0 {
		return m.snapshot
	}
	return m.entries[len(m.entries)-1].Index
}

func (m model) clone() model {
	m.entries = append([]consensus.Entry(nil), m.entries...)
	return m
}

// replace appends entries. They replace the entries at the same and higher indexes.
func (m *model) replace(list []consensus.Entry) {
	m.entries = m.entries[:list[0].Index-m.snapshot-1]
	m.entries = append(m.entries, list...)
}

// compact replaces the entries up to index with a snapshot.
func (m *model) compact(index uint64) {
	m.entries = m.entries[index-m.snapshot:]
	m.snapshot = index
}

// sameAs reports whether Open returned this state. Open limits the commit index to the newest entry.
func (m *model) sameAs(g *Group) bool {
	if g == nil {
		g = &Group{}
	}
	snapshot := uint64(0)
	if g.Snapshot != nil {
		snapshot = g.Snapshot.Index
	}
	hard := m.hard
	hard.Commit = min(hard.Commit, m.last())
	same := snapshot == m.snapshot && g.HardState == hard && len(g.Entries) == len(m.entries)
	return same && (len(m.entries) == 0 || reflect.DeepEqual(g.Entries, m.entries))
}

// randomRun appends random batches for two groups to a log on a disk with random faults: calls that fail, and power
// failures.
type randomRun struct {
	random *rand.Rand
	files  *vfstest.Mem
	log    *Log
	models [2]model // by group, the state that Open returned, or that a later Append has acknowledged
	// older has the states before models that a power failure may restore. Open returned models, but the batch that led
	// to it was never acknowledged, so it may not be on disk.
	older [][2]model
	term  uint64
}

// next fills a batch, and returns the models that are right once the batch is on disk. It returns false if a snapshot
// could not be written, so that the batch must not be appended.
func (t *randomRun) next(batch *Batch) ([2]model, bool) {
	after := [2]model{t.models[0].clone(), t.models[1].clone()}
	for group := range after {
		m := &after[group]
		id := uint32(group)
		switch t.random.IntN(5) {
		case 0:
			t.term++
			m.hard = consensus.HardState{Term: t.term, Vote: consensus.MemberID(t.random.Uint64())}
			batch.HardState(id, m.hard)
		case 1, 2:
			first := m.last() + 1
			if t.random.IntN(3) == 0 && len(m.entries) > 0 {
				first -= uint64(t.random.IntN(len(m.entries)))
			}
			list := entries(first, first+uint64(t.random.IntN(4)), t.term)
			m.replace(list)
			batch.Entries(id, list)
		case 3:
			if len(m.entries) == 0 {
				continue
			}
			index := m.entries[t.random.IntN(len(m.entries))].Index
			snapshot := &consensus.Snapshot{Index: index, Term: t.term, Data: []byte(fmt.Sprint("state ", index))}
			if WriteSnapshot(splitWrites{t.files}, folder, id, snapshot) != nil {
				return t.models, false
			}
			m.compact(index)
			batch.Compact(id, index, t.term)
		case 4:
			index := m.last() + uint64(1+t.random.IntN(9))
			snapshot := &consensus.Snapshot{Index: index, Term: t.term, Data: []byte(fmt.Sprint("state ", index))}
			if t.random.IntN(3) > 0 || WriteSnapshot(splitWrites{t.files}, folder, id, snapshot) != nil {
				continue
			}
			m.snapshot, m.entries = index, nil
			batch.Install(id, index, t.term)
		}
	}
	return after, true
}

// reopen opens the log again, as the next process does. It expects one of three states: the state that was acknowledged
// last, a state that an earlier reopen has returned since then, or the state after the last batch, if its Append failed or
// was interrupted.
func (t *randomRun) reopen(after [2]model) {
	GinkgoHelper()
	log, groups, err := Open(splitWrites{t.files}, folder, smallSegments)
	Expect(err).NotTo(HaveOccurred())
	t.log = log
	t.older = append(t.older, t.models)
	for _, models := range append(t.older, after) {
		if models[0].sameAs(groups[0]) && models[1].sameAs(groups[1]) {
			t.models = models
			return
		}
	}
	Fail(fmt.Sprintf("Open returned %+v and %+v, which is neither one of the older states %+v nor the state after the batch %+v",
		groups[0], groups[1], t.older, after))
}

// acknowledged records the state after an Append that returned nil. No power failure may undo it.
func (t *randomRun) acknowledged(models [2]model) {
	t.models, t.older = models, nil
}

var faults = []error{syscall.EIO, syscall.ENOSPC}

// step appends one batch. One of its calls of the file system may fail, or the power may fail during that call. After that
// the process starts again, or it appends the same batch again.
func (t *randomRun) step() {
	GinkgoHelper()
	batch := &Batch{}
	failures, powerOff := t.random.IntN(4) == 0, t.random.IntN(8) == 0
	countdown := t.random.IntN(16)
	t.files.SetOnCall(func(vfstest.Call) vfstest.Fault {
		countdown--
		if countdown != 0 {
			return vfstest.Fault{}
		}
		if powerOff {
			return vfstest.Fault{PowerOff: true}
		}
		if failures {
			return vfstest.Fault{Err: faults[t.random.IntN(2)], Short: t.random.IntN(100)}
		}
		return vfstest.Fault{}
	})
	after, ok := t.next(batch)
	if !ok {
		after = t.models
		batch.Reset()
	}
	err := t.log.Append(batch)
	if err == nil && !batch.Empty() {
		t.acknowledged(after)
		_, _ = t.log.RemoveObsolete()
	}
	switch {
	case powerOff || t.random.IntN(10) == 0:
		t.files = t.files.Crash(t.random)
		t.reopen(after)
	case err != nil && t.random.IntN(3) == 0: // the process ends instead of appending the batch again
		t.files.SetOnCall(nil)
		t.reopen(after)
	case err != nil:
		t.files.SetOnCall(nil)
		Expect(t.log.Append(batch)).To(Succeed())
		t.acknowledged(after)
	}
}

// The log must not lose an acknowledged batch, and must not return part of a batch. That could happen after a torn write,
// a failed sync that dropped half of a batch, a power failure while a segment or snapshot is created or removed, or a
// process that ends between the write and the sync of a batch.
var _ = Describe("Log on a faulty disk", func() {
	It("keeps every acknowledged batch, and of other batches returns all or nothing", func() {
		for seed := range uint64(500) {
			t := &randomRun{random: rand.New(rand.NewPCG(seed, 1)), files: &vfstest.Mem{}, term: 1}
			t.log, _ = open(splitWrites{t.files}, smallSegments)
			for range 30 {
				By(fmt.Sprintf("seed %d", seed))
				t.step()
			}
		}
	})
})
