package agent

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// runnerClockShare is less than what a runner's clock goes forward in a second of ours; it may be 2% slow.
const runnerClockShare = 0.97

// picture is what is known of a runner between two looks: what the newest look showed, and what was started since.
// Looks are priced, so that there are fewer of them than exchanges with the owner.
type picture struct {
	seen    *look
	started map[runName]int64 // runs started and not shown by a look yet: the runner's clock when they were

	clockMs int64     // the newest word of the runner's clock
	clockAt time.Time // when that came
}

func newPicture() *picture {
	return &picture{seen: new(look), started: make(map[runName]int64)}
}

// look takes what a look shows. A run that was started after it stays in the picture.
func (p *picture) look(seen *look, now time.Time) {
	p.seen = seen
	p.hear(seen.clockMs, now)
	for run, startedMs := range p.started {
		if seen.clockMs > startedMs {
			delete(p.started, run)
		}
	}
	for i := range seen.active {
		delete(p.started, runName{seen.active[i].Task, seen.active[i].Run})
	}
	for i := range seen.finished {
		delete(p.started, runName{seen.finished[i].Task, seen.finished[i].Run})
	}
}

// start takes that a run was started.
func (p *picture) start(run runName, clockMs int64, now time.Time) {
	p.started[run] = clockMs
	p.hear(clockMs, now)
}

// hear takes the runner's clock from an answer.
func (p *picture) hear(clockMs int64, now time.Time) {
	if clockMs >= p.clockMs {
		p.clockMs = clockMs
		p.clockAt = now
	}
}

// clock returns a time, in ms, that the runner's clock has certainly reached.
func (p *picture) clock(now time.Time) int64 {
	since := float64(now.Sub(p.clockAt)) * runnerClockShare
	return p.clockMs + time.Duration(since).Milliseconds()
}

// has tells whether a run was started, or is shown as active or as ended by the newest look.
func (p *picture) has(run runName) bool {
	if _, started := p.started[run]; started {
		return true
	}
	isActive := func(row protocol.ActiveRun) bool { return runName{row.Task, row.Run} == run }
	isFinished := func(row protocol.FinishedRun) bool { return runName{row.Task, row.Run} == run }
	return slices.ContainsFunc(p.seen.active, isActive) || slices.ContainsFunc(p.seen.finished, isFinished)
}

// active returns a new list of what runs.
func (p *picture) active() []protocol.ActiveRun {
	rows := make([]protocol.ActiveRun, 0, len(p.seen.active)+len(p.started))
	rows = append(rows, p.seen.active...)
	for _, run := range inOrder(p.started) {
		rows = append(rows, protocol.ActiveRun{Task: run.task, Run: run.run})
	}
	return rows
}

// news returns a new list of the ends after lastSeen.
func (p *picture) news(lastSeen uint64) []protocol.FinishedRun {
	var rows []protocol.FinishedRun
	for i := range p.seen.finished {
		if p.seen.finished[i].N > lastSeen {
			rows = append(rows, p.seen.finished[i])
		}
	}
	return rows
}

// acknowledged tells whether lastSeen covers all ends of the newest look.
func (p *picture) acknowledged(lastSeen uint64) bool {
	for i := range p.seen.finished {
		if p.seen.finished[i].N > lastSeen {
			return false
		}
	}
	return true
}
