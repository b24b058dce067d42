package simulation

import (
	"fmt"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Rule is the name of one of the scheduler's rules, as the users' bench has it.
type Rule string

// The scheduler's rules. What is said of machines in touch with the control processes, or of a calm, holds only if no fault
// is near, see Bounds.
const (
	// RuleLimit: no runner is brought over its capacity, unless it enforces that itself.
	RuleLimit Rule = "LIMIT"
	// RuleTwice: a task runs once at a time, and not again after it has ended done.
	RuleTwice Rule = "TWICE"
	// RuleOrder: no task starts before the steps that its step depends on are done, or before it is due.
	RuleOrder Rule = "ORDER"
	// RuleRoute: a task runs on runners of its queue's service that have the required label, within antiAffinity.
	RuleRoute Rule = "ROUTE"
	// RuleBudget: no task starts again once it has failed as often as its route allows.
	RuleBudget Rule = "BUDGET"
	// RuleGang: the members of a gang start together, and from the same checkpoint.
	RuleGang Rule = "GANG"
	// RuleUnasked: nothing runs that no client submitted, or long after it was cancelled.
	RuleUnasked Rule = "UNASKED"
	// RuleRefused: a job of which every submission was rejected never runs.
	RuleRefused Rule = "REFUSED"
	// RuleDrain: nothing starts on a runner long after its `draining` was acknowledged.
	RuleDrain Rule = "DRAIN"
	// RuleMixed: a job is shown as completed only when all its tasks have ended done.
	RuleMixed Rule = "MIXED"
	// RuleLost: an accepted job stays known and is not stalled, and what is shown of it has a cause.
	RuleLost Rule = "LOST"
	// RuleConfig: the configuration is what the operator was told, and is followed in time.
	RuleConfig Rule = "CONFIG"
	// RuleRecover: after a final fault, submissions are accepted again.
	RuleRecover Rule = "RECOVER"
	// RuleAcks is the bench's gate: valid changes are acknowledged in time.
	RuleAcks Rule = "ACKS"
	// RuleDuty: a machine does not go on calling a runner with a fencing token that the runner has refused.
	RuleDuty Rule = "DUTY"
)

// Violation is a place where a history breaks a rule.
type Violation struct {
	Rule Rule
	At   time.Duration
	What string
}

// String returns the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.What) }

// auditor checks a history against the rules. It knows nothing but the history.
type auditor struct {
	*History
	found      []Violation
	byTask     map[TaskName][]*Run
	byStep     map[stepName][]*Run
	byRunner   map[*RunnerIncarnation][]*Run
	byJob      map[string][]*Run
	clocksStep bool
	candidates []*ConfigurationRecord // see possiblyInForce
}

// Audit returns the violations of the rules in a history, in the order of their times.
func Audit(history *History) []Violation {
	a := &auditor{History: history, byTask: map[TaskName][]*Run{}, byStep: map[stepName][]*Run{},
		byRunner: map[*RunnerIncarnation][]*Run{}, byJob: map[string][]*Run{}}
	for _, run := range history.Runs {
		a.byTask[run.Task] = append(a.byTask[run.Task], run)
		a.byStep[run.Task.step()] = append(a.byStep[run.Task.step()], run)
		a.byRunner[run.Runner] = append(a.byRunner[run.Runner], run)
		a.byJob[run.Task.Job] = append(a.byJob[run.Task.Job], run)
	}
	a.clocksStep = slices.ContainsFunc(history.Faults, func(f Fault) bool { return f.Clock })
	for _, run := range history.Runs {
		a.checkRun(run)
	}
	for _, job := range history.JobOrder {
		a.checkJob(job)
	}
	a.checkConfiguration()
	a.checkRecovery()
	a.checkOverload()
	a.checkRefusedCalls()
	slices.SortStableFunc(a.found, func(x, y Violation) int { return int(x.At - y.At) })
	return a.found
}

// violated records a violation.
func (a *auditor) violated(rule Rule, at time.Duration, format string, args ...any) {
	a.found = append(a.found, Violation{Rule: rule, At: at, What: fmt.Sprintf(format, args...)})
}

// stepOf returns the job and the step of a task, or nil if no client submitted it.
func (a *auditor) stepOf(task TaskName) (*JobRecord, *protocol.Step) {
	job := a.Jobs[task.Job]
	if job == nil || task.Step >= len(job.Spec.Steps) || task.Repetition >= max(1, job.Spec.Repetitions) {
		return nil, nil
	}
	step := &job.Spec.Steps[task.Step]
	if task.Index >= step.Count {
		return nil, nil
	}
	return job, step
}

// isInTouch reports whether a machine is in touch with the control processes at a time: no fault of the machine or the
// control plane is near.
func (a *auditor) isInTouch(machine string, at time.Duration) bool {
	return !a.anyFault(at-a.Bounds.Contact, at, func(f *Fault) bool {
		return f.ControlPlane || slices.Contains(f.Machines, machine)
	})
}

// isCalm reports whether no fault is near a span, apart from those that are exempt.
func (a *auditor) isCalm(from, to time.Duration, exempt func(f *Fault) bool) bool {
	return !a.anyFault(from-a.Bounds.Contact, to, func(f *Fault) bool { return !exempt(f) })
}

// anyFault reports whether a fault that counts is on at some time of a span.
func (a *auditor) anyFault(from, to time.Duration, counts func(f *Fault) bool) bool {
	for i := range a.Faults {
		f := &a.Faults[i]
		if f.From <= to && f.To >= from && counts(f) {
			return true
		}
	}
	return false
}

func isPlanned(f *Fault) bool { return f.Planned }

func isPlannedOrRunnersLeave(f *Fault) bool { return f.Planned || f.RunnersLeave }

// possiblyInForce returns the configurations that may have been in force at some time: valid, and not rejected.
func (a *auditor) possiblyInForce() []*ConfigurationRecord {
	if a.candidates != nil {
		return a.candidates
	}
	for _, record := range a.Configuration {
		if !record.Invalid && !record.rejected() {
			a.candidates = append(a.candidates, record)
		}
	}
	return a.candidates
}

// rejected reports whether the operator saw a final rejection of a change that was never acknowledged.
func (r *ConfigurationRecord) rejected() bool {
	if r.Acknowledged != Never {
		return false
	}
	return slices.ContainsFunc(r.Attempts, func(t Attempt) bool {
		return t.isAnswered() && !t.ReplyLost && isFinalRejection(t.Status)
	})
}

// failureBudget returns how many ends `failed` the tasks of a queue may have, by the configuration that allows most and by
// the one that allows fewest; 0 is any number.
func (a *auditor) failureBudget(queue QueueName) (highest, lowest int) {
	seen := false
	for _, record := range a.Configuration {
		route, ok := record.Routes[queue]
		if !ok {
			continue
		}
		budget := route.MaxAttempts
		if !seen {
			highest, lowest, seen = budget, budget, true
			continue
		}
		if budget == 0 || highest == 0 {
			highest = 0
		} else {
			highest = max(highest, budget)
		}
		if budget > 0 && (lowest == 0 || budget < lowest) {
			lowest = budget
		}
	}
	return highest, lowest
}
