package simulation

import (
	"fmt"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Names of the rules.
const (
	RuleLimit   = "LIMIT"
	RuleTwice   = "TWICE"
	RuleOrder   = "ORDER"
	RuleRoute   = "ROUTE"
	RuleBudget  = "BUDGET"
	RuleGang    = "GANG"
	RuleUnasked = "UNASKED"
	RuleRefused = "REFUSED"
	RuleDrain   = "DRAIN"
	RuleMixed   = "MIXED"
	RuleLost    = "LOST"
	RuleConfig  = "CONFIG"
	RuleRecover = "RECOVER"
	RuleAcks    = "ACKS" // the gate's, on orders of the operator
)

// Violation is one broken rule.
type Violation struct {
	Rule string
	At   time.Duration
	What string
}

// String returns the violation in one line.
func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.What) }

// auditor holds a ledger against the rules. It goes by the ledger alone.
type auditor struct {
	*History
	found      []Violation
	byTask     map[TaskName][]*Run
	byStep     map[stepName][]*Run
	byRunner   map[*RunnerIncarnation][]*Run
	byJob      map[string][]*Run
	clocksJump bool
	candidates []*ConfigurationRecord // that may be or have been
}

// Audit returns the rules that a ledger breaks, in order of time.
func Audit(ledger *History) []Violation {
	a := &auditor{History: ledger, byTask: map[TaskName][]*Run{}, byStep: map[stepName][]*Run{},
		byRunner: map[*RunnerIncarnation][]*Run{}, byJob: map[string][]*Run{}}
	for _, run := range ledger.Runs {
		a.byTask[run.Task] = append(a.byTask[run.Task], run)
		a.byStep[run.Task.step()] = append(a.byStep[run.Task.step()], run)
		a.byRunner[run.Runner] = append(a.byRunner[run.Runner], run)
		a.byJob[run.Task.Job] = append(a.byJob[run.Task.Job], run)
	}
	for _, t := range ledger.Faults {
		a.clocksJump = a.clocksJump || t.Clock
	}
	for _, run := range ledger.Runs {
		a.checkRun(run)
	}
	for _, job := range ledger.JobOrder {
		a.checkJob(job)
	}
	a.checkConfiguration()
	a.checkRecovery()
	slices.SortStableFunc(a.found, func(x, y Violation) int { return int(x.At - y.At) })
	return a.found
}

func (a *auditor) violated(rule string, at time.Duration, format string, args ...any) {
	a.found = append(a.found, Violation{Rule: rule, At: at, What: fmt.Sprintf(format, args...)})
}

// checkRun holds one start against the rules on starts.
func (a *auditor) checkRun(run *Run) {
	job, step := a.stepOf(run.Task)
	if step == nil {
		a.violated(RuleUnasked, run.Started, "%s started on %s, nobody sent it", run.TaskText, run.Runner.Instance)
		return
	}
	a.checkSubmitted(run, job, step)
	a.checkLimit(run, step)
	a.checkTwice(run, job, step)
	a.checkOrder(run, job, step)
	a.checkRoute(run, job, step)
	a.checkBudget(run, job, step)
	a.checkGang(run, job, step)
	a.checkCancelled(run, job)
	a.checkDrain(run)
}

// stepOf returns the job and the step of a task, or nil if no client sent it.
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

// isInTouch tells whether a machine is in touch: no trouble of its own or of the core lately.
func (a *auditor) isInTouch(machine string, at time.Duration) bool {
	return !a.anyFault(at-a.Bounds.Contact, at, func(t *Fault) bool {
		return t.ControlPlane || slices.Contains(t.Machines, machine)
	})
}

// isCalm tells whether no trouble was near a span, but for kinds that are let pass.
func (a *auditor) isCalm(from, to time.Duration, pass func(t *Fault) bool) bool {
	return !a.anyFault(from-a.Bounds.Contact, to, func(t *Fault) bool { return !pass(t) })
}

func (a *auditor) anyFault(from, to time.Duration, counts func(t *Fault) bool) bool {
	for i := range a.Faults {
		t := &a.Faults[i]
		if t.From <= to && t.To >= from && counts(t) {
			return true
		}
	}
	return false
}

func planned(t *Fault) bool { return t.Planned }

func plannedOrLeaving(t *Fault) bool { return t.Planned || t.RunnersLeave }

// possiblyInForce are the configurations that may have been in force at some time: valid, and not refused.
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

// rejected tells whether the order's last clear answer was a refusal, and it was never acknowledged.
func (r *ConfigurationRecord) rejected() bool {
	if r.Acknowledged != Never {
		return false
	}
	return slices.ContainsFunc(r.Attempts, func(t Attempt) bool { return t.Answered != Never && !t.ReplyLost && rejection(t.Status) })
}

// rejection tells whether a status ends an operator's call.
func rejection(status int) bool {
	return status >= 400 && status < 500 && status != 408 && status != 429
}

// failureBudget returns how many ends `failed` a queue's tasks may have, by the most and the least generous configuration; 0
// is no bound.
func (a *auditor) failureBudget(queue QueueName) (most, least int) {
	seen := false
	for _, record := range a.Configuration {
		route, ok := record.Routes[queue]
		if !ok {
			continue
		}
		bound := route.MaxAttempts
		if !seen {
			most, least, seen = bound, bound, true
			continue
		}
		if bound == 0 || most == 0 {
			most = 0
		} else {
			most = max(most, bound)
		}
		if bound > 0 && (least == 0 || bound < least) {
			least = bound
		}
	}
	return most, least
}
