package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// execution is a run that is active on a runner. Amounts of work are in ms that they take on a runner of speed 1.
type execution struct {
	runner          *Runner
	record          *Run
	step            *stepTruth // step and task are nil if no client submitted the task
	task            *taskTruth
	isStopping      bool
	isWorking       bool // its work has begun; false while a gang's member waits for the other members
	isHung          bool // it makes no progress
	willFail        bool // it fails once failsAtMs of work are done
	totalMs         float64
	failsAtMs       float64
	doneMs          float64 // work done until doneAsOf
	doneAsOf        time.Duration
	rate            float64       // ms of work done per ms
	workStarted     time.Duration // including the restore from a checkpoint, so that it may lie ahead
	checkpointsMade int
	checkpoint      string // the newest checkpoint that this run made, or else the checkpoint that it started from
	endTimer        *Timer
	stopTimer       *Timer
	gangTimer       *Timer // ends a gang's member that waits for the other members
}

const milliseconds = float64(time.Millisecond)

// isGang reports whether the run is a member of a gang.
func (e *execution) isGang() bool { return e.step != nil && e.step.spec.Gang }

// isGangLeader reports whether this member's timer completes the gang.
func (e *execution) isGangLeader() bool {
	members := e.step.members[e.record.Number]
	return len(members) > 0 && members[0] == e
}

// makesCheckpoints reports whether the run saves checkpoints at present.
func (e *execution) makesCheckpoints() bool {
	return e.isWorking && e.step != nil && e.step.spec.Checkpoints && !e.isHung
}

// advance adds the work that was done since doneAsOf to doneMs.
func (e *execution) advance(now time.Duration) {
	if e.isWorking {
		if from := max(e.doneAsOf, e.workStarted); now > from {
			e.doneMs = min(e.totalMs, e.doneMs+float64(now-from)/milliseconds*e.rate)
		}
	}
	e.doneAsOf = now
}

// updateCheckpoint replaces the checkpoint by the newest that was due by now. One is due every Bounds.Save since the work
// began, and records the work that was done at that time.
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

// beginWork begins the work, at the runner's speed divided by slowdown. From a checkpoint it begins Bounds.Restore later.
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

// armEndTimer sets the timer for the time at which the work is done or fails. Members of a gang have the same work and
// speed: only the leader's timer completes the gang, and a member's own timer is set only if the member will fail.
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

// finishWork ends the run, or its whole gang, when its work is done, or ends the run failed.
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

// scaleSpeed multiplies the rate of the work by a factor from now on.
func (e *execution) scaleSpeed(factor float64) {
	if !e.isWorking || e.isHung {
		return
	}
	e.updateCheckpoint(e.runner.world.now)
	e.advance(e.runner.world.now)
	e.rate *= factor
	e.armEndTimer()
}

// percent returns the percentage of the work that is done, as the runner reports it: 0 for long-running tasks.
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
