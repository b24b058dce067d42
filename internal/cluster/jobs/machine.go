package jobs

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// How long things are kept by default.
const (
	DefaultStatusTime = 120 * time.Second
	DefaultForgetTime = 20 * time.Minute
	DefaultRunnerTime = 10 * time.Minute
)

// Options are the spans of a State. They must be the same on all replicas; 0 stands for the default.
type Options struct {
	StatusRetention time.Duration // the state of an ended job is kept half as long again as this
	ForgetTime      time.Duration // then its id is known for this long; so are fenced ids
	RunnerTime      time.Duration // a runner with no runs is forgotten when no command has named it for this long
}

// State is the state of a shard of jobs. It is not safe for use by several goroutines at once.
type State struct {
	statusMs, forgetMs, runnerMs int64

	clockMs  int64  // newest time of day seen
	ageMs    int64  // rises with the clock, but by little when that jumps; all spans are measured by it
	sequence uint64 // of the newest task that became Held or Running

	jobs       map[string]*Job
	queues     map[protocol.Queue]protocol.Queue // one copy of each queue's texts
	pending    map[string]int                    // jobs that have not ended, by queue key
	held       map[int]*taskList                 // by priority
	priorities []int                             // keys of held, rising
	due        dueHeap
	runners    runnerTable
	tombstones tombstoneSet
	ended      endedQueue

	counters Counters
	effects  *Effects // of the command being applied

	snapshotHint int // bytes that the next snapshot will probably take
}

// Counters count what a State holds, and what has become of jobs since the shard began.
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
func New(options Options) *State {
	s := &State{
		statusMs: spanMs(options.StatusRetention, DefaultStatusTime) * 3 / 2,
		forgetMs: spanMs(options.ForgetTime, DefaultForgetTime),
		runnerMs: spanMs(options.RunnerTime, DefaultRunnerTime),
	}
	s.clear()
	return s
}

func spanMs(span, otherwise time.Duration) int64 {
	if span <= 0 {
		span = otherwise
	}
	return span.Milliseconds()
}

// clear empties all that commands have brought.
func (s *State) clear() {
	*s = State{
		statusMs:   s.statusMs,
		forgetMs:   s.forgetMs,
		runnerMs:   s.runnerMs,
		jobs:       map[string]*Job{},
		queues:     map[protocol.Queue]protocol.Queue{},
		pending:    map[string]int{},
		held:       map[int]*taskList{},
		runners:    newRunnerTable(),
		tombstones: newTombstoneSet(),
	}
}

// ClockMs returns the shard's time of day in ms since 1970: the newest that any command has brought.
func (s *State) ClockMs() int64 { return s.clockMs }

// NextDueMs returns the time of day, in ms since 1970, at which the next repetition falls due; false if none waits.
func (s *State) NextDueMs() (int64, bool) {
	if len(s.due) == 0 {
		return 0, false
	}
	return s.due[0].dueMs(s.due[0].made), true
}

// Job returns the job, or nil if it is unknown or forgotten. Pointers to jobs and tasks hold until the next Restore.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Task returns the task, or nil if its job is not there, or its time is not due yet or wholly done.
func (s *State) Task(id TaskID) *Task {
	job := s.jobs[id.Job]
	if job == nil {
		return nil
	}
	return job.task(id)
}

// EachPending calls f for each held task, by priority and then by when it became held, until f returns false. Members of
// a gang follow one another.
func (s *State) EachPending(f func(*Task) bool) {
	for _, priority := range s.priorities {
		for task := s.held[priority].first; task != nil; task = task.next {
			if !f(task) {
				return
			}
		}
	}
}

// PendingCount returns how many tasks are held.
func (s *State) PendingCount() int { return s.counters.Pending }

// StateOf returns the job's state as shown to clients, and whether the job is known.
func (s *State) StateOf(id string) (state string, known bool) {
	job := s.jobs[id]
	if job == nil {
		return "", false
	}
	return job.State, true
}

// GangEnding returns how many jobs of the queue have not ended.
func (s *State) Pending(queueKey string) int { return s.pending[queueKey] }

// Counters returns the counts of now.
func (s *State) Counters() Counters {
	counters := s.counters
	counters.Retained = len(s.jobs) - counters.Jobs
	counters.Forgotten = s.tombstones.count()
	counters.Runners = len(s.runners.records)
	return counters
}

// heldList returns the list of held tasks of a priority.
func (s *State) heldList(priority int) *taskList {
	list := s.held[priority]
	if list == nil {
		list = &taskList{}
		s.held[priority] = list
		at, _ := slices.BinarySearch(s.priorities, priority)
		s.priorities = slices.Insert(s.priorities, at, priority)
	}
	return list
}
