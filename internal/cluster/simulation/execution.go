package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// execution is one run that exists on a runner.
type execution struct {
	runner          *Runner
	record          *Run
	step            *stepTruth // nil: a task that nobody sent
	task            *taskTruth
	isStopping      bool
	isWorking       bool
	isHung          bool
	willFail        bool // ends failed at failsAtMs
	totalMs         float64
	failsAtMs       float64 // work in ms at which it fails
	doneMs          float64 // work in ms as of since
	doneAsOf        time.Duration
	rate            float64 // ms of work a ms
	workStarted     time.Duration
	checkpointsMade int    // checkpoints made
	checkpoint      string // newest checkpoint of this run, or what it began from
	endTimer        *Timer
	stopTimer       *Timer
	gangTimer       *Timer // gang: until it ends alone
}

const milliseconds = float64(time.Millisecond)

// advance brings the work done up to now.
func (e *execution) advance(now time.Duration) {
	if e.isWorking {
		if from := max(e.doneAsOf, e.workStarted); now > from {
			e.doneMs = min(e.totalMs, e.doneMs+float64(now-from)/milliseconds*e.rate)
		}
	}
	e.doneAsOf = now
}

// updateCheckpoint renews the checkpoint for each save interval of work that has passed.
func (e *execution) updateCheckpoint(now time.Duration) {
	if !e.isWorking || e.step == nil || !e.step.spec.Checkpoints || e.isHung {
		return
	}
	every := e.runner.groundTruth.History.Bounds.Save
	saves := int((now - e.workStarted) / every)
	if saves <= e.checkpointsMade {
		return
	}
	e.advance(now)
	e.checkpointsMade = saves
	behind := (now - e.workStarted) - time.Duration(saves)*every
	e.checkpoint = formatCheckpoint(e.record.Task, e.step.spec.Gang, max(0, e.doneMs-float64(behind)/milliseconds*e.rate))
}

// startRun sets an execution to work, at a rate against its nominal one.
func (e *execution) beginWork(far float64) {
	now := e.runner.world.now
	e.gangTimer.Stop()
	e.isWorking = true
	e.workStarted = now
	e.doneAsOf = now
	if e.record.Checkpoint != "" {
		e.workStarted += e.runner.groundTruth.History.Bounds.Restore
	}
	e.rate = e.runner.speed() / far
	if e.isHung {
		e.rate = 0
	}
	e.armEndTimer()
}

// armEndTimer sets the timer for the work's end.
func (e *execution) armEndTimer() {
	e.endTimer.Stop()
	goal := e.totalMs
	if e.willFail {
		goal = min(goal, e.failsAtMs)
	}
	if !e.isWorking || e.rate <= 0 || e.isGang() && !e.willFail && !e.isGangLeader() {
		return
	}
	now := e.runner.world.now
	left := time.Duration((goal - e.doneMs) / e.rate * milliseconds)
	e.endTimer = e.runner.world.At(max(now, e.workStarted)+max(0, left), func() { e.finishWork() })
}

func (e *execution) isGang() bool { return e.step != nil && e.step.spec.Gang }

// isGangLeader tells whether this member's timer ends the gang's work for all.
func (e *execution) isGangLeader() bool {
	members := e.step.members[e.record.Number]
	return len(members) > 0 && members[0] == e
}

// finishWork is called when the work is done, or fails.
func (e *execution) finishWork() {
	if e.willFail {
		e.runner.endRun(e, protocol.EndFailed)
		return
	}
	if e.isGang() {
		e.runner.groundTruth.completeGang(e.step, e.record.Number)
		return
	}
	e.runner.endRun(e, protocol.EndDone)
}

// scaleSpeed is called when the runner turns slow or well again.
func (e *execution) scaleSpeed(factor float64) {
	if !e.isWorking || e.isHung {
		return
	}
	e.updateCheckpoint(e.runner.world.now)
	e.advance(e.runner.world.now)
	e.rate *= factor
	e.armEndTimer()
}

// percent is how far the task is, as it is listed.
func (e *execution) percent(now time.Duration) float64 {
	e.advance(now)
	if e.step == nil || e.step.spec.LongRunning || e.totalMs <= 0 {
		return 0
	}
	return float64(int(e.doneMs / e.totalMs * 100))
}

// stopTimers stops all timers.
func (e *execution) stopTimers() {
	e.endTimer.Stop()
	e.stopTimer.Stop()
	e.gangTimer.Stop()
}
