package jobs

import "strings"

// keptUntil says until when, by the shard's age, something is kept.
type keptUntil struct {
	id string
	ms int64
}

// expiryQueue is a queue of ids in order of expiry.
type expiryQueue struct {
	entries []keptUntil
	head    int
}

func (q *expiryQueue) push(id string, ms int64) { q.entries = append(q.entries, keptUntil{id, ms}) }

// pop takes the first id off if its time is before now.
func (q *expiryQueue) pop(now int64) (id string, ok bool) {
	if q.head == len(q.entries) || q.entries[q.head].ms >= now {
		return "", false
	}
	id = q.entries[q.head].id
	q.entries[q.head] = keptUntil{}
	q.head++
	if q.head*2 > len(q.entries) {
		q.entries = append(q.entries[:0], q.entries[q.head:]...)
		q.head = 0
	}
	return id, true
}

// all returns the entries, the first to expire first.
func (q *expiryQueue) all() []keptUntil { return q.entries[q.head:] }

// tombstoneKind tells why an id is known without a state.
type tombstoneKind uint8

const (
	hadJob  tombstoneKind = iota + 1 // a job that ended and was forgotten
	fencing                          // an id that the shard won't take by some versions of the configuration
)

// tombstone is what is known of an id without a state. Its zero value stands for nothing.
type tombstone struct {
	kind    tombstoneKind
	version uint64 // fencing: the newest version of the configuration that is fenced
	untilMs int64  // by the shard's age
}

// tombstoneSet holds ids that a shard must not take.
type tombstoneSet struct {
	byID  map[string]tombstone
	order expiryQueue // has an entry for each tombstone, and outdated ones of those that were replaced or removed
}

func newTombstoneSet() tombstoneSet { return tombstoneSet{byID: map[string]tombstone{}} }

func (t *tombstoneSet) count() int { return len(t.byID) }

// of returns what is known of an id.
func (t *tombstoneSet) of(id string) tombstone { return t.byID[id] }

// put notes a tombstone, in place of an earlier one of the id.
func (t *tombstoneSet) put(id string, next tombstone) {
	before, known := t.byID[id]
	if known && before.untilMs == next.untilMs {
		t.byID[id] = next
		return
	}
	id = strings.Clone(id)
	t.byID[id] = next
	t.order.push(id, next.untilMs)
}

// remove forgets an id that is taken after all.
func (t *tombstoneSet) remove(id string) { delete(t.byID, id) }

func (t *tombstoneSet) expire(now int64) {
	for id, ok := t.order.pop(now); ok; id, ok = t.order.pop(now) {
		if t.byID[id].untilMs < now {
			delete(t.byID, id)
		}
	}
}

// current returns the entries of the order that are not outdated.
func (t *tombstoneSet) current() []keptUntil {
	entries := make([]keptUntil, 0, len(t.byID))
	for _, entry := range t.order.all() {
		if known, ok := t.byID[entry.id]; ok && known.untilMs == entry.ms {
			entries = append(entries, entry)
		}
	}
	return entries
}

// endedQueue holds ended jobs until their states expire.
type endedQueue struct{ order expiryQueue }

// over notes that a job has ended: from now on its state only waits to be forgotten.
func (s *State) over(job *Job, state string) {
	job.State = state
	job.EndedMs = s.clockMs
	s.due.leave(job)
	s.counters.Jobs--
	s.pending[job.Queue.Key]--
	if s.pending[job.Queue.Key] == 0 {
		delete(s.pending, job.Queue.Key)
	}
	s.ended.order.push(job.ID, s.ageMs+s.statusMs)
	s.effects.Over = append(s.effects.Over, job)
	s.shrink(job)
}

// shrink replaces a job that has ended, and of which no run may exist, by a copy without its bulky parts. The old one
// stays as it is for those who still hold tasks of it.
func (s *State) shrink(job *Job) {
	if !job.Ended() || job.running > 0 {
		return
	}
	s.jobs[job.ID] = &Job{
		ID:         job.ID,
		Queue:      job.Queue,
		State:      job.State,
		AcceptedMs: job.AcceptedMs,
		EndedMs:    job.EndedMs,
		dueIndex:   notWaiting,
	}
}

// forget drops what has expired.
func (s *State) forget() {
	for id, ok := s.ended.order.pop(s.ageMs); ok; id, ok = s.ended.order.pop(s.ageMs) {
		job := s.jobs[id]
		if job.running > 0 { // a run may exist: looked at again later
			s.ended.order.push(id, s.ageMs+s.statusMs)
			continue
		}
		delete(s.jobs, id)
		s.tombstones.put(id, tombstone{kind: hadJob, untilMs: s.ageMs + s.forgetMs})
	}
	s.tombstones.expire(s.ageMs)
	s.runners.expire(s.ageMs, s.runnerMs)
}
