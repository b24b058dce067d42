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

// runnerBook holds the records of runners, in order of when a command last named them.
type runnerBook struct {
	records     map[string]*runnerRecord
	first, last *runnerRecord
}

func newRunnerBook() runnerBook { return runnerBook{records: map[string]*runnerRecord{}} }

// hear returns the runner's record, made if need be, as the last one heard.
func (b *runnerBook) hear(id string, now int64) *runnerRecord {
	record := b.records[id]
	if record == nil {
		record = &runnerRecord{id: strings.Clone(id)}
		b.records[record.id] = record
	} else {
		b.unlink(record)
	}
	record.heardMs = now
	b.append(record)
	return record
}

func (b *runnerBook) append(record *runnerRecord) {
	record.earlier, record.later = b.last, nil
	if b.last == nil {
		b.first = record
	} else {
		b.last.later = record
	}
	b.last = record
}

func (b *runnerBook) unlink(record *runnerRecord) {
	if record.earlier == nil {
		b.first = record.later
	} else {
		record.earlier.later = record.later
	}
	if record.later == nil {
		b.last = record.earlier
	} else {
		record.later.earlier = record.earlier
	}
}

// expire forgets runners that were not heard for longer than span, unless they have runs.
func (b *runnerBook) expire(now, span int64) {
	for b.first != nil && b.first.heardMs+span < now {
		record := b.first
		if record.busy() {
			b.hear(record.id, now)
			continue
		}
		b.unlink(record)
		delete(b.records, record.id)
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

// PlaceOf returns the address at which a runner stands, or "" if no command has told it.
func (s *State) PlaceOf(runner string) string {
	if record := s.runners.records[runner]; record != nil {
		return record.place
	}
	return ""
}

// LastSeen returns the N up to which the ends of a runner are noted for good.
func (s *State) LastSeen(runner string) uint64 {
	if record := s.runners.records[runner]; record != nil {
		return record.lastSeen
	}
	return 0
}
