package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Never is the time of what has not happened.
const Never = time.Duration(-1)

// TaskName is a task's name in parts.
type TaskName struct {
	Job   string
	Time  int
	Step  int
	Index int
}

// Run is one start, as its runner saw it.
type Run struct {
	Text     string // the task's name as it was ordered
	Task     TaskName
	Run      uint64
	Runner   *RunnerLife
	Sent     time.Duration // when the heartbeat left whose answer had the order
	Started  time.Duration
	Spec     string
	Saved    string // checkpoint that the order brought
	Ended    time.Duration
	How      string // empty while it runs; EndCrashed: its runner went away with it
	N        uint64
	Noted    time.Duration // when lastSeen reached N
	NoteLost bool          // the runner's hold lapsed between the end and its noting
}

// EndCrashed is the ledger's word for a run that was over with its runner.
const EndCrashed = "crashed"

// Over tells whether the run was over at a time.
func (r *Run) Over(at time.Duration) bool { return r.Ended != Never && r.Ended <= at }

// RunnerLife is one incarnation of a runner.
type RunnerLife struct {
	Instance  string
	Machine   string // the side machine whose agent speaks for it
	Service   string
	Labels    []string
	Rack      string
	Capacity  protocol.Resources
	Guards    bool // rejects what does not fit
	Up        time.Duration
	Down      time.Duration // Never while it lives
	DrainAck  time.Duration // when its `draining` was acknowledged
	Lapses    []time.Duration
	Refused   int // starts it rejected for want of room
	Heartbeat int // answered ones
}

// QueueName is where a queue is reached.
type QueueName struct {
	Host   string
	Prefix string
}

// Key is the queue's name inside the scheduler.
func (q QueueName) Key() string { return q.Host + q.Prefix }

// Try is one call of a client and its answer.
type Try struct {
	Machine  string // the frontend that was called
	Life     int    // of its process
	Sent     time.Duration
	Answered time.Duration // Never: silence, or a cut
	Status   int
	State    string // of a GET
	Lost     bool   // the answer was sent, and lost on its way
}

// rejected tells whether the answer says that nothing was taken.
func (t *Try) rejected() bool {
	return t.Answered != Never && (t.Status == 429 || t.Status == 503 || t.Status >= 400 && t.Status < 500 && t.Status != 408)
}

// JobRecord is what a client did with one job.
type JobRecord struct {
	ID       string
	Queue    QueueName
	Spec     protocol.JobSpec
	HandIns  []Try
	Asks     []Try
	Cancels  []Try
	Accepted time.Duration // first 2xx, or Never
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
	Version int64
	Base    int64
	Body    string // as it was sent: the same body is the same order
	Whole   string // the whole configuration it leads to, canonical JSON
	Routes  map[QueueName]RouteRecord
	Invalid bool
	Tries   []Try
	// Alone says that no other change was made between this one's acknowledgement and the end of its tries.
	Alone        bool
	Acknowledged time.Duration // or Never
}

// Count is a question for the number of jobs that a queue has waiting.
type Count struct {
	Queue QueueName
	Try
}

// Trouble is something done to the deployment.
type Trouble struct {
	From, To time.Duration
	Kind     string
	Machines []string // that it strikes
	Core     bool     // it makes the core unstable as long as it lasts
	Clock    bool     // it steps a time of day
	Planned  bool     // configuration, cancels, hopeless jobs, new runners: no trouble to a gang
	Leaving  bool     // runners leaving by plan
}

// Ledger is everything that clients, runners and the operator saw.
type Ledger struct {
	Bounds        Bounds
	Runs          []*Run // in order of their starts
	Runners       []*RunnerLife
	Jobs          map[string]*JobRecord
	JobOrder      []*JobRecord
	Configuration []*ConfigurationRecord
	Counts        []Count
	Troubles      []Trouble
	TrafficEnds   time.Duration
	Ends          time.Duration
	ReadBack      string // whole configuration as last read at the end, canonical JSON; empty: none came
	Reads         []Read
	FinalFault    time.Duration   // Never: none
	Returned      time.Duration   // when the machines were back from it
	Idle          []IdleJob       // jobs that had nothing running though they could, as sampled at the end
	Served        map[string]bool // hand-ins that got their answer in time (by job)
}

// IdleJob is a job that had nothing running for a span in which it could have.
type IdleJob struct {
	ID       string
	From, To time.Duration
}

// Read is a configuration as the operator read it, in canonical JSON.
type Read struct {
	At   time.Duration
	Body string
}

// NewLedger returns an empty ledger.
func NewLedger(bounds Bounds) *Ledger {
	return &Ledger{Bounds: bounds, Jobs: map[string]*JobRecord{}, FinalFault: Never, Returned: Never,
		Served: map[string]bool{}}
}

// AddJob opens the record of a job.
func (l *Ledger) AddJob(job *JobRecord) {
	l.Jobs[job.ID] = job
	l.JobOrder = append(l.JobOrder, job)
}
