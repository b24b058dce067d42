package agent

import (
	"cmp"
	"maps"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// runName identifies one run of a task.
type runName struct {
	task string
	run  uint64 // ActiveRun.Run
}

// sortedRuns returns the keys of a map by task, then by run.
func sortedRuns[V any](runs map[runName]V) []runName {
	return slices.SortedFunc(maps.Keys(runs), func(a, b runName) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.run, b.run))
	})
}

// unconfirmedStart is the known state of a run that the runner may have started.
type unconfirmedStart struct {
	polled    bool  // a poll that ended after the start was sent has not shown the run
	stopped   bool  // the runner has acknowledged a stop of the run: if the run doesn't exist yet, it never will
	stoppedMs int64 // the runner's clock in that acknowledgement, in ms
}

// unconfirmedStarts has the runs that the runner may or may not have started, and the runs that certainly will never start.
// A start is unconfirmed after a connection that broke before the response, after a refusal, and if an
// earlier agent may have sent it. The steps that resolve it:
//
//  1. The run is reported as active, so that the owner keeps its capacity reserved.
//  2. If a poll shows the run, it has started, and it is no longer unconfirmed.
//  3. If a poll doesn't show the run, the runner is called to stop it. The runner then refuses every start of the run.
//  4. If a poll that the runner answered after the stop doesn't show the run either, it will never start. It is reported as
//     rejected, and no longer as active.
type unconfirmedStarts struct {
	byRun    map[runName]*unconfirmedStart
	rejected map[runName]bool // runs that will never start, and that no acknowledged heartbeat has reported
	reported []runName        // the runs of rejected that the heartbeat in flight reports
}

// newUnconfirmedStarts returns an empty collection.
func newUnconfirmedStarts() unconfirmedStarts {
	return unconfirmedStarts{byRun: make(map[runName]*unconfirmedStart), rejected: make(map[runName]bool)}
}

// add records the start of a run that the runner has not acknowledged.
func (u *unconfirmedStarts) add(run runName) { u.byRun[run] = new(unconfirmedStart) }

// addIfUnknown records a run that an earlier agent may have sent a start for, unless the run is recorded already.
func (u *unconfirmedStarts) addIfUnknown(run runName) {
	if u.byRun[run] == nil && !u.rejected[run] {
		u.add(run)
	}
}

// markStopped records that the runner has acknowledged a stop of the run. clockMs is the runner's clock in the
// acknowledgement. Only the first stop counts.
func (u *unconfirmedStarts) markStopped(run runName, clockMs int64) {
	if start := u.byRun[run]; start != nil && !start.stopped {
		start.stopped = true
		start.stoppedMs = clockMs
	}
}

// observe updates the runs by the response to a poll. A run in the response has started. A run that was stopped before the
// runner composed the response, and that the response doesn't show, will never start.
func (u *unconfirmedStarts) observe(response *pollResponse) {
	if len(u.byRun)+len(u.rejected) == 0 {
		return
	}
	for i := range response.active {
		u.resolve(runName{response.active[i].Task, response.active[i].Run})
	}
	for i := range response.finished {
		u.resolve(runName{response.finished[i].Task, response.finished[i].Run})
	}
	for run, start := range u.byRun {
		start.polled = true
		if start.stopped && response.clockMs > start.stoppedMs {
			delete(u.byRun, run)
			u.rejected[run] = true
		}
	}
}

// resolve forgets a run that has started.
func (u *unconfirmedStarts) resolve(run runName) {
	delete(u.byRun, run)
	delete(u.rejected, run)
}

// toStop returns the unconfirmed runs that a poll has not shown and that have no acknowledged stop.
func (u *unconfirmedStarts) toStop() []runName {
	var runs []runName
	for _, run := range sortedRuns(u.byRun) {
		if start := u.byRun[run]; start.polled && !start.stopped {
			runs = append(runs, run)
		}
	}
	return runs
}

// any reports whether there is an unconfirmed run. The next poll is urgent then, as the run's capacity is reserved.
func (u *unconfirmedStarts) any() bool { return len(u.byRun) > 0 }

// appendTo appends the unconfirmed runs to the active ones.
func (u *unconfirmedStarts) appendTo(active []protocol.ActiveRun) []protocol.ActiveRun {
	for _, run := range sortedRuns(u.byRun) {
		active = append(active, protocol.ActiveRun{Task: run.task, Run: run.run})
	}
	return active
}

// rejections returns the runs that will never start, as Heartbeat.Rejected of the next heartbeat.
func (u *unconfirmedStarts) rejections() []protocol.ActiveRun {
	u.reported = u.reported[:0]
	var rows []protocol.ActiveRun
	for _, run := range sortedRuns(u.rejected) {
		u.reported = append(u.reported, run)
		rows = append(rows, protocol.ActiveRun{Task: run.task, Run: run.run})
	}
	return rows
}

// acknowledgeRejections forgets the runs that the newest heartbeat has reported as rejected, which the owner has
// acknowledged. If the owner didn't record the rejection of a run, it orders the start again, and the runner refuses it
// again.
func (u *unconfirmedStarts) acknowledgeRejections() {
	for _, run := range u.reported {
		delete(u.rejected, run)
	}
}
