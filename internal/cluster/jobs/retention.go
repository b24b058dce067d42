package jobs

// retainedID is an id that is retained until the shard has the age given.
type retainedID struct {
	id      string
	untilMs int64
}

// expiryQueue is a queue of ids in order of expiry.
type expiryQueue struct {
	entries []retainedID
	head    int
}

func (q *expiryQueue) push(id string, untilMs int64) {
	q.entries = append(q.entries, retainedID{id, untilMs})
}

// pop removes the first id if it expired before now; ok is false if none did.
func (q *expiryQueue) pop(now int64) (id string, ok bool) {
	if q.head == len(q.entries) || q.entries[q.head].untilMs >= now {
		return "", false
	}
	id = q.entries[q.head].id
	q.entries[q.head] = retainedID{}
	q.head++
	if q.head*2 > len(q.entries) {
		q.entries = append(q.entries[:0], q.entries[q.head:]...)
		q.head = 0
	}
	return id, true
}

// all returns the entries, the first to expire first.
func (q *expiryQueue) all() []retainedID { return q.entries[q.head:] }

// expireRetained drops states of ended jobs, tombstones and runners whose retention time is over.
func (s *State) expireRetained() {
	for id, ok := s.endedJobs.pop(s.ageMs); ok; id, ok = s.endedJobs.pop(s.ageMs) {
		job := s.jobs[id]
		if job.running > 0 { // a run may exist: retained for another period
			s.endedJobs.push(id, s.ageMs+s.statusRetentionMs)
			continue
		}
		delete(s.jobs, id)
		s.tombstones.put(id, tombstone{kind: forgottenJob, untilMs: s.ageMs + s.tombstoneRetentionMs})
	}
	s.tombstones.expire(s.ageMs)
	s.runners.expire(s.ageMs, s.runnerRetentionMs)
}
