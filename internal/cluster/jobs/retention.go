package jobs

import "time"

// Default retention times, used for Options that are 0.
const (
	DefaultStatusRetention    = 120 * time.Second
	DefaultTombstoneRetention = 20 * time.Minute
	DefaultRunnerRetention    = 10 * time.Minute
)

// Options are the retention times of a State, measured in State.ageMs; 0 or less stands for the default. They must be the
// same on all replicas, since they decide the command with which something is forgotten.
type Options struct {
	// StatusRetention is the minimum time for which the state of an ended job is retained. A State retains it for 1.5 times
	// StatusRetention.
	StatusRetention time.Duration
	// TombstoneRetention is how long the id of a job is known after its state was dropped, so that the job can't be accepted
	// again. It is also how long a fence is kept.
	TombstoneRetention time.Duration
	// RunnerRetention is the time after which a runner without runs is forgotten if no command has named it.
	RunnerRetention time.Duration
}

// retention are the retention times of a State, in ms of State.ageMs.
type retention struct{ statusMs, tombstoneMs, runnerMs int64 }

func newRetention(options Options) retention {
	return retention{
		statusMs:    milliseconds(options.StatusRetention, DefaultStatusRetention) * 3 / 2,
		tombstoneMs: milliseconds(options.TombstoneRetention, DefaultTombstoneRetention),
		runnerMs:    milliseconds(options.RunnerRetention, DefaultRunnerRetention),
	}
}

// milliseconds returns value in ms, or defaultValue if value is not positive.
func milliseconds(value, defaultValue time.Duration) int64 {
	if value <= 0 {
		value = defaultValue
	}
	return value.Milliseconds()
}

// retainedID is the id of a job with a retained state or tombstone.
type retainedID struct {
	id      string
	untilMs int64 // expires when State.ageMs is greater than this
}

// expiryQueue is a queue of ids in ascending order of expiry.
type expiryQueue struct {
	entries []retainedID
	head    int // index of the first entry that was not popped
}

// push appends an id. untilMs must not be less than the last entry's untilMs. Callers ensure this: untilMs is the sum of a
// constant and State.ageMs, which never decreases.
func (q *expiryQueue) push(id string, untilMs int64) {
	q.entries = append(q.entries, retainedID{id, untilMs})
}

// pop removes and returns the first id if it has expired at the given age; ok is false if none has.
func (q *expiryQueue) pop(ageMs int64) (id string, ok bool) {
	if q.head == len(q.entries) || q.entries[q.head].untilMs >= ageMs {
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

// all returns the entries that were not popped, in ascending order of expiry.
func (q *expiryQueue) all() []retainedID { return q.entries[q.head:] }

// expireRetained drops the states of ended jobs, the tombstones and the runners after their retention times. When the state
// of a job is dropped, a tombstone remains, so that a repeated Submit of the job is a Duplicate.
func (s *State) expireRetained() {
	for id, ok := s.endedJobs.pop(s.ageMs); ok; id, ok = s.endedJobs.pop(s.ageMs) {
		job := s.jobs[id]
		if job.runningTasks > 0 { // a run may exist: its End needs the job, which is retained for another period
			s.endedJobs.push(id, s.ageMs+s.retention.statusMs)
			continue
		}
		delete(s.jobs, id)
		s.tombstones.put(id, tombstone{kind: forgottenJob, untilMs: s.ageMs + s.retention.tombstoneMs})
	}
	s.tombstones.expire(s.ageMs)
	s.runners.expire(s.ageMs, s.retention.runnerMs)
}
