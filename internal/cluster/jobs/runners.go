package jobs

import (
	"slices"
	"strings"
)

// runnerRecord is what a shard knows of one incarnation of a runner.
type runnerRecord struct {
	id          string
	address     string // at which it serves; empty: unknown
	lastSeen    uint64 // N of its newest end that was applied
	lastNamedMs int64  // shard's age when a command last named it
	running     taskList
	lingering   []Lingering
	departed    bool // it has deregistered

	earlier, later *runnerRecord // neighbours by lastNamedMs
}

func (r *runnerRecord) hasRuns() bool { return r.running.count > 0 || len(r.lingering) > 0 }

// removeLingering removes a lingering run; ok is false if it is not there.
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

// runnerTable has the records of runners, linked in the order in which commands last named them.
type runnerTable struct {
	records     map[string]*runnerRecord
	first, last *runnerRecord
}

func newRunnerTable() runnerTable { return runnerTable{records: map[string]*runnerRecord{}} }

// touch returns the runner's record, made if need be, and moves it to the end of the order.
func (t *runnerTable) touch(id string, now int64) *runnerRecord {
	record := t.records[id]
	if record == nil {
		record = &runnerRecord{id: strings.Clone(id)}
		t.records[record.id] = record
	} else {
		t.unlink(record)
	}
	record.lastNamedMs = now
	t.append(record)
	return record
}

func (t *runnerTable) append(record *runnerRecord) {
	record.earlier, record.later = t.last, nil
	if t.last == nil {
		t.first = record
	} else {
		t.last.later = record
	}
	t.last = record
}

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

// expire forgets runners that no command has named for longer than retention, unless they have runs.
func (t *runnerTable) expire(now, retention int64) {
	for t.first != nil && t.first.lastNamedMs+retention < now {
		record := t.first
		if record.hasRuns() {
			t.touch(record.id, now)
			continue
		}
		t.unlink(record)
		delete(t.records, record.id)
	}
}

// RunsOn returns the tasks that are Running on the runner, in the order in which they were started.
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

// LingeringOn returns the runs on the runner of tasks that another member of their gang has made Done. They occupy
// capacity there until their own end or loss is applied. The slice must not be changed, and is valid until the next Apply.
func (s *State) LingeringOn(runner string) []Lingering {
	if record := s.runners.records[runner]; record != nil {
		return record.lingering
	}
	return nil
}

// Runners returns the runners that have runs, lingering ones included, sorted.
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

// AddressOf returns the address at which a runner serves, or "" if no command has brought it.
func (s *State) AddressOf(runner string) string {
	if record := s.runners.records[runner]; record != nil {
		return record.address
	}
	return ""
}

// Departed reports whether a runner has deregistered.
func (s *State) Departed(runner string) bool {
	record := s.runners.records[runner]
	return record != nil && record.departed
}

// LastSeen returns the N up to which the ends of a runner are applied: it need not report them any more.
func (s *State) LastSeen(runner string) uint64 {
	if record := s.runners.records[runner]; record != nil {
		return record.lastSeen
	}
	return 0
}
