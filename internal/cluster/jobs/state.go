package jobs

import (
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// State is the state of a shard of jobs. It may be used by one goroutine at a time.
type State struct {
	retention retention

	clockMs  int64  // newest time of day that a command brought
	ageMs    int64  // rises with the clock, but by maxAgeStepMs at most; retention is measured by it
	sequence uint64 // of the newest task that became Pending or Running

	jobs           map[string]*Job
	sharedQueues   map[protocol.Queue]protocol.Queue // one copy of each queue's texts
	unfinishedJobs map[string]int                    // jobs that have not ended, by key of the queue
	pending        map[int]*taskList                 // pending tasks by priority
	priorities     []int                             // keys of pending, rising
	dueJobs        dueHeap
	runners        runnerTable
	tombstones     tombstoneSet
	endedJobs      expiryQueue // ended jobs whose states are retained

	counters Counters
	effects  *Effects // of the command being applied

	snapshotSizeHint int // bytes that the next snapshot will probably take
}

// Counters count what a State has now (Jobs to Runners), and what has become of jobs since the shard began.
type Counters struct {
	Jobs      int // not ended
	Retained  int // ended, state still kept
	Forgotten int // ids that are known or fenced without a state
	Pending   int // tasks
	Running   int // tasks
	Lingering int // runs
	Runners   int

	Accepted  uint64 // jobs
	Completed uint64 // jobs
	Failed    uint64 // jobs
	Cancelled uint64 // jobs
	Started   uint64 // runs
	Lost      uint64 // runs
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

// ClockMs returns the shard's time of day in ms since 1970: the newest that any command has brought.
func (s *State) ClockMs() int64 { return s.clockMs }

// NextDueMs returns the time of day, in ms since 1970, at which the next repetition falls due; ok is false if no job
// waits for one.
func (s *State) NextDueMs() (dueMs int64, ok bool) {
	if len(s.dueJobs) == 0 {
		return 0, false
	}
	next := s.dueJobs[0]
	return next.dueMs(next.opened), true
}

// Job returns the job, or nil if it is unknown or forgotten. Pointers to jobs and tasks are valid until the next Restore.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// JobIDs returns the ids of jobs whose state is retained, sorted: at most limit of those that come after the id given
// (empty: from the first). If queue isn't empty, only jobs of the queue with this key are listed.
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

// StateOf returns the job's state as shown to clients, and whether the job is known.
func (s *State) StateOf(id string) (state protocol.JobState, known bool) {
	job := s.jobs[id]
	if job == nil {
		return "", false
	}
	return job.State, true
}

// Task returns the task, or nil if its job is unknown or its repetition is not due yet or complete.
func (s *State) Task(id TaskID) *Task {
	job := s.jobs[id.Job]
	if job == nil {
		return nil
	}
	return job.task(id)
}

// EachPending calls f for each pending task, by priority and then by when it became pending, until f returns false.
// Members of a gang follow one another.
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

// UnfinishedJobs returns how many jobs of the queue have not ended.
func (s *State) UnfinishedJobs(queueKey string) int { return s.unfinishedJobs[queueKey] }

// Counters returns the present counts.
func (s *State) Counters() Counters {
	counters := s.counters
	counters.Retained = len(s.jobs) - counters.Jobs
	counters.Forgotten = s.tombstones.count()
	counters.Runners = len(s.runners.records)
	return counters
}

// pendingList returns the list of pending tasks of a priority.
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
