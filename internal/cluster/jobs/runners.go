package jobs

import (
	"slices"
	"strings"
)

// runnerRecord is what a shard knows of one incarnation of a runner.
type runnerRecord struct {
	id        string
	place     string // address at which it stands; empty: not known
	lastSeen  uint64
	heardMs   int64 // shard's age when a command last named it
	running   taskList
	lingering []Lingering
	departed  bool // it has said that it ends

	earlier, later *runnerRecord // neighbours by heardMs
}

func (r *runnerRecord) busy() bool { return r.running.count > 0 || len(r.lingering) > 0 }

// takeLingering removes a lingering run, if it is there.
func (r *runnerRecord) takeLingering(id TaskID, run uint64) (Lingering, bool) {
	for i := range r.lingering {
		if r.lingering[i].Run == run && r.lingering[i].Task == id {
			found := r.lingering[i]
			r.lingering = slices.Delete(r.lingering, i, i+1)
			return found, true
		}
	}
	return Lingering{}, false
}

// runnerTable holds the records of runners, in order of when a command last named them.
type runnerTable struct {
	records     map[string]*runnerRecord
	first, last *runnerRecord
}

func newRunnerTable() runnerTable { return runnerTable{records: map[string]*runnerRecord{}} }

// hear returns the runner's record, made if need be, as the last one heard.
func (t *runnerTable) hear(id string, now int64) *runnerRecord {
	record := t.records[id]
	if record == nil {
		record = &runnerRecord{id: strings.Clone(id)}
		t.records[record.id] = record
	} else {
		t.unlink(record)
	}
	record.heardMs = now
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

// expire forgets runners that were not heard for longer than span, unless they have runs.
func (t *runnerTable) expire(now, span int64) {
	for t.first != nil && t.first.heardMs+span < now {
		record := t.first
		if record.busy() {
			t.hear(record.id, now)
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

// EachRunOn calls f for each task that is Running on the runner, in the order in which they were started, until f
// returns false.
func (s *State) EachRunOn(runner string, f func(*Task) bool) {
	record := s.runners.records[runner]
	if record == nil {
		return
	}
	for task := record.running.first; task != nil; task = task.next {
		if !f(task) {
			return
		}
	}
}

// LingeringOn returns the runs on the runner of tasks that another member of their gang has made Done. They take room
// there until their own end or loss is applied. The slice must not be changed, and holds until the next Apply.
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
		if record.busy() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// AddressOf returns the address at which a runner stands, or "" if no command has told it.
func (s *State) AddressOf(runner string) string {
	if record := s.runners.records[runner]; record != nil {
		return record.place
	}
	return ""
}

// Departed tells whether a runner has said that it ends.
func (s *State) Departed(runner string) bool {
	record := s.runners.records[runner]
	return record != nil && record.departed
}

// LastSeen returns the N up to which the ends of a runner are noted for good.
func (s *State) LastSeen(runner string) uint64 {
	if record := s.runners.records[runner]; record != nil {
		return record.lastSeen
	}
	return 0
}
