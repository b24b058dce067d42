package jobs

import (
	"math"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Limits of a job.
const (
	MaxSpecBytes          = 4000
	maxSteps              = 256
	maxTasksPerRepetition = 100_000 // of one repetition, and of a step
	maxRepetitions        = 1_000_000
	maxTasksOfJob         = 10_000_000        // tasks of all repetitions
	maxAmount             = int64(1) << 40    // of a resource
	maxTimeMs             = int64(1) << 50    // time of day; some 35,000 years
	maxIntervalMs         = int64(1000) << 30 // some 35 years
)

// Validate returns an error of kind failure.Invalid if the job can never be done as it is, or exceeds the limits. It
// depends on spec alone.
func Validate(spec *protocol.JobSpec) error {
	switch {
	case len(spec.Spec) > MaxSpecBytes:
		return failure.Newf(failure.Invalid, "spec has %d bytes, %d are allowed", len(spec.Spec), MaxSpecBytes)
	case len(spec.Steps) == 0:
		return failure.New(failure.Invalid, "no steps")
	case len(spec.Steps) > maxSteps:
		return failure.Newf(failure.Invalid, "%d steps, %d are allowed", len(spec.Steps), maxSteps)
	}
	tasks := 0
	for i := range spec.Steps {
		if problem := stepProblem(&spec.Steps[i], i); problem != "" {
			return failure.Newf(failure.Invalid, "step %d: %s", i, problem)
		}
		tasks += spec.Steps[i].Count
	}
	if tasks > maxTasksPerRepetition {
		return failure.Newf(failure.Invalid, "%d tasks, %d are allowed", tasks, maxTasksPerRepetition)
	}
	return validateTimes(spec, tasks)
}

func validateTimes(spec *protocol.JobSpec, tasks int) error {
	switch {
	case spec.Repetitions < 0 || spec.Repetitions > maxRepetitions:
		return failure.Newf(failure.Invalid, "%d repetitions", spec.Repetitions)
	case spec.Repetitions*tasks > maxTasksOfJob:
		return failure.Newf(failure.Invalid, "%d times %d tasks are too many", spec.Repetitions, tasks)
	case spec.FirstRunMs < 0 || spec.FirstRunMs > maxTimeMs:
		return failure.Newf(failure.Invalid, "firstRunMs %d", spec.FirstRunMs)
	case spec.IntervalMs < 0 || spec.IntervalMs > maxIntervalMs:
		return failure.Newf(failure.Invalid, "intervalMs %d", spec.IntervalMs)
	}
	return nil
}

// stepProblem returns what is wrong with the step at this position, or "".
func stepProblem(step *protocol.Step, position int) string {
	switch {
	case step.Count <= 0 || step.Count > maxTasksPerRepetition:
		return "count is out of bounds"
	case !isValidAmount(step.CPU) || !isValidAmount(step.MemoryMB) || !isValidAmount(step.GPU):
		return "a resource is out of bounds"
	case !(step.EstimatedMs >= 0) || math.IsInf(step.EstimatedMs, 0):
		return "estimatedMs is out of bounds"
	case step.AntiAffinity < 0:
		return "antiAffinity is negative"
	case len(step.DependsOn) > maxSteps:
		return "dependsOn is too long"
	}
	for _, earlier := range step.DependsOn {
		if earlier < 0 || earlier >= position {
			return "dependsOn names a step that is not an earlier one"
		}
	}
	return ""
}

// isValidAmount reports whether value may be an amount of a resource.
func isValidAmount(value int64) bool { return value >= 0 && value <= maxAmount }
