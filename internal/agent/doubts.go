package agent

import "ospreypond/internal/protocol"

// runName names one run.
type runName struct {
	task string
	run  uint64
}

// doubts are the runs of which it isn't known whether the runner has begun them, or that it certainly will not begin.
// One in doubt is reported as active, so that its room is kept, until it is seen, or a stop for it is answered.
type doubts struct {
	open     map[runName]bool // in doubt; true: a look since then has not shown it
	rejected map[runName]bool // certainly not there
	shown    []runName        // rejected, in the heartbeat that is out
}

func newDoubts() doubts {
	return doubts{open: make(map[runName]bool), rejected: make(map[runName]bool)}
}

// doubt notes a start without a definite answer.
func (d *doubts) doubt(run runName) { d.open[run] = false }

// stopped notes that a stop for the run was answered: if it is not there, it never will be.
func (d *doubts) stopped(run runName) {
	if _, open := d.open[run]; open {
		delete(d.open, run)
		d.rejected[run] = true
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
	for run := range d.open {
		d.open[run] = true
	}
}

func (d *doubts) settle(run runName) {
	delete(d.open, run)
	delete(d.rejected, run)
}

// unseen returns the runs in doubt that the newest look has not shown.
func (d *doubts) unseen() []runName {
	var runs []runName
	for run, looked := range d.open {
		if looked {
			runs = append(runs, run)
		}
	}
	return runs
}

// addTo returns the active runs with those in doubt.
func (d *doubts) addTo(active []protocol.ActiveRun) []protocol.ActiveRun {
	for run := range d.open {
		active = append(active, protocol.ActiveRun{Task: run.task, Run: run.run})
	}
	return active
}

// rejections returns the runs that certainly are not there, for a heartbeat.
func (d *doubts) rejections() []protocol.ActiveRun {
	d.shown = d.shown[:0]
	var rows []protocol.ActiveRun
	for run := range d.rejected {
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
