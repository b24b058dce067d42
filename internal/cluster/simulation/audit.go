package simulation

import (
	"fmt"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Rule is the name of one of the scheduler's rules. The users' bench uses the same names.
type Rule string

// The scheduler's rules. Some hold only for undisturbed machines or in fault-free spans; Bounds defines both terms. The
// check of each rule says which.
const (
	// RuleLimit: no start exceeds a runner's capacity, unless the runner itself rejects runs that do not fit.
	RuleLimit Rule = "LIMIT"
	// RuleTwice: no two runs of a task overlap, and no run starts after another has ended done. For steps with AtMostOnce,
	// two runs may overlap, and a start soon after the end is allowed.
	RuleTwice Rule = "TWICE"
	// RuleOrder: no task starts before the steps that its step depends on are done, nor before its repetition is due.
	RuleOrder Rule = "ORDER"
	// RuleRoute: a task runs only on runners of its queue's service that have the label which its step requires. No runner
	// runs more tasks of one step than the step's antiAffinity allows.
	RuleRoute Rule = "ROUTE"
	// RuleBudget: no task starts again once it has failed as often as its route allows.
	RuleBudget Rule = "BUDGET"
	// RuleGang: all members of a gang start before the first member stops waiting, and from the same checkpoint.
	RuleGang Rule = "GANG"
	// RuleUnasked: every run belongs to a task that a client submitted, and none starts or continues long after the job's
	// cancel.
	RuleUnasked Rule = "UNASKED"
	// RuleRefused: a job never runs if every submission of it was rejected.
	RuleRefused Rule = "REFUSED"
	// RuleDrain: no run starts on a runner later than Bounds.Drain after the runner's `draining` was acknowledged.
	RuleDrain Rule = "DRAIN"
	// RuleMixed: a job is shown as completed only when all its tasks have ended done, and no unknown state is shown.
	RuleMixed Rule = "MIXED"
	// RuleLost: an accepted job stays known and does not stall, and it is shown as failed or cancelled only if it is. After
	// a final fault the acknowledged configuration is still there.
	RuleLost Rule = "LOST"
	// RuleConfig: the configuration is the newest acknowledged version, and machines follow it in time.
	RuleConfig Rule = "CONFIG"
	// RuleRecover: submissions are accepted again after a final fault, and a service that has lost most of its runners still
	// completes its urgent jobs in time.
	RuleRecover Rule = "RECOVER"
	// RuleAcks: the operator's valid changes are acknowledged in time. The users' bench fails a scenario that breaks it.
	RuleAcks Rule = "ACKS"
	// RuleDuty: an agent soon stops calling a runner with a fencing token that the runner has refused.
	RuleDuty Rule = "DUTY"
)

// Violation is one event of a history that breaks a rule.
type Violation struct {
	Rule Rule
	At   time.Duration // when the rule was broken
	What string        // the observation, its job, run or machine, and the bound that it breaks
}

// String returns the violation as one line.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.What) }

// auditor checks a history against the rules. The history is its only source. It indexes the runs, each list in the order
// of the starts.
type auditor struct {
	*History
	found      []Violation
	byTask     map[TaskName][]*Run
	byStep     map[stepName][]*Run
	byRunner   map[*RunnerIncarnation][]*Run
	byJob      map[string][]*Run
	clocksStep bool                   // some fault of the history steps a clock
	candidates []*ConfigurationRecord // the cached result of possiblyInForce
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

// violated records a violation of a rule at a time.
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

// isUndisturbed reports whether a machine is undisturbed at a time, so that it must be connected to the control processes:
// no fault of the machine or of the control plane is on then, and none ended within Bounds.Contact before.
func (a *auditor) isUndisturbed(machine string, at time.Duration) bool {
	return !a.anyFault(at-a.Bounds.Contact, at, func(f *Fault) bool {
		return f.ControlPlane || slices.Contains(f.Machines, machine)
	})
}

// isFaultFree reports whether a span is fault-free: no fault is on during the span or within Bounds.Contact before it, apart
// from the exempt faults.
func (a *auditor) isFaultFree(from, to time.Duration, exempt func(f *Fault) bool) bool {
	return !a.anyFault(from-a.Bounds.Contact, to, func(f *Fault) bool { return !exempt(f) })
}

// anyFault reports whether a fault is on at some time of a span, the ends included. It considers only faults for which
// counts returns true.
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

// possiblyInForce returns the changes that may have taken effect at some time: all valid changes that were not rejected. It
// includes unanswered changes, because a lost response leaves their outcome open.
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

// rejected reports whether the change was never acknowledged and the operator received a final rejection.
func (r *ConfigurationRecord) rejected() bool {
	if r.Acknowledged != Never {
		return false
	}
	return slices.ContainsFunc(r.Attempts, func(t Attempt) bool {
		return t.isAnswered() && !t.ReplyLost && isFinalRejection(t.Status)
	})
}

// failureBudget returns how many runs of one task in a queue may end `failed`: the highest and the lowest number that any
// configuration of the history sets. 0 means any number, and also that no configuration has the queue.
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
