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

// grave is what is known of an id without a state.
type grave uint8

const (
	hadJob  grave = iota + 1 // a job that ended and was forgotten
	fencing                  // an id that the shard will never take
)

// graveyard holds ids that a shard must not take.
type graveyard struct {
	kinds map[string]grave
	order expiryQueue
}

func newGraveyard() graveyard { return graveyard{kinds: map[string]grave{}} }

func (g *graveyard) count() int { return len(g.kinds) }

func (g *graveyard) bury(id string, kind grave, untilMs int64) {
	id = strings.Clone(id)
	g.kinds[id] = kind
	g.order.push(id, untilMs)
}

func (g *graveyard) expire(now int64) {
	for id, ok := g.order.pop(now); ok; id, ok = g.order.pop(now) {
		delete(g.kinds, id)
	}
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
		s.graves.bury(id, hadJob, s.ageMs+s.forgetMs)
	}
	s.graves.expire(s.ageMs)
	s.runners.expire(s.ageMs, s.runnerMs)
}
