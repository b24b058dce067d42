package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// execution is a run that exists on a runner. Work is measured in ms on a runner of speed 1.
type execution struct {
	runner          *Runner
	record          *Run
	step            *stepTruth // nil, as is task, if no client submitted the task
	task            *taskTruth
	isStopping      bool
	isWorking       bool // not while a gang's member waits for the others
	isHung          bool // it never gets on
	willFail        bool // at failsAtMs
	totalMs         float64
	failsAtMs       float64
	doneMs          float64 // at doneAsOf
	doneAsOf        time.Duration
	rate            float64 // ms of work done per ms
	workStarted     time.Duration
	checkpointsMade int
	checkpoint      string // the newest of this run, or what it started from
	endTimer        *Timer
	stopTimer       *Timer
	gangTimer       *Timer // ends a gang's member that waits for the others
}

const milliseconds = float64(time.Millisecond)

// isGang reports whether the run is a member of a gang.
func (e *execution) isGang() bool { return e.step != nil && e.step.spec.Gang }

// isGangLeader reports whether this member's timer completes the gang.
func (e *execution) isGangLeader() bool {
	members := e.step.members[e.record.Number]
	return len(members) > 0 && members[0] == e
}

// makesCheckpoints reports whether the run makes checkpoints of its work now.
func (e *execution) makesCheckpoints() bool {
	return e.isWorking && e.step != nil && e.step.spec.Checkpoints && !e.isHung
}

// advance brings doneMs up to date.
func (e *execution) advance(now time.Duration) {
	if e.isWorking {
		if from := max(e.doneAsOf, e.workStarted); now > from {
			e.doneMs = min(e.totalMs, e.doneMs+float64(now-from)/milliseconds*e.rate)
		}
	}
	e.doneAsOf = now
}

// updateCheckpoint replaces the checkpoint by the newest that has fallen due since the work began.
func (e *execution) updateCheckpoint(now time.Duration) {
	if !e.makesCheckpoints() {
		return
	}
	interval := e.runner.bounds().Save
	due := int((now - e.workStarted) / interval)
	if due <= e.checkpointsMade {
		return
	}
	e.advance(now)
	e.checkpointsMade = due
	sinceDue := (now - e.workStarted) - time.Duration(due)*interval
	e.checkpoint = formatCheckpoint(e.record.Task, e.step.spec.Gang, max(0, e.doneMs-float64(sinceDue)/milliseconds*e.rate))
}

// beginWork starts the work, slowdown times as slow as the runner is.
func (e *execution) beginWork(slowdown float64) {
	now := e.runner.world.now
	e.gangTimer.Stop()
	e.isWorking = true
	e.workStarted = now
	e.doneAsOf = now
	if e.record.Checkpoint != "" {
		e.workStarted += e.runner.bounds().Restore
	}
	e.rate = e.runner.speed() / slowdown
	if e.isHung {
		e.rate = 0
	}
	e.armEndTimer()
}

// armEndTimer sets the timer for the time at which the work is done or fails. Of a gang, the leader's timer completes it.
func (e *execution) armEndTimer() {
	e.endTimer.Stop()
	goalMs := e.totalMs
	if e.willFail {
		goalMs = min(goalMs, e.failsAtMs)
	}
	if !e.isWorking || e.rate <= 0 || e.isGang() && !e.willFail && !e.isGangLeader() {
		return
	}
	now := e.runner.world.now
	left := time.Duration((goalMs - e.doneMs) / e.rate * milliseconds)
	e.endTimer = e.runner.world.At(max(now, e.workStarted)+max(0, left), e.finishWork)
}

// finishWork ends the run because its work is done or fails.
func (e *execution) finishWork() {
	switch {
	case e.willFail:
		e.runner.endRun(e, protocol.EndFailed)
	case e.isGang():
		e.runner.groundTruth.completeGang(e.step, e.record.Number)
	default:
		e.runner.endRun(e, protocol.EndDone)
	}
}

// scaleSpeed changes the rate of the work by a factor from now on.
func (e *execution) scaleSpeed(factor float64) {
	if !e.isWorking || e.isHung {
		return
	}
	e.updateCheckpoint(e.runner.world.now)
	e.advance(e.runner.world.now)
	e.rate *= factor
	e.armEndTimer()
}

// percent returns how much of the work is done, as the runner reports it.
func (e *execution) percent(now time.Duration) float64 {
	e.advance(now)
	if e.step == nil || e.step.spec.LongRunning || e.totalMs <= 0 {
		return 0
	}
	return float64(int(e.doneMs / e.totalMs * 100))
}

func (e *execution) stopTimers() {
	e.endTimer.Stop()
	e.stopTimer.Stop()
	e.gangTimer.Stop()
}
