package agent

import (
	"cmp"
	"maps"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

// runName names one run.
type runName struct {
	task string
	run  uint64
}

// inOrder returns a map's runs, sorted.
func inOrder[V any](runs map[runName]V) []runName {
	return slices.SortedFunc(maps.Keys(runs), func(a, b runName) int {
		return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.run, b.run))
	})
}

// doubt is what is known of a run that may have been started.
type doubt struct {
	looked  bool  // a look since then has not shown it
	stopped bool  // a stop for it was answered: if it is not there, it never will be
	stopMs  int64 // the runner's clock in that answer
}

// doubts are the runs of which it isn't known whether the runner has begun them, or that it certainly will not begin.
// One in doubt is reported as active, so that its room is kept, until it is seen, or until it was stopped and a later
// look doesn't show it.
type doubts struct {
	open     map[runName]*doubt
	rejected map[runName]bool // certainly not there
	shown    []runName        // rejected, in the heartbeat that is out
}

func newDoubts() doubts {
	return doubts{open: make(map[runName]*doubt), rejected: make(map[runName]bool)}
}

// add notes a start without a definite yes.
func (d *doubts) add(run runName) { d.open[run] = new(doubt) }

// suspect notes a run that may have been sent to the runner before, unless something is known of it.
func (d *doubts) suspect(run runName) {
	if d.open[run] == nil && !d.rejected[run] {
		d.add(run)
	}
}

// stop notes that a stop for the run was answered, with the runner's clock then.
func (d *doubts) stop(run runName, clockMs int64) {
	if entry := d.open[run]; entry != nil && !entry.stopped {
		entry.stopped = true
		entry.stopMs = clockMs
	}
}

// see takes what a look shows, and what it doesn't.
func (d *doubts) see(seen *look) {
	if len(d.open)+len(d.rejected) == 0 {
		return
	}
	for i := range seen.active {
		d.settle(runName{seen.active[i].Task, seen.active[i].Run})
	}
	for i := range seen.finished {
		d.settle(runName{seen.finished[i].Task, seen.finished[i].Run})
	}
	for run, entry := range d.open {
		entry.looked = true
		if entry.stopped && seen.clockMs > entry.stopMs {
			delete(d.open, run)
			d.rejected[run] = true
		}
	}
}

func (d *doubts) settle(run runName) {
	delete(d.open, run)
	delete(d.rejected, run)
}

// unseen returns the runs in doubt that the newest look has not shown, and that are not stopped.
func (d *doubts) unseen() []runName {
	var runs []runName
	for _, run := range inOrder(d.open) {
		if entry := d.open[run]; entry.looked && !entry.stopped {
			runs = append(runs, run)
		}
	}
	return runs
}

// any tells that a look is wanted soon.
func (d *doubts) any() bool { return len(d.open) > 0 }

// addTo returns the active runs with those in doubt.
func (d *doubts) addTo(active []protocol.ActiveRun) []protocol.ActiveRun {
	for _, run := range inOrder(d.open) {
		active = append(active, protocol.ActiveRun{Task: run.task, Run: run.run})
	}
	return active
}

// rejections returns the runs that certainly are not there, for a heartbeat.
func (d *doubts) rejections() []protocol.ActiveRun {
	d.shown = d.shown[:0]
	var rows []protocol.ActiveRun
	for _, run := range inOrder(d.rejected) {
		d.shown = append(d.shown, run)
		rows = append(rows, protocol.ActiveRun{Task: run.task, Run: run.run})
	}
	return rows
}

// reported notes that the owner has the heartbeat that is out. If it can't take a rejection into account, it orders the
// start again, and it is rejected again.
func (d *doubts) reported() {
	for _, run := range d.shown {
		delete(d.rejected, run)
	}
}
