package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Never is the time of what has not happened.
const Never = time.Duration(-1)

// TaskName is a task's name in parts.
type TaskName struct {
	Job        string
	Repetition int
	Step       int
	Index      int
}

// Number is one start, as its runner saw it.
type Run struct {
	TaskText        string // the task's name as it was ordered
	Task            TaskName
	Number          uint64
	Runner          *RunnerIncarnation
	Sent            time.Duration // when the heartbeat left whose answer had the order
	Started         time.Duration
	Spec            string
	Checkpoint      string // checkpoint that the order brought
	Ended           time.Duration
	EndReason       string // empty while it runs; EndCrashed: its runner went away with it
	EndSequence     uint64
	Acknowledged    time.Duration // when lastSeen reached N
	LapsedBeforeAck bool          // the runner's hold lapsed between the end and its noting
}

// EndCrashed is the ledger's word for a run that was over with its runner.
const EndCrashed = "crashed"

// Over tells whether the run was over at a time.
func (r *Run) Over(at time.Duration) bool { return r.Ended != Never && r.Ended <= at }

// RunnerIncarnation is one incarnation of a runner.
type RunnerIncarnation struct {
	Instance          string
	Machine           string // the side machine whose agent speaks for it
	Service           string
	Labels            []string
	Rack              string
	Capacity          protocol.Resources
	EnforcesCapacity  bool // rejects what does not fit
	Started           time.Duration
	Ended             time.Duration // Never while it lives
	DrainAcknowledged time.Duration // when its `draining` was acknowledged
	LeaseExpiries     []time.Duration
	Rejected          int // starts it rejected for want of room
	Heartbeats        int // answered ones
}

// QueueName is where a queue is reached.
type QueueName struct {
	Host   string
	Prefix string
}

// Key is the queue's name inside the scheduler.
func (q QueueName) Key() string { return q.Host + q.Prefix }

// Attempt is one call of a client and its answer.
type Attempt struct {
	Machine     string // the frontend that was called
	Incarnation int    // of its process
	Sent        time.Duration
	Answered    time.Duration // Never: silence, or a cut
	Status      int
	State       string // of a GET
	ReplyLost   bool   // the answer was sent, and lost on its way
}

// rejected tells whether the answer says that nothing was taken.
func (t *Attempt) rejected() bool {
	return t.Answered != Never && (t.Status == 429 || t.Status == 503 || t.Status >= 400 && t.Status < 500 && t.Status != 408)
}

// JobRecord is what a client did with one job.
type JobRecord struct {
	ID          string
	Queue       QueueName
	Spec        protocol.JobSpec
	Submissions []Attempt
	Queries     []Attempt
	Cancels     []Attempt
	Accepted    time.Duration // first 2xx, or Never
}

// CancelSent is when the first cancel left, or Never.
func (j *JobRecord) CancelSent() time.Duration {
	if len(j.Cancels) == 0 {
		return Never
	}
	return j.Cancels[0].Sent
}

// CancelAcknowledged is when a cancel was first acknowledged, or Never.
func (j *JobRecord) CancelAcknowledged() time.Duration {
	first := Never
	for _, try := range j.Cancels {
		if try.Answered != Never && try.Status/100 == 2 && (first == Never || try.Answered < first) {
			first = try.Answered
		}
	}
	return first
}

// RouteRecord is what a configuration says of a queue.
type RouteRecord struct {
	Service     string
	MaxAttempts int
}

// ConfigurationRecord is one order of the operator.
type ConfigurationRecord struct {
	Version  int64
	Base     int64
	Body     string // as it was sent: the same body is the same order
	Document string // the whole configuration it leads to, canonical JSON
	Routes   map[QueueName]RouteRecord
	Invalid  bool
	Attempts []Attempt
	// Alone says that no other change was made between this one's acknowledgement and the end of its tries.
	Alone        bool
	Acknowledged time.Duration // or Never
}

// QueryPending is a question for the number of jobs that a queue has waiting.
type PendingQuery struct {
	Queue QueueName
	Attempt
}

// Fault is something done to the deployment.
type Fault struct {
	From, To     time.Duration
	Kind         string
	Machines     []string // that it strikes
	ControlPlane bool     // it makes the core unstable as long as it lasts
	Clock        bool     // it steps a time of day
	Planned      bool     // configuration, cancels, hopeless jobs, new runners: no trouble to a gang
	RunnersLeave bool     // runners leaving by plan
}

// History is everything that clients, runners and the operator saw.
type History struct {
	Bounds         Bounds
	Runs           []*Run // in order of their starts
	Runners        []*RunnerIncarnation
	Jobs           map[string]*JobRecord
	JobOrder       []*JobRecord
	Configuration  []*ConfigurationRecord
	PendingQueries []PendingQuery
	Faults         []Fault
	TrafficEnds    time.Duration
	Ends           time.Duration
	LastReadBack   string // whole configuration as last read at the end, canonical JSON; empty: none came
	ReadBacks      []ReadBack
	FinalFault     time.Duration   // Never: none
	Returned       time.Duration   // when the machines were back from it
	StalledJobs    []StalledJob    // jobs that had nothing running though they could, as sampled at the end
	Served         map[string]bool // hand-ins that got their answer in time (by job)
}

// StalledJob is a job that had nothing running for a span in which it could have.
type StalledJob struct {
	ID       string
	From, To time.Duration
}

// ReadBack is a configuration as the operator read it, in canonical JSON.
type ReadBack struct {
	At   time.Duration
	Body string
}

// NewHistory returns an empty ledger.
func NewHistory(bounds Bounds) *History {
	return &History{Bounds: bounds, Jobs: map[string]*JobRecord{}, FinalFault: Never, Returned: Never,
		Served: map[string]bool{}}
}

// AddJob opens the record of a job.
func (l *History) AddJob(job *JobRecord) {
	l.Jobs[job.ID] = job
	l.JobOrder = append(l.JobOrder, job)
}
