package simulation

import (
	"net/http"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Never stands in a time field for an event that has not happened. It is lower than all times of a World, which begin at 0:
// a comparison must exclude it first.
const Never = time.Duration(-1)

// History records a scenario: all that clients, runners and the operator saw, and the faults that were injected. All times
// are true times of the World since its beginning.
type History struct {
	Bounds         Bounds
	Runs           []*Run // in the order of their starts
	Runners        []*RunnerIncarnation
	Jobs           map[string]*JobRecord // by id
	JobOrder       []*JobRecord          // in the order of their first submissions
	Configuration  []*ConfigurationRecord
	PendingQueries []PendingQuery
	Faults         []Fault
	TrafficEnds    time.Duration // the last time at which a new job may be submitted
	Ends           time.Duration // the end of the scenario; 0 in a history that was recorded only in part
	ReadBacks      []ReadBack
	FinalFault     time.Duration // when the final fault was injected; Never: there was none
	Returned       time.Duration // when the machines were started again after the final fault, or Never
	StalledJobs    []StalledJob  // one for each sample that found a job stalled for stallThreshold or longer
	RefusedCalls   []RefusedCall // in the order of their times
}

// RefusedCall is a call that a runner refused because it had seen a higher fencing token.
type RefusedCall struct {
	Machine    string // the machine of the calling agent
	Instance   string // the runner's instance
	FenceToken uint64 // the token of the call
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
	TaskText        string // the task's name as the order gave it
	Task            TaskName
	Number          uint64 // of the task's runs, given by the scheduler; all members of a gang run have the same
	Runner          *RunnerIncarnation
	Sent            time.Duration // when the runner sent the heartbeat that the order answered, or received the call
	Started         time.Duration
	Spec            string
	Checkpoint      string        // the checkpoint that the order gave to start from; empty: none
	Ended           time.Duration // Never while it runs
	EndReason       string        // a protocol.End constant or EndCrashed; empty while it runs
	EndSequence     uint64        // the number of the end in the runner's list of finished runs, from 1
	Acknowledged    time.Duration // when the scheduler's lastSeen reached EndSequence, or Never
	LapsedBeforeAck bool          // the runner's lease expired between the end and its acknowledgement
}

// EndCrashed is the EndReason of a run that ended with its runner.
const EndCrashed = "crashed"

// Over reports whether the run had ended by a time.
func (r *Run) Over(at time.Duration) bool { return r.Ended != Never && r.Ended <= at }

// RunnerIncarnation is one incarnation of a runner's process, from its start to its end.
type RunnerIncarnation struct {
	Instance          string
	Machine           string // the machine of its agent
	Service           string
	Labels            []string
	Rack              string
	Capacity          protocol.Resources
	EnforcesCapacity  bool // the runner itself rejects runs that do not fit its capacity
	Started           time.Duration
	Ended             time.Duration // Never while it is up
	DrainAcknowledged time.Duration // when its state `draining` was acknowledged, or Never
	LeaseExpiries     []time.Duration
}

// QueueName identifies a queue by the host and the path prefix at which clients reach it.
type QueueName struct {
	Host   string
	Prefix string
}

// Key returns the name that the scheduler uses for the queue.
func (q QueueName) Key() string { return q.Host + q.Prefix }

// Attempt is one call of a client or the operator, and its response.
type Attempt struct {
	Machine     string // the machine that was called
	Incarnation int    // the incarnation of that machine's process when the call was sent
	Sent        time.Duration
	Answered    time.Duration // Never: the call timed out or was reset
	Status      int
	State       string // the job's state in the response; empty unless the call queried it
	ReplyLost   bool   // the response was sent but lost on its way; Answered and Status are set nevertheless
}

// isAnswered reports whether a response was sent, received or lost.
func (a *Attempt) isAnswered() bool { return a.Answered != Never }

// rejected reports whether the response says that the call had no effect: 429, 503, or another 4xx than 408.
func (a *Attempt) rejected() bool {
	return a.isAnswered() && (a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable ||
		isClientError(a.Status) && a.Status != http.StatusRequestTimeout)
}

// acknowledgesCancel reports whether the call was answered with a status that acknowledges a cancel: 2xx or 410.
func (a *Attempt) acknowledgesCancel() bool {
	return a.isAnswered() && (isSuccess(a.Status) || a.Status == http.StatusGone)
}

// isSuccess reports whether a status is 2xx.
func isSuccess(status int) bool { return status/100 == 2 }

// isClientError reports whether a status is 4xx.
func isClientError(status int) bool { return status/100 == 4 }

// isFinalRejection reports whether a status rejects an operator's change so that sending it again is pointless: any 4xx but
// 408 and 429.
func isFinalRejection(status int) bool {
	return isClientError(status) && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// JobRecord records the calls of one job's client.
type JobRecord struct {
	ID          string
	Queue       QueueName
	Spec        protocol.JobSpec
	Submissions []Attempt
	Queries     []Attempt // for the job's state
	Cancels     []Attempt
	Accepted    time.Duration // when the client received the first 2xx to a submission, or Never
}

// CancelSent returns when the first cancel was sent, or Never.
func (j *JobRecord) CancelSent() time.Duration {
	if len(j.Cancels) == 0 {
		return Never
	}
	return j.Cancels[0].Sent
}

// CancelAcknowledged returns when a cancel was first acknowledged, or Never. By the users' protocol a 410 acknowledges a
// cancel as a 2xx does.
func (j *JobRecord) CancelAcknowledged() time.Duration {
	first := Never
	for i := range j.Cancels {
		cancel := &j.Cancels[i]
		if cancel.acknowledgesCancel() && (first == Never || cancel.Answered < first) {
			first = cancel.Answered
		}
	}
	return first
}

// LastState returns the state that the last answered query gave; empty if no query was answered, or that response gave none.
func (j *JobRecord) LastState() string {
	for i := len(j.Queries) - 1; i >= 0; i-- {
		if j.Queries[i].isAnswered() {
			return j.Queries[i].State
		}
	}
	return ""
}

// RouteRecord holds the settings of a queue that the auditor needs of a configuration.
type RouteRecord struct {
	Service     string
	MaxAttempts int // how many runs of a task may end `failed`; 0: any number
}

// ConfigurationRecord is one change of the configuration by the operator.
type ConfigurationRecord struct {
	Version  int64
	Base     int64  // the version that the change is based on
	Body     string // the request body; changes with the same body are the same change
	Document string // the complete resulting configuration in canonical JSON; empty if the change is invalid
	Routes   map[QueueName]RouteRecord
	Invalid  bool // the scheduler must reject the change
	Attempts []Attempt
	// Alone is cleared if another change may have taken effect while this one was open: the outcome of one of the two was
	// still unknown when the other was first sent.
	Alone        bool
	Acknowledged time.Duration // or Never
}

// PendingQuery is a client's query for the number of pending jobs in a queue.
type PendingQuery struct {
	Queue QueueName
	Attempt
}

// ReadBack is one successful read of the configuration by the operator at the end of the scenario.
type ReadBack struct {
	At   time.Duration
	Body string // the configuration in canonical JSON
}

// StalledJob is a job that had no run during a span although one of its tasks was due and there was ample capacity for it.
type StalledJob struct {
	ID       string
	From, To time.Duration
}

// Fault is a fault that was injected into the deployment, or a planned event of its operation.
type Fault struct {
	From, To     time.Duration
	Kind         string
	Machines     []string // the machines that the fault disturbs
	ControlPlane bool     // all machines are disturbed while it lasts
	Clock        bool     // it steps a machine's time of day
	Planned      bool     // normal operation, such as changes, cancels and new runners: spans with it are fault-free
	RunnersLeave bool     // runners drain or deregister; some rules treat spans with it as fault-free
}
