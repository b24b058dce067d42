package protocol

// Step is one step of a job as a client submits it. A field that is left out is 0, false or empty. The tags are the
// clients' JSON; between processes it is encoded by gob, whose wire format are the field names.
type Step struct {
	Count        int     `json:"count"`         // tasks
	CPU          int64   `json:"cpu"`           // thousandths of a core, each task
	MemoryMB     int64   `json:"memoryLimitMb"` // MB, each task
	GPU          int64   `json:"gpu"`           // accelerators, each task
	EstimatedMs  float64 `json:"estimatedMs"`   // rough estimate of a task's run time
	DependsOn    []int   `json:"dependsOn"`     // indices of earlier steps that must have completed
	Gang         bool    `json:"gang"`          // the tasks only advance while all of them run
	RackLocal    bool    `json:"rackLocal"`
	Requirements string  `json:"requirements"` // a label that the runner must have
	Affinity     string  `json:"affinity"`     // rack where the data is
	AntiAffinity int     `json:"antiAffinity"` // maximum of the step's tasks (of one repetition) on one runner; 0: no limit
	AtMostOnce   bool    `json:"atMostOnce"`   // two runs of a task may exist side by side
	LongRunning  bool    `json:"longRunning"`
	Checkpoints  bool    `json:"checkpoints"` // a run saves checkpoints, from which a later one continues
}

// Needs returns the resources that each task of the step requests.
func (s *Step) Needs() Resources { return Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, GPU: s.GPU} }

// JobSpec is a job as a client submits it. The tags are the clients' JSON; between processes it is encoded by gob, whose
// wire format are the field names.
type JobSpec struct {
	Spec        string `json:"spec"` // handed to the runs as it is
	Steps       []Step `json:"steps"`
	Repetitions int    `json:"repetitions"` // above 0: how many times the steps run
	FirstRunMs  int64  `json:"firstRunMs"`  // ms since 1970
	IntervalMs  int64  `json:"intervalMs"`  // between the starts of two repetitions
}

// Queue is what the configuration says about the queue to which a job was submitted, at that time. Encoded by gob: the
// field names are the wire format.
type Queue struct {
	Key             string // host and path prefix
	Service         string
	Priority        int     // 0 is the highest
	MaxAttempts     int     // runs of one task that may end as EndFailed; 0: no limit
	Extension       float64 // factor on a job's longest chain of work, a part of its objective
	TargetLatencyMs int64   // target of a job's latency, the other part of its objective
}

// JobState is the state of a job as clients see it and the shard's snapshots have it. The constants are untyped: histories of
// the simulation have the same texts as plain strings.
type JobState string

// States of a job.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobCompleted = "completed"
	JobFailed    = "failed"
	JobCancelled = "cancelled"
)

// JobEnded reports whether state is final: a job never leaves it.
func JobEnded(state JobState) bool {
	return state == JobCompleted || state == JobFailed || state == JobCancelled
}
