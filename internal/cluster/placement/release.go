package placement

import (
	"cmp"
	"math"
	"slices"

	"ospreypond/internal/cluster/protocol"
)

const (
	overdueFraction = 0.1 // an overdue run is expected to go on for that fraction of the time it has run
	minOverdue      = 0.2 // and for so many seconds at least
	assumedRun      = -1  // instead of a run's index: the task was assigned in this round
)

// release is the expected end of a run, which releases its capacity.
type release struct {
	in    float64 // seconds from now
	needs protocol.Resources
	run   int // index into Running, or assumedRun
}

// expectedReleases returns the releases of all that runs or was assigned there, the first one first.
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

func sortReleases(releases []release) {
	slices.SortFunc(releases, func(a, b release) int { return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(a.run, b.run)) })
}

// timeToEnd returns the seconds until a run is expected to end.
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

// timeUntilFree returns the seconds until the runner is expected to have free capacity for count times needs, besides what
// is committed to others; infinity if it is not expected to.
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
