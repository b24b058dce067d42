package frontend

import (
	"encoding/json"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
)

// Limits of a job that a client submits.
const (
	maxSpecBytes = 4000      // length of JobSpec.Spec
	maxSteps     = 1000      // steps of a job
	maxTasks     = 1_000_000 // tasks of one step
	jobIDDigits  = 16        // hexadecimal digits of a job's ID
)

// isValidID reports whether id has the form of a job's ID: jobIDDigits hexadecimal digits.
func isValidID(id string) bool {
	if len(id) != jobIDDigits {
		return false
	}
	for i := range len(id) {
		if !isHexDigit(id[i]) {
			return false
		}
	}
	return true
}

// isHexDigit reports whether c is a hexadecimal digit, in upper or lower case.
func isHexDigit(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'f' || 'A' <= c && c <= 'F'
}

// parseSpec parses and validates the body of a submission. It ignores unknown fields. Its error is of kind Invalid.
func parseSpec(body []byte) (*protocol.JobSpec, error) {
	spec := new(protocol.JobSpec)
	if err := json.Unmarshal(body, spec); err != nil {
		return nil, failure.Newf(failure.Invalid, "the body is not a job in JSON: %v", err)
	}
	if err := checkSpec(spec); err != nil {
		return nil, err
	}
	return spec, nil
}

// checkSpec returns an error of kind Invalid if the job exceeds a limit or has an impossible value.
func checkSpec(spec *protocol.JobSpec) error {
	switch {
	case len(spec.Spec) > maxSpecBytes:
		return failure.Newf(failure.Invalid, "spec has %d bytes, the limit is %d", len(spec.Spec), maxSpecBytes)
	case len(spec.Steps) == 0:
		return failure.New(failure.Invalid, "steps is empty, a job needs at least one")
	case len(spec.Steps) > maxSteps:
		return failure.Newf(failure.Invalid, "steps has %d items, the limit is %d", len(spec.Steps), maxSteps)
	case spec.Repetitions < 0 || spec.IntervalMs < 0 || spec.FirstRunMs < 0:
		return failure.New(failure.Invalid, "repetitions, firstRunMs and intervalMs must not be negative")
	}
	for index := range spec.Steps {
		if err := checkStep(&spec.Steps[index], index); err != nil {
			return err
		}
	}
	return nil
}

// checkStep does the same for the step of that index.
func checkStep(step *protocol.Step, index int) error {
	if step.Count < 1 || step.Count > maxTasks {
		return failure.Newf(failure.Invalid, "steps[%d].count is %d, allowed is 1 to %d", index, step.Count, maxTasks)
	}
	if step.CPU < 0 || step.MemoryMB < 0 || step.GPU < 0 || step.EstimatedMs < 0 || step.AntiAffinity < 0 {
		return failure.Newf(failure.Invalid, "steps[%d]: cpu, memoryLimitMb, gpu, estimatedMs and antiAffinity must not be negative", index)
	}
	for _, earlier := range step.DependsOn {
		if earlier < 0 || earlier >= index {
			return failure.Newf(failure.Invalid, "steps[%d].dependsOn has %d, which is not the index of an earlier step", index, earlier)
		}
	}
	return nil
}
