package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// RunnerOverview is what operators see of a runner.
type RunnerOverview struct {
	Instance       string
	Service        string
	Address        string
	Zone           string
	Labels         []string
	State          string // as it reported it, or StateEnded, StateUnresponsive
	Capacity       protocol.Resources
	Free           protocol.Resources // estimated: what may run there counts as used
	Runs           int                // that may exist there
	Stops          int                // ordered, of runs whose end is not listed yet
	FailureScore   float64            // 0: none; 1: what it starts fails or makes no progress
	SinceHeartbeat time.Duration      // since its newest heartbeat, or since this owner's election if none has come
	LeaseRemaining time.Duration      // after which nothing runs there unless a new lease is granted; never below 0
}

// States of a runner that it does not report itself.
const (
	StateEnded        = "ended"  // it has deregistered
	StateUnresponsive = "silent" // it has not reported to this owner, or not for a while
)

// Runners returns an overview of all runners that this owner knows, sorted by service and instance.
func (o *Owner) Runners(now time.Duration) []RunnerOverview {
	overviews := make([]RunnerOverview, 0, len(o.runners.current))
	for _, r := range o.runners.current {
		overviews = append(overviews, o.overview(now, r))
	}
	slices.SortFunc(overviews, func(a, b RunnerOverview) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Instance, b.Instance))
	})
	return overviews
}

func (o *Owner) overview(now time.Duration, r *runner) RunnerOverview {
	overview := RunnerOverview{
		Instance:       r.instance,
		Service:        r.report.Service,
		Address:        r.report.Address,
		Zone:           r.report.Zone,
		Labels:         slices.Clone(r.report.Labels),
		State:          o.stateOf(now, r),
		Capacity:       r.report.Capacity,
		Free:           o.snapshotRunner(now, r).Free,
		Runs:           len(o.state.RunsOn(r.instance)) + len(o.state.LingeringOn(r.instance)),
		Stops:          len(r.stops),
		FailureScore:   r.history.failureScore(),
		SinceHeartbeat: now - o.leadership.since,
		LeaseRemaining: max(r.leaseExpiry-now, 0),
	}
	if r.hasReported {
		overview.SinceHeartbeat = now - r.lastContact
	}
	return overview
}

// shownUnresponsiveAfter is how long ago the last contact of a runner is that is shown as unresponsive.
const shownUnresponsiveAfter = 3 * time.Second

func (o *Owner) stateOf(now time.Duration, r *runner) string {
	switch {
	case r.hasDeregistered:
		return StateEnded
	case !r.hasReported || now-r.lastContact > shownUnresponsiveAfter:
		return StateUnresponsive
	default:
		return string(r.report.State)
	}
}
