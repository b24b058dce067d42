package protocol

// Step is one step of a job, which is a number of equal tasks. A client submits it as JSON, with the names in the tags.
// Processes send it by gob, with the field names. A field that is absent is 0, false or empty.
type Step struct {
	Count        int     `json:"count"`         // number of tasks, at least 1
	CPU          int64   `json:"cpu"`           // thousandths of a core for each task
	MemoryMB     int64   `json:"memoryLimitMb"` // megabytes for each task
	GPU          int64   `json:"gpu"`           // number of accelerators for each task
	EstimatedMs  float64 `json:"estimatedMs"`   // client's rough estimate of a task's run time
	DependsOn    []int   `json:"dependsOn"`     // indices in JobSpec.Steps of earlier steps that must complete first
	Gang         bool    `json:"gang"`          // the tasks make progress only while all of them run
	RackLocal    bool    `json:"rackLocal"`     // the tasks of the gang run longer if they are spread over several racks
	Requirements string  `json:"requirements"`  // label that a runner must have; empty: any runner will do
	Affinity     string  `json:"affinity"`      // rack where the tasks' data is; empty: none
	AntiAffinity int     `json:"antiAffinity"`  // most tasks of the step, of one repetition, on one runner; 0: no limit
	AtMostOnce   bool    `json:"atMostOnce"`    // the client permits two runs of a task at one time; owners don't use that
	LongRunning  bool    `json:"longRunning"`   // a run has no planned end: after each end the task is started again
	Checkpoints  bool    `json:"checkpoints"`   // runs save checkpoints, and a later run of the task continues from the newest
}

// Needs returns the resources that each task of the step requests.
func (s *Step) Needs() Resources { return Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, GPU: s.GPU} }

// JobSpec is a job. A client submits it as JSON, with the names in the tags. Processes send it by gob, with the field names.
type JobSpec struct {
	Spec        string `json:"spec"`        // text that every run of the job gets unchanged
	Steps       []Step `json:"steps"`       // at least one
	Repetitions int    `json:"repetitions"` // how many times the steps run, at set times; 0: once, without delay
	FirstRunMs  int64  `json:"firstRunMs"`  // when the first repetition starts, in ms since 1970; not used without repetitions
	IntervalMs  int64  `json:"intervalMs"`  // time from the start of one repetition to the start of the next
}

// Queue is the configuration of a queue. A submission carries the Queue of the frontend's version of the configuration, and
// the job keeps it when the configuration changes. Encoded by gob: the field names are the wire format.
type Queue struct {
	Key         string // host and path prefix of the queue
	Service     string // the runners of this service run the queue's jobs; it determines the shard
	Priority    int    // 0 is the highest
	MaxAttempts int    // runs of one task that may end as EndFailed before the job fails; 0: no limit

	// Extension and TargetLatencyMs give the objective of a job's latency, in ms:
	//
	//	TargetLatencyMs + max(Extension, 1) * predicted run time of the job's longest chain of dependent steps
	Extension       float64
	TargetLatencyMs int64
}

// JobState is the state of a job as clients see it, and as the shard's snapshots store it. The constants are untyped, so
// that they can also be compared with plain strings, which the simulation's histories have.
type JobState string

// Values of JobState.
const (
	JobQueued    = "queued"    // no task has started
	JobRunning   = "running"   // a task has started
	JobCompleted = "completed" // all tasks are done
	JobFailed    = "failed"    // a task or a gang has failed Queue.MaxAttempts times
	JobCancelled = "cancelled" // a client has cancelled the job
)

// JobEnded reports whether state is final: the job's state never changes again.
func JobEnded(state JobState) bool {
	return state == JobCompleted || state == JobFailed || state == JobCancelled
}
