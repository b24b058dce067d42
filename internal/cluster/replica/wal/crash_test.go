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

// halves writes each range in two, so that a failing sync, which drops every second write, drops half of it.
type halves struct{ *vfstest.Mem }

type halvedFile struct{ vfs.File }

func (h halves) Create(name string) (vfs.File, error) {
	file, err := h.Mem.Create(name)
	if err != nil {
		return nil, err
	}
	return halvedFile{file}, nil
}

func (f halvedFile) WriteAt(data []byte, offset int64) (int, error) {
	half := len(data) / 2
	written, err := f.File.WriteAt(data[:half], offset)
	if err != nil {
		return written, err
	}
	more, err := f.File.WriteAt(data[half:], offset+int64(half))
	return written + more, err
}

// model is what a group's log must have.
type model struct {
	hard     consensus.HardState
	snapshot uint64
	entries  []consensus.Entry
}

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

func (m *model) replace(list []consensus.Entry) {
	m.entries = m.entries[:list[0].Index-m.snapshot-1]
	m.entries = append(m.entries, list...)
}

func (m *model) compact(index uint64) {
	m.entries = m.entries[index-m.snapshot:]
	m.snapshot = index
}

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

// randomRun writes at random to a disk that fails, or loses power, at random.
type randomRun struct {
	random *rand.Rand
	files  *vfstest.Mem
	log    *Log
	models [2]model   // what the log has, as far as its user knows
	older  [][2]model // what a loss of power may bring back: nothing was acknowledged since
	term   uint64
}

// next fills a batch, and returns the models as they are once it is on disk; false if its snapshot could not be written.
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
			if WriteSnapshot(halves{t.files}, folder, id, snapshot) != nil {
				return t.models, false
			}
			m.compact(index)
			batch.Compact(id, index, t.term)
		case 4:
			index := m.last() + uint64(1+t.random.IntN(9))
			snapshot := &consensus.Snapshot{Index: index, Term: t.term, Data: []byte(fmt.Sprint("state ", index))}
			if t.random.IntN(3) > 0 || WriteSnapshot(halves{t.files}, folder, id, snapshot) != nil {
				continue
			}
			m.snapshot, m.entries = index, nil
			batch.Install(id, index, t.term)
		}
	}
	return after, true
}

// reopen opens the log anew and expects the state that was acknowledged last, or a later one.
func (t *randomRun) reopen(after [2]model) {
	GinkgoHelper()
	log, groups, err := Open(halves{t.files}, folder, smallSegments)
	Expect(err).NotTo(HaveOccurred())
	t.log = log
	t.older = append(t.older, t.models)
	for _, models := range append(t.older, after) {
		if models[0].sameAs(groups[0]) && models[1].sameAs(groups[1]) {
			t.models = models
			return
		}
	}
	Fail(fmt.Sprintf("the disk has %+v %+v, none of %+v or %+v", groups[0], groups[1], t.older, after))
}

func (t *randomRun) acknowledged(models [2]model) {
	t.models, t.older = models, nil
}

var faults = []error{syscall.EIO, syscall.ENOSPC}

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
		_, _ = t.log.Release()
	}
	switch {
	case powerOff || t.random.IntN(10) == 0:
		t.files = t.files.Crash(t.random)
		t.reopen(after)
	case err != nil && t.random.IntN(3) == 0: // the process dies instead of trying again
		t.files.SetOnCall(nil)
		t.reopen(after)
	case err != nil:
		t.files.SetOnCall(nil)
		Expect(t.log.Append(batch)).To(Succeed())
		t.acknowledged(after)
	}
}

var _ = Describe("Log on a bad disk", func() {
	It("has what was acknowledged, and of the rest all of a batch or nothing", func() {
		for seed := range uint64(500) {
			t := &randomRun{random: rand.New(rand.NewPCG(seed, 1)), files: &vfstest.Mem{}, term: 1}
			t.log, _ = open(halves{t.files}, smallSegments)
			for range 30 {
				By(fmt.Sprintf("seed %d", seed))
				t.step()
			}
		}
	})
})
