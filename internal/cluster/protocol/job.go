package protocol

// Step is one step of a job as a client hands it in. What is left out is 0, false or empty.
type Step struct {
	Count        int     `json:"count"`
	CPU          int64   `json:"cpu"`           // thousandths of a core, each task
	MemoryMB     int64   `json:"memoryLimitMb"` // MB, each task
	GPU          int64   `json:"gpu"`           // accelerators, each task
	EstimatedMs  float64 `json:"estimatedMs"`   // a rough guess of a task's time
	DependsOn    []int   `json:"dependsOn"`
	Gang         bool    `json:"gang"`
	RackLocal    bool    `json:"rackLocal"`
	Requirements string  `json:"requirements"` // a label that the runner must have
	Affinity     string  `json:"affinity"`     // rack where the data lies
	AntiAffinity int     `json:"antiAffinity"` // most tasks of the step (of one time K) on one runner; 0: no bound
	AtMostOnce   bool    `json:"atMostOnce"`   // copies may run side by side
	LongRunning  bool    `json:"longRunning"`
	Checkpoints  bool    `json:"checkpoints"`
}

// Needs returns what each task of the step asks for.
func (s *Step) Needs() Resources { return Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, GPU: s.GPU} }

// JobSpec is a job as a client hands it in.
type JobSpec struct {
	Spec        string `json:"spec"`
	Steps       []Step `json:"steps"`
	Repetitions int    `json:"repetitions"` // over 0: the steps run that many times
	FirstRunMs  int64  `json:"firstRunMs"`  // ms since 1970
	IntervalMs  int64  `json:"intervalMs"`
}

// Queue is what the configuration says of the queue a job was handed in to, as of then.
type Queue struct {
	Key             string // host and path prefix
	Service         string
	Priority        int // 0 goes first
	MaxAttempts     int // ends `failed` of one task; 0: no bound
	Extension       float64
	TargetLatencyMs int64
}

// States of a job as shown to clients.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobCompleted = "completed"
	JobFailed    = "failed"
	JobCancelled = "cancelled"
)

// JobEnded tells whether a state is one that a job never leaves.
func JobEnded(state string) bool {
	return state == JobCompleted || state == JobFailed || state == JobCancelled
}
