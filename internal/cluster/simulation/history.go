package simulation

import (
	"net/http"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Never is the time of what has not happened.
const Never = time.Duration(-1)

// History is everything that clients, runners and the operator saw of a scenario, and the faults that were injected. All
// times in it are true times of the World.
type History struct {
	Bounds         Bounds
	Runs           []*Run // in the order of their starts
	Runners        []*RunnerIncarnation
	Jobs           map[string]*JobRecord // by id
	JobOrder       []*JobRecord          // in the order of their first submissions
	Configuration  []*ConfigurationRecord
	PendingQueries []PendingQuery
	Faults         []Fault
	TrafficEnds    time.Duration // when the last new job may be submitted
	Ends           time.Duration // when the scenario ends, or 0 in a history that does not go so far
	ReadBacks      []ReadBack
	FinalFault     time.Duration // Never: none
	Returned       time.Duration // when the machines were back from the final fault
	StalledJobs    []StalledJob  // as sampled after the traffic
	RefusedCalls   []RefusedCall // in the order of their times
}

// RefusedCall is a call that a runner has refused since it had seen a higher fencing token.
type RefusedCall struct {
	Machine    string // of the caller
	Instance   string // the runner's
	FenceToken uint64
	At         time.Duration
}

// NewHistory returns an empty history.
func NewHistory(bounds Bounds) *History {
	return &History{Bounds: bounds, Jobs: map[string]*JobRecord{}, FinalFault: Never, Returned: Never}
}

// AddJob adds the record of a job.
func (h *History) AddJob(job *JobRecord) {
	h.Jobs[job.ID] = job
	h.JobOrder = append(h.JobOrder, job)
}

// Run is one start of a task, as its runner saw it.
type Run struct {
	TaskText        string // the task's name as it was ordered
	Task            TaskName
	Number          uint64
	Runner          *RunnerIncarnation
	Sent            time.Duration // when the heartbeat left whose response had the order
	Started         time.Duration
	Spec            string
	Checkpoint      string        // that the order brought; empty: none
	Ended           time.Duration // Never while it runs
	EndReason       string        // a protocol.End constant or EndCrashed; empty while it runs
	EndSequence     uint64        // the end's number in the runner's list of finished runs
	Acknowledged    time.Duration // when the scheduler's lastSeen reached EndSequence, or Never
	LapsedBeforeAck bool          // the runner's lease expired between the end and its acknowledgement
}

// EndCrashed is the EndReason of a run that ended with its runner.
const EndCrashed = "crashed"

// Over reports whether the run was over at a time.
func (r *Run) Over(at time.Duration) bool { return r.Ended != Never && r.Ended <= at }

// RunnerIncarnation is one life of a runner, from its start to its end.
type RunnerIncarnation struct {
	Instance          string
	Machine           string // the machine of its agent
	Service           string
	Labels            []string
	Rack              string
	Capacity          protocol.Resources
	EnforcesCapacity  bool // it rejects what does not fit
	Started           time.Duration
	Ended             time.Duration // Never while it is up
	DrainAcknowledged time.Duration // when its state `draining` was acknowledged, or Never
	LeaseExpiries     []time.Duration
}

// QueueName is where clients reach a queue.
type QueueName struct {
	Host   string
	Prefix string
}

// Key returns the queue's name inside the scheduler.
func (q QueueName) Key() string { return q.Host + q.Prefix }

// Attempt is one call of a client or the operator, and its response.
type Attempt struct {
	Machine     string // that was called
	Incarnation int    // of the machine's process
	Sent        time.Duration
	Answered    time.Duration // Never: the call timed out or was reset
	Status      int
	State       string // of the job, if that was asked for
	ReplyLost   bool   // the response was sent and lost on its way; Answered is set all the same
}

// isAnswered reports whether there was a response.
func (a *Attempt) isAnswered() bool { return a.Answered != Never }

// rejected reports whether the response says that the call had no effect.
func (a *Attempt) rejected() bool {
	return a.isAnswered() && (a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable ||
		isClientError(a.Status) && a.Status != http.StatusRequestTimeout)
}

// isSuccess reports whether a status is 2xx.
func isSuccess(status int) bool { return status/100 == 2 }

// isClientError reports whether a status is 4xx.
func isClientError(status int) bool { return status/100 == 4 }

// isFinalRejection reports whether a status rejects an operator's change for good: there is no point in sending it again.
func isFinalRejection(status int) bool {
	return isClientError(status) && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// JobRecord is what a client did with one job.
type JobRecord struct {
	ID          string
	Queue       QueueName
	Spec        protocol.JobSpec
	Submissions []Attempt
	Queries     []Attempt // of its state
	Cancels     []Attempt
	Accepted    time.Duration // first 2xx to a submission, or Never
}

// CancelSent returns when the first cancel was sent, or Never.
func (j *JobRecord) CancelSent() time.Duration {
	if len(j.Cancels) == 0 {
		return Never
	}
	return j.Cancels[0].Sent
}

// CancelAcknowledged returns when a cancel was first acknowledged, or Never.
func (j *JobRecord) CancelAcknowledged() time.Duration {
	first := Never
	for i := range j.Cancels {
		cancel := &j.Cancels[i]
		if cancel.isAnswered() && isSuccess(cancel.Status) && (first == Never || cancel.Answered < first) {
			first = cancel.Answered
		}
	}
	return first
}

// LastState returns the state that the last answered query showed; empty if none was answered.
func (j *JobRecord) LastState() string {
	for i := len(j.Queries) - 1; i >= 0; i-- {
		if j.Queries[i].isAnswered() {
			return j.Queries[i].State
		}
	}
	return ""
}

// RouteRecord is what a configuration says of a queue.
type RouteRecord struct {
	Service     string
	MaxAttempts int // ends `failed` that a task may have; 0: any number
}

// ConfigurationRecord is one change of the configuration by the operator.
type ConfigurationRecord struct {
	Version  int64
	Base     int64  // the version that it builds on
	Body     string // as it was sent: the same body is the same change
	Document string // the complete configuration that it leads to, as canonical JSON; empty if it is invalid
	Routes   map[QueueName]RouteRecord
	Invalid  bool // it must be rejected
	Attempts []Attempt
	// Alone is set if no other change was in flight between this one's acknowledgement and its last attempt.
	Alone        bool
	Acknowledged time.Duration // or Never
}

// PendingQuery is a query for the number of jobs that are pending in a queue.
type PendingQuery struct {
	Queue QueueName
	Attempt
}

// ReadBack is the configuration as the operator read it at the end, in canonical JSON.
type ReadBack struct {
	At   time.Duration
	Body string
}

// StalledJob is a job that had nothing running for a span in which something of it could have run.
type StalledJob struct {
	ID       string
	From, To time.Duration
}

// Fault is something that was done to the deployment.
type Fault struct {
	From, To     time.Duration
	Kind         string
	Machines     []string // that it strikes
	ControlPlane bool     // it disturbs all control processes as long as it lasts
	Clock        bool     // it steps a clock
	Planned      bool     // normal operation, such as changes, cancels and new runners: what is promised for a calm holds
	RunnersLeave bool     // runners drain or deregister, which a calm includes for some rules
}
