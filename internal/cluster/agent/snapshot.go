package agent

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// minRunnerClockRate is a lower bound of how many seconds a runner's clock advances in a second of the agent's clock. A
// runner's clock may be 2% slow.
const minRunnerClockRate = 0.97

// runnerSnapshot is the known state of a runner between two polls: the response to the newest poll, and the runs that were
// started after that poll.
type runnerSnapshot struct {
	polled  *pollResponse
	started map[runName]int64 // started runs that no poll has shown yet, with the runner's clock at the start, in ms

	clockMs int64     // latest reading of the runner's clock, in ms
	clockAt time.Time // when that reading arrived
}

// newRunnerSnapshot returns an empty snapshot, for a runner that has not been polled.
func newRunnerSnapshot() *runnerSnapshot {
	return &runnerSnapshot{polled: new(pollResponse), started: make(map[runName]int64)}
}

// update replaces the response to the newest poll. It forgets a started run if the response shows it, or if the runner
// composed the response after the start: without showing the run, the response says that the run is gone. A start after the
// response was composed is kept.
func (s *runnerSnapshot) update(response *pollResponse, now time.Time) {
	s.polled = response
	s.observeClock(response.clockMs, now)
	for run, startedMs := range s.started {
		if response.clockMs > startedMs {
			delete(s.started, run)
		}
	}
	for i := range response.active {
		delete(s.started, runName{response.active[i].Task, response.active[i].Run})
	}
	for i := range response.finished {
		delete(s.started, runName{response.finished[i].Task, response.finished[i].Run})
	}
}

// addStarted records a run that the runner has started. clockMs is the runner's clock in the response to the start, which
// arrived at now.
func (s *runnerSnapshot) addStarted(run runName, clockMs int64, now time.Time) {
	s.started[run] = clockMs
	s.observeClock(clockMs, now)
}

// observeClock stores a reading of the runner's clock that arrived at now, unless a later reading is stored.
func (s *runnerSnapshot) observeClock(clockMs int64, now time.Time) {
	if clockMs >= s.clockMs {
		s.clockMs = clockMs
		s.clockAt = now
	}
}

// clock returns a time in ms that the runner's clock has certainly reached at now. A lease that begins at that time ends
// on the runner no later than the owner allows.
func (s *runnerSnapshot) clock(now time.Time) int64 {
	elapsed := float64(now.Sub(s.clockAt)) * minRunnerClockRate
	return s.clockMs + time.Duration(elapsed).Milliseconds()
}

// has reports whether a run was started after the newest poll, or is active or finished in that poll's response.
func (s *runnerSnapshot) has(run runName) bool {
	if _, started := s.started[run]; started {
		return true
	}
	isActive := func(row protocol.ActiveRun) bool { return runName{row.Task, row.Run} == run }
	isFinished := func(row protocol.FinishedRun) bool { return runName{row.Task, row.Run} == run }
	return slices.ContainsFunc(s.polled.active, isActive) || slices.ContainsFunc(s.polled.finished, isFinished)
}

// active returns the active runs, in a new slice: the runs of the newest poll and the runs that were started after it.
func (s *runnerSnapshot) active() []protocol.ActiveRun {
	rows := make([]protocol.ActiveRun, 0, len(s.polled.active)+len(s.started))
	rows = append(rows, s.polled.active...)
	for _, run := range sortedRuns(s.started) {
		rows = append(rows, protocol.ActiveRun{Task: run.task, Run: run.run})
	}
	return rows
}

// endsAfter returns the ends in the newest poll that have a FinishedRun.N above lastSeen, in a new slice.
func (s *runnerSnapshot) endsAfter(lastSeen uint64) []protocol.FinishedRun {
	var rows []protocol.FinishedRun
	for i := range s.polled.finished {
		if s.polled.finished[i].N > lastSeen {
			rows = append(rows, s.polled.finished[i])
		}
	}
	return rows
}

// allAcknowledged reports whether the owner has recorded each end in the newest poll: none has a FinishedRun.N above
// lastSeen.
func (s *runnerSnapshot) allAcknowledged(lastSeen uint64) bool {
	for i := range s.polled.finished {
		if s.polled.finished[i].N > lastSeen {
			return false
		}
	}
	return true
}
