package simulation

import (
	"time"

	"ospreypond/internal/cluster/protocol"
)

// execution is one run that exists on a runner.
type execution struct {
	runner   *Runner
	record   *Run
	group    *groupTruth // nil: a task that nobody sent
	task     *taskTruth
	stopping bool
	working  bool
	hangs    bool
	fails    bool // ends failed at failAt
	total    float64
	failAt   float64 // work in ms at which it fails
	done     float64 // work in ms as of since
	since    time.Duration
	rate     float64 // ms of work a ms
	begun    time.Duration
	saves    int    // checkpoints made
	saved    string // newest checkpoint of this run, or what it began from
	timer    *Timer
	stopAt   *Timer
	waiting  *Timer // gang: until it ends alone
}

const milliseconds = float64(time.Millisecond)

// settle brings the work done up to now.
func (e *execution) settle(now time.Duration) {
	if e.working {
		if from := max(e.since, e.begun); now > from {
			e.done = min(e.total, e.done+float64(now-from)/milliseconds*e.rate)
		}
	}
	e.since = now
}

// refreshSaved renews the checkpoint for each save interval of work that has passed.
func (e *execution) refreshSaved(now time.Duration) {
	if !e.working || e.group == nil || !e.group.step.Checkpoints || e.hangs {
		return
	}
	every := e.runner.plant.Ledger.Bounds.Save
	saves := int((now - e.begun) / every)
	if saves <= e.saves {
		return
	}
	e.settle(now)
	e.saves = saves
	behind := (now - e.begun) - time.Duration(saves)*every
	e.saved = checkpointText(e.record.Task, e.group.step.Gang, max(0, e.done-float64(behind)/milliseconds*e.rate))
}

// begin sets an execution to work, at a rate against its nominal one.
func (e *execution) begin(far float64) {
	now := e.runner.world.now
	e.waiting.Stop()
	e.working = true
	e.begun = now
	e.since = now
	if e.record.Saved != "" {
		e.begun += e.runner.plant.Ledger.Bounds.Restore
	}
	e.rate = e.runner.speed() / far
	if e.hangs {
		e.rate = 0
	}
	e.arm()
}

// arm sets the timer for the work's end.
func (e *execution) arm() {
	e.timer.Stop()
	goal := e.total
	if e.fails {
		goal = min(goal, e.failAt)
	}
	if !e.working || e.rate <= 0 || e.isGang() && !e.fails && !e.leadsGang() {
		return
	}
	now := e.runner.world.now
	left := time.Duration((goal - e.done) / e.rate * milliseconds)
	e.timer = e.runner.world.At(max(now, e.begun)+max(0, left), func() { e.reach() })
}

func (e *execution) isGang() bool { return e.group != nil && e.group.step.Gang }

// leadsGang tells whether this member's timer ends the gang's work for all.
func (e *execution) leadsGang() bool {
	members := e.group.members[e.record.Run]
	return len(members) > 0 && members[0] == e
}

// reach is called when the work is done, or fails.
func (e *execution) reach() {
	if e.fails {
		e.runner.end(e, protocol.EndFailed)
		return
	}
	if e.isGang() {
		e.runner.plant.gangDone(e.group, e.record.Run)
		return
	}
	e.runner.end(e, protocol.EndDone)
}

// changeSpeed is called when the runner turns slow or well again.
func (e *execution) changeSpeed(factor float64) {
	if !e.working || e.hangs {
		return
	}
	e.refreshSaved(e.runner.world.now)
	e.settle(e.runner.world.now)
	e.rate *= factor
	e.arm()
}

// percent is how far the task is, as it is listed.
func (e *execution) percent(now time.Duration) float64 {
	e.settle(now)
	if e.group == nil || e.group.step.LongRunning || e.total <= 0 {
		return 0
	}
	return float64(int(e.done / e.total * 100))
}

// forget stops all timers.
func (e *execution) forget() {
	e.timer.Stop()
	e.stopAt.Stop()
	e.waiting.Stop()
}
