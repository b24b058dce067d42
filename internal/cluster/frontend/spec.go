package frontend

import (
	"encoding/json"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Bounds of what a client may hand in.
const (
	maxSpecBytes = 4000
	maxSteps     = 1000
	maxTasks     = 1_000_000 // of one step
	idDigits     = 16
)

// validID tells whether id has the form of a job's name.
func validID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for i := range len(id) {
		if !hexDigit(id[i]) {
			return false
		}
	}
	return true
}

func hexDigit(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// parseSpec reads and checks a job. Fields that aren't known are passed over.
func parseSpec(body []byte) (*protocol.JobSpec, error) {
	spec := new(protocol.JobSpec)
	if err := json.Unmarshal(body, spec); err != nil {
		return nil, failure.Newf(failure.Invalid, "the body is not a job: %v", err)
	}
	if err := checkSpec(spec); err != nil {
		return nil, err
	}
	return spec, nil
}

func checkSpec(spec *protocol.JobSpec) error {
	switch {
	case len(spec.Spec) > maxSpecBytes:
		return failure.Newf(failure.Invalid, "spec has %d bytes, at most %d are allowed", len(spec.Spec), maxSpecBytes)
	case len(spec.Steps) == 0:
		return failure.New(failure.Invalid, "steps is empty")
	case len(spec.Steps) > maxSteps:
		return failure.Newf(failure.Invalid, "steps has %d items, at most %d are allowed", len(spec.Steps), maxSteps)
	case spec.Repetitions < 0 || spec.IntervalMs < 0 || spec.FirstRunMs < 0:
		return failure.New(failure.Invalid, "repetitions, firstRunMs and intervalMs must not be negative")
	}
	for number := range spec.Steps {
		if err := checkStep(&spec.Steps[number], number); err != nil {
			return err
		}
	}
	return nil
}

func checkStep(step *protocol.Step, number int) error {
	if step.Count < 1 || step.Count > maxTasks {
		return failure.Newf(failure.Invalid, "steps[%d].count is %d, not within 1 to %d", number, step.Count, maxTasks)
	}
	if step.CPU < 0 || step.MemoryMB < 0 || step.GPU < 0 || step.EstimatedMs < 0 || step.AntiAffinity < 0 {
		return failure.Newf(failure.Invalid, "steps[%d] has a negative amount", number)
	}
	for _, earlier := range step.DependsOn {
		if earlier < 0 || earlier >= number {
			return failure.Newf(failure.Invalid, "steps[%d].dependsOn names %d, which is no earlier step", number, earlier)
		}
	}
	return nil
}
