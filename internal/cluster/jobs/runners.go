package jobs

import (
	"slices"
	"strings"
)

// runnerRecord is the state of one incarnation of a runner.
type runnerRecord struct {
	id          string // of the incarnation
	address     string // address at which the runner serves; empty if no command has brought it
	lastSeen    uint64 // highest End.N that was applied; see State.LastSeen
	lastNamedMs int64  // State.ageMs when a command other than a Loss last named the runner, or expire found runs on it
	running     taskList
	lingering   []Lingering
	departed    bool // the incarnation has deregistered

	earlier, later *runnerRecord // neighbours in the list of runnerTable
}

// hasRuns reports whether runs on the runner may exist.
func (r *runnerRecord) hasRuns() bool { return r.running.count > 0 || len(r.lingering) > 0 }

// removeLingering removes and returns a lingering run; ok is false if the runner has no such run.
func (r *runnerRecord) removeLingering(id TaskID, run uint64) (removed Lingering, ok bool) {
	for i := range r.lingering {
		if r.lingering[i].Run == run && r.lingering[i].Task == id {
			removed = r.lingering[i]
			r.lingering = slices.Delete(r.lingering, i, i+1)
			return removed, true
		}
	}
	return Lingering{}, false
}

// runnerTable has the records of the runners, by id and as a list in ascending order of lastNamedMs. Snapshots have the
// records in the order of this list, since expire depends on it.
type runnerTable struct {
	records     map[string]*runnerRecord // by id
	first, last *runnerRecord            // ends of the list
}

func newRunnerTable() runnerTable { return runnerTable{records: map[string]*runnerRecord{}} }

// touch returns the runner's record, which it creates if necessary. It records that the runner was named at this age of the
// shard, and moves the record to the end of the list.
func (t *runnerTable) touch(id string, ageMs int64) *runnerRecord {
	record := t.records[id]
	if record == nil {
		record = &runnerRecord{id: strings.Clone(id)}
		t.records[record.id] = record
	} else {
		t.unlink(record)
	}
	record.lastNamedMs = ageMs
	t.append(record)
	return record
}

// append adds a record to the end of the list.
func (t *runnerTable) append(record *runnerRecord) {
	record.earlier, record.later = t.last, nil
	if t.last == nil {
		t.first = record
	} else {
		t.last.later = record
	}
	t.last = record
}

// unlink removes a record from the list.
func (t *runnerTable) unlink(record *runnerRecord) {
	if record.earlier == nil {
		t.first = record.later
	} else {
		record.earlier.later = record.later
	}
	if record.later == nil {
		t.last = record.earlier
	} else {
		record.later.earlier = record.earlier
	}
}

// expire forgets the runners that no command has named for longer than retentionMs. A runner that has runs is kept and is
// checked again after retentionMs.
func (t *runnerTable) expire(ageMs, retentionMs int64) {
	for t.first != nil && t.first.lastNamedMs+retentionMs < ageMs {
		record := t.first
		if record.hasRuns() {
			t.touch(record.id, ageMs)
			continue
		}
		t.unlink(record)
		delete(t.records, record.id)
	}
}

// RunsOn returns the tasks that are Running on the runner, in the order of their starts.
func (s *State) RunsOn(runner string) []*Task {
	record := s.runners.records[runner]
	if record == nil || record.running.count == 0 {
		return nil
	}
	tasks := make([]*Task, 0, record.running.count)
	for task := record.running.first; task != nil; task = task.next {
		tasks = append(tasks, task)
	}
	return tasks
}

// LingeringOn returns the lingering runs on the runner. They occupy capacity there until their End or Loss is applied. The
// caller must not change the slice, which is valid until the next Apply.
func (s *State) LingeringOn(runner string) []Lingering {
	if record := s.runners.records[runner]; record != nil {
		return record.lingering
	}
	return nil
}

// Runners returns the sorted ids of the runners that have runs, lingering ones included.
func (s *State) Runners() []string {
	var ids []string
	for id, record := range s.runners.records {
		if record.hasRuns() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// AddressOf returns the address of a runner's server, or "" if no RunnerAddress of the runner was applied.
func (s *State) AddressOf(runner string) string {
	if record := s.runners.records[runner]; record != nil {
		return record.address
	}
	return ""
}

// Departed reports whether this incarnation of a runner has deregistered.
func (s *State) Departed(runner string) bool {
	record := s.runners.records[runner]
	return record != nil && record.departed
}

// LastSeen returns the highest N of a runner's ends that were applied, or 0. The runner no longer needs to report ends up to
// this N.
func (s *State) LastSeen(runner string) uint64 {
	if record := s.runners.records[runner]; record != nil {
		return record.lastSeen
	}
	return 0
}
