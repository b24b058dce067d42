package jobs

import "time"

// How long things are retained by default.
const (
	DefaultStatusRetention    = 120 * time.Second
	DefaultTombstoneRetention = 20 * time.Minute
	DefaultRunnerRetention    = 10 * time.Minute
)

// Options are the retention times of a State. They must be the same on all replicas; 0 stands for the default.
type Options struct {
	StatusRetention    time.Duration // the state of an ended job is kept one and a half times as long as this
	TombstoneRetention time.Duration // then its id is known for this long; so are fenced ids
	RunnerRetention    time.Duration // a runner without runs is forgotten when no command has named it for this long
}

// retention is how long things are retained, in ms of the shard's age.
type retention struct{ statusMs, tombstoneMs, runnerMs int64 }

func newRetention(options Options) retention {
	return retention{
		statusMs:    milliseconds(options.StatusRetention, DefaultStatusRetention) * 3 / 2,
		tombstoneMs: milliseconds(options.TombstoneRetention, DefaultTombstoneRetention),
		runnerMs:    milliseconds(options.RunnerRetention, DefaultRunnerRetention),
	}
}

func milliseconds(value, standard time.Duration) int64 {
	if value <= 0 {
		value = standard
	}
	return value.Milliseconds()
}

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
			s.endedJobs.push(id, s.ageMs+s.retention.statusMs)
			continue
		}
		delete(s.jobs, id)
		s.tombstones.put(id, tombstone{kind: forgottenJob, untilMs: s.ageMs + s.retention.tombstoneMs})
	}
	s.tombstones.expire(s.ageMs)
	s.runners.expire(s.ageMs, s.retention.runnerMs)
}
