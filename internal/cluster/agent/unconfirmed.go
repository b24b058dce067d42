package agent

import (
	"cmp"
	"maps"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// runName identifies one run.
type runName struct {
	task string
	run  uint64
}

// sortedRuns returns the keys of a map by task, then by run.
func sortedRuns[V any](runs map[runName]V) []runName {
	return slices.SortedFunc(maps.Keys(runs), func(a, b runName) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.run, b.run))
	})
}

// unconfirmedStart is what is known of a run that may have been started.
type unconfirmedStart struct {
	polled    bool  // a poll since then has not shown it
	stopped   bool  // a stop for it was acknowledged: if the run doesn't exist, it never will
	stoppedMs int64 // the runner's clock in that acknowledgement
}

// unconfirmedStarts are the runs of which it isn't known whether the runner has started them, and those that it certainly
// will never start. An unconfirmed run is reported as active, so that its capacity stays reserved, until a poll shows it, or
// until it was stopped and a later poll doesn't show it.
type unconfirmedStarts struct {
	byRun    map[runName]*unconfirmedStart
	rejected map[runName]bool // will certainly never start
	reported []runName        // rejected, as listed by the heartbeat in flight
}

func newUnconfirmedStarts() unconfirmedStarts {
	return unconfirmedStarts{byRun: make(map[runName]*unconfirmedStart), rejected: make(map[runName]bool)}
}

// add records a start that the runner has not acknowledged.
func (u *unconfirmedStarts) add(run runName) { u.byRun[run] = new(unconfirmedStart) }

// addIfUnknown records a run whose start may have been sent to the runner earlier, unless it is recorded already.
func (u *unconfirmedStarts) addIfUnknown(run runName) {
	if u.byRun[run] == nil && !u.rejected[run] {
		u.add(run)
	}
}

// markStopped records that a stop for the run was acknowledged, with the runner's clock then.
func (u *unconfirmedStarts) markStopped(run runName, clockMs int64) {
	if start := u.byRun[run]; start != nil && !start.stopped {
		start.stopped = true
		start.stoppedMs = clockMs
	}
}

// observe resolves the runs that the response to a poll shows, and rejects those that were stopped before it and aren't
// in it.
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

// resolve forgets a run that is known to have started.
func (u *unconfirmedStarts) resolve(run runName) {
	delete(u.byRun, run)
	delete(u.rejected, run)
}

// notSeen returns the unconfirmed runs that a poll has not shown and that are not stopped.
func (u *unconfirmedStarts) notSeen() []runName {
	var runs []runName
	for _, run := range sortedRuns(u.byRun) {
		if start := u.byRun[run]; start.polled && !start.stopped {
			runs = append(runs, run)
		}
	}
	return runs
}

// any reports whether a run is unconfirmed, so that the next poll is urgent.
func (u *unconfirmedStarts) any() bool { return len(u.byRun) > 0 }

// appendTo appends the unconfirmed runs to those that are active.
func (u *unconfirmedStarts) appendTo(active []protocol.ActiveRun) []protocol.ActiveRun {
	for _, run := range sortedRuns(u.byRun) {
		active = append(active, protocol.ActiveRun{Task: run.task, Run: run.run})
	}
	return active
}

// rejections returns the runs that certainly will never start, for a heartbeat.
func (u *unconfirmedStarts) rejections() []protocol.ActiveRun {
	u.reported = u.reported[:0]
	var rows []protocol.ActiveRun
	for _, run := range sortedRuns(u.rejected) {
		u.reported = append(u.reported, run)
		rows = append(rows, protocol.ActiveRun{Task: run.task, Run: run.run})
	}
	return rows
}

// acknowledgeRejections forgets the rejections in the heartbeat that the owner has acknowledged. If the owner can't take
// one into account, it orders the start again, and it is rejected again.
func (u *unconfirmedStarts) acknowledgeRejections() {
	for _, run := range u.reported {
		delete(u.rejected, run)
	}
}
