package placement

import (
	"cmp"
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	// A run that is about to exceed its predicted runtime, or has exceeded it, is expected to continue for
	// overdueFraction of its runtime so far, and for at least minOverdue seconds.
	overdueFraction = 0.1
	minOverdue      = 0.2
	// assumedRun is the release.run of a task that was placed in this round.
	assumedRun = -1
)

// release is the expected end of a run, which releases its capacity.
type release struct {
	in    float64            // time of the end, in seconds from now; infinity for a long-running task
	needs protocol.Resources // capacity that is released
	run   int                // index into Runner.Running, or assumedRun
}

// expectedReleases returns the expected releases of all runs on the runner and of all tasks placed there in this round, the
// earliest first.
func (p *Planner) expectedReleases(r *runnerState) []release {
	if r.releasesKnown {
		return r.releases
	}
	r.releasesKnown = true
	r.releases = append(r.releases[:0], r.assumedReleases...)
	for i := range r.runner.Running {
		run := &r.runner.Running[i]
		r.releases = append(r.releases, release{p.timeToEnd(run), run.Needs, i})
	}
	sortReleases(r.releases)
	return r.releases
}

// sortReleases sorts releases by time, then by run.
func sortReleases(releases []release) {
	slices.SortFunc(releases, func(a, b release) int { return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(a.run, b.run)) })
}

// timeToEnd returns the expected remaining time of a run, in seconds.
func (p *Planner) timeToEnd(run *Run) float64 {
	if run.Stopping {
		return p.options.StopTime.Seconds()
	}
	if run.LongRunning {
		return math.Inf(1)
	}
	if rest := (run.Predicted - run.Elapsed).Seconds(); rest > minOverdue {
		return rest
	}
	return max(overdueFraction*run.Elapsed.Seconds(), minOverdue)
}

// timeUntilFree returns the time, in seconds from now, at which the runner is expected to have free capacity for count
// times needs, without the capacity that is committed to other units. It is infinite if that isn't expected.
func (p *Planner) timeUntilFree(r *runnerState, needs protocol.Resources, count int) float64 {
	free := r.free
	subtract(&free, r.committed)
	if maxFitting(free, needs, count) >= count {
		return 0
	}
	for _, release := range p.expectedReleases(r) {
		add(&free, release.needs)
		if maxFitting(free, needs, count) >= count {
			return release.in
		}
	}
	return math.Inf(1)
}
