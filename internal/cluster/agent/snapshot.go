package agent

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// minRunnerClockRate is less than what a runner's clock advances in a second of ours; it may be 2% slow.
const minRunnerClockRate = 0.97

// runnerSnapshot is what is known of a runner between two polls: what the newest poll showed, and what was started since.
type runnerSnapshot struct {
	polled  *pollResponse
	started map[runName]int64 // runs that no poll has shown yet: the runner's clock when they were started

	clockMs int64     // newest reading of the runner's clock
	clockAt time.Time // when it arrived
}

func newRunnerSnapshot() *runnerSnapshot {
	return &runnerSnapshot{polled: new(pollResponse), started: make(map[runName]int64)}
}

// update takes over the response to a poll. A run that was started after the response was composed is kept.
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

// addStarted records that a run was started, by the runner's clock in the response.
func (s *runnerSnapshot) addStarted(run runName, clockMs int64, now time.Time) {
	s.started[run] = clockMs
	s.observeClock(clockMs, now)
}

// observeClock takes over a reading of the runner's clock, unless a later one is known.
func (s *runnerSnapshot) observeClock(clockMs int64, now time.Time) {
	if clockMs >= s.clockMs {
		s.clockMs = clockMs
		s.clockAt = now
	}
}

// clock returns a time, in ms, that the runner's clock has certainly reached.
func (s *runnerSnapshot) clock(now time.Time) int64 {
	elapsed := float64(now.Sub(s.clockAt)) * minRunnerClockRate
	return s.clockMs + time.Duration(elapsed).Milliseconds()
}

// has reports whether a run was started, or was listed as active or finished by the newest poll.
func (s *runnerSnapshot) has(run runName) bool {
	if _, started := s.started[run]; started {
		return true
	}
	isActive := func(row protocol.ActiveRun) bool { return runName{row.Task, row.Run} == run }
	isFinished := func(row protocol.FinishedRun) bool { return runName{row.Task, row.Run} == run }
	return slices.ContainsFunc(s.polled.active, isActive) || slices.ContainsFunc(s.polled.finished, isFinished)
}

// active returns a new slice of the runs that are active.
func (s *runnerSnapshot) active() []protocol.ActiveRun {
	rows := make([]protocol.ActiveRun, 0, len(s.polled.active)+len(s.started))
	rows = append(rows, s.polled.active...)
	for _, run := range sortedRuns(s.started) {
		rows = append(rows, protocol.ActiveRun{Task: run.task, Run: run.run})
	}
	return rows
}

// endsAfter returns a new slice of the ends whose numbers are above lastSeen.
func (s *runnerSnapshot) endsAfter(lastSeen uint64) []protocol.FinishedRun {
	var rows []protocol.FinishedRun
	for i := range s.polled.finished {
		if s.polled.finished[i].N > lastSeen {
			rows = append(rows, s.polled.finished[i])
		}
	}
	return rows
}

// allAcknowledged reports whether no end of the newest poll has a number above lastSeen.
func (s *runnerSnapshot) allAcknowledged(lastSeen uint64) bool {
	for i := range s.polled.finished {
		if s.polled.finished[i].N > lastSeen {
			return false
		}
	}
	return true
}
