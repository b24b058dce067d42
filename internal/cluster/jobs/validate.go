package jobs

import (
	"math"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Limits of a job. With them, Job.dueMs and the products of validateTimes fit an int64. All replicas must have the same
// limits, since these decide whether a committed Submit is accepted. Restore checks them too: after a limit was lowered, a
// snapshot with an unfinished job above it could not be restored.
const (
	MaxSpecBytes          = 4000              // length of JobSpec.Spec
	maxSteps              = 256               // steps of a job, and entries of one step's DependsOn
	maxTasksPerRepetition = 100_000           // tasks of one repetition, and so of one step
	maxRepetitions        = 1_000_000         // repetitions of a job
	maxTasksOfJob         = 10_000_000        // tasks of all repetitions together
	maxAmount             = int64(1) << 40    // need of one resource: CPU, MemoryMB or GPU, in its unit
	maxTimeMs             = int64(1) << 50    // FirstRunMs; about 35,000 years after 1970
	maxIntervalMs         = int64(1000) << 30 // IntervalMs; about 34 years
)

// Validate returns an error of kind failure.Invalid if the spec has a value out of range, no steps, or a step that depends
// on itself, on a later step or on a missing step: such a step could never start. The result depends on spec alone, so that
// it is the same on all replicas.
func Validate(spec *protocol.JobSpec) error {
	switch {
	case len(spec.Spec) > MaxSpecBytes:
		return failure.Newf(failure.Invalid, "spec has %d bytes, the limit is %d", len(spec.Spec), MaxSpecBytes)
	case len(spec.Steps) == 0:
		return failure.New(failure.Invalid, "job has no steps")
	case len(spec.Steps) > maxSteps:
		return failure.Newf(failure.Invalid, "job has %d steps, the limit is %d", len(spec.Steps), maxSteps)
	}
	tasks := 0
	for i := range spec.Steps {
		if problem := stepProblem(&spec.Steps[i], i); problem != "" {
			return failure.Newf(failure.Invalid, "step %d: %s", i, problem)
		}
		tasks += spec.Steps[i].Count
	}
	if tasks > maxTasksPerRepetition {
		return failure.Newf(failure.Invalid, "one repetition has %d tasks, the limit is %d", tasks, maxTasksPerRepetition)
	}
	return validateTimes(spec, tasks)
}

// validateTimes checks the repetitions and their times. tasks is the number of tasks of one repetition.
func validateTimes(spec *protocol.JobSpec, tasks int) error {
	switch {
	case spec.Repetitions < 0 || spec.Repetitions > maxRepetitions:
		return failure.Newf(failure.Invalid, "repetitions is out of range: %d", spec.Repetitions)
	case spec.Repetitions*tasks > maxTasksOfJob:
		return failure.Newf(failure.Invalid, "%d repetitions of %d tasks exceed the limit of tasks of a job", spec.Repetitions, tasks)
	case spec.FirstRunMs < 0 || spec.FirstRunMs > maxTimeMs:
		return failure.Newf(failure.Invalid, "firstRunMs is out of range: %d", spec.FirstRunMs)
	case spec.IntervalMs < 0 || spec.IntervalMs > maxIntervalMs:
		return failure.Newf(failure.Invalid, "intervalMs is out of range: %d", spec.IntervalMs)
	}
	return nil
}

// stepProblem describes the first invalid field of the step at this position (from 0) of a job, or returns "" if there is
// none.
func stepProblem(step *protocol.Step, position int) string {
	switch {
	case step.Count <= 0 || step.Count > maxTasksPerRepetition:
		return "count is out of range"
	case !isValidAmount(step.CPU) || !isValidAmount(step.MemoryMB) || !isValidAmount(step.GPU):
		return "cpu, memoryLimitMb or gpu is out of range"
	case !(step.EstimatedMs >= 0) || math.IsInf(step.EstimatedMs, 0):
		return "estimatedMs is negative or not a finite number"
	case step.AntiAffinity < 0:
		return "antiAffinity is negative"
	case len(step.DependsOn) > maxSteps:
		return "dependsOn has too many entries"
	}
	for _, earlier := range step.DependsOn {
		if earlier < 0 || earlier >= position {
			return "dependsOn has a number that is not that of an earlier step"
		}
	}
	return ""
}

// isValidAmount reports whether value is a valid need of a resource: 0 to maxAmount.
func isValidAmount(value int64) bool { return value >= 0 && value <= maxAmount }
