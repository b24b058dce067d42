package jobs

import (
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// State is the state of one shard of jobs. Only one goroutine may use it at a time.
type State struct {
	retention retention

	clockMs  int64  // highest Command.TimeOfDayMs applied so far, in ms since 1970
	ageMs    int64  // ms that retention is measured in: advances with clockMs, but at most maxAgeStepMs per command
	sequence uint64 // last Task.sequence that was assigned

	jobs           map[string]*Job                   // unfinished and retained ended jobs, by id
	sharedQueues   map[protocol.Queue]protocol.Queue // shares each queue's strings between its jobs; see sharedQueue
	unfinishedJobs map[string]int                    // number of jobs that have not ended, by queue key; no zeros
	pending        map[int]*taskList                 // pending tasks by priority
	priorities     []int                             // keys of pending, in ascending order
	dueJobs        dueHeap                           // jobs that wait for their next repetition to fall due
	runners        runnerTable
	tombstones     tombstoneSet
	endedJobs      expiryQueue // ended jobs in jobs, until their state expires

	counters Counters // Retained, Forgotten, Withdrawn and Runners stay 0 here: method Counters derives them
	effects  *Effects // effects of the command being applied; nil outside Apply

	snapshotSizeHint int // expected size of the next snapshot, in bytes
}

// Counters are the sizes of a State (Jobs to Runners), and totals since the shard was created (Accepted to Lost).
type Counters struct {
	Jobs      int // jobs that have not ended
	Retained  int // jobs that have ended and still have a state
	Forgotten int // job ids with a tombstone: forgotten jobs and fenced ids
	Withdrawn int // job ids that are fenced for every version; Forgotten includes them
	Pending   int // tasks that are Pending
	Running   int // tasks that are Running
	Lingering int // runs that linger; see type Lingering
	Runners   int // runner incarnations with a record

	Accepted  uint64 // jobs accepted
	Completed uint64 // jobs that completed
	Failed    uint64 // jobs that failed
	Cancelled uint64 // jobs that were cancelled
	Started   uint64 // runs started
	Lost      uint64 // runs that ended by a Loss
}

// New returns an empty State.
func New(options Options) *State { return newState(newRetention(options)) }

func newState(retention retention) *State {
	return &State{
		retention:      retention,
		jobs:           map[string]*Job{},
		sharedQueues:   map[protocol.Queue]protocol.Queue{},
		unfinishedJobs: map[string]int{},
		pending:        map[int]*taskList{},
		runners:        newRunnerTable(),
		tombstones:     newTombstoneSet(),
	}
}

// ClockMs returns the shard's time of day in ms since 1970: the highest TimeOfDayMs of the commands applied so far.
func (s *State) ClockMs() int64 { return s.clockMs }

// NextDueMs returns the time of day, in ms since 1970, at which the next repetition of any job falls due. ok is false if no
// job waits for a repetition to fall due.
func (s *State) NextDueMs() (dueMs int64, ok bool) {
	if len(s.dueJobs) == 0 {
		return 0, false
	}
	next := s.dueJobs[0]
	return next.dueMs(next.openedRepetitions), true
}

// Job returns the job with this id, or nil if the id is unknown or the job's state is no longer retained. Pointers to jobs
// and tasks are valid until the next Restore.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// JobIDs returns one page of the sorted ids of all jobs that have a state, unfinished or ended. The page has at most limit
// ids that are greater than after; an empty after starts at the first id. If queue isn't empty, only jobs of the queue with
// this key are listed.
func (s *State) JobIDs(queue, after string, limit int) []string {
	var ids []string
	for id, job := range s.jobs {
		if id > after && (queue == "" || job.Queue.Key == queue) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(limit, len(ids))]
}

// StateOf returns the state of the job as clients see it. known is false if there is no job with this id, or if its state is
// no longer retained.
func (s *State) StateOf(id string) (state protocol.JobState, known bool) {
	job := s.jobs[id]
	if job == nil {
		return "", false
	}
	return job.State, true
}

// Task returns the task with this id. It returns nil if the State has no such job, if the job's details were dropped after
// its end, if the repetition is not open, or if the step or the index doesn't exist.
func (s *State) Task(id TaskID) *Task {
	job := s.jobs[id.Job]
	if job == nil {
		return nil
	}
	return job.task(id)
}

// EachPending calls f for each Pending task until f returns false. Tasks come in ascending order of their queue's priority
// number. Tasks of the same priority come in the order in which they became Pending. The tasks of a gang are neighbours.
func (s *State) EachPending(f func(*Task) bool) {
	for _, priority := range s.priorities {
		for task := s.pending[priority].first; task != nil; task = task.next {
			if !f(task) {
				return
			}
		}
	}
}

// PendingCount returns the number of pending tasks.
func (s *State) PendingCount() int { return s.counters.Pending }

// UnfinishedJobs returns the number of the queue's jobs that have not ended.
func (s *State) UnfinishedJobs(queueKey string) int { return s.unfinishedJobs[queueKey] }

// Counters returns the current counters.
func (s *State) Counters() Counters {
	counters := s.counters
	counters.Retained = len(s.jobs) - counters.Jobs
	counters.Forgotten = s.tombstones.count()
	counters.Withdrawn = s.tombstones.withdrawn
	counters.Runners = len(s.runners.records)
	return counters
}

// pendingList returns the list of the pending tasks of a priority, which it creates if necessary.
func (s *State) pendingList(priority int) *taskList {
	list := s.pending[priority]
	if list == nil {
		list = &taskList{}
		s.pending[priority] = list
		at, _ := slices.BinarySearch(s.priorities, priority)
		s.priorities = slices.Insert(s.priorities, at, priority)
	}
	return list
}
