package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// RunnerOverview is the state of a runner as operators see it.
type RunnerOverview struct {
	Instance       string
	Service        string
	Address        string
	Zone           string
	Labels         []string
	State          string // reported by the runner, or StateEnded or StateUnresponsive
	Capacity       protocol.Resources
	Free           protocol.Resources // capacity less the needs of all runs that may exist there
	Runs           int                // number of runs that may exist there
	Stops          int                // number of runs that are ordered to stop and haven't ended
	FailureScore   float64            // 0: no recent failures; near 1: all recent runs failed or made no progress
	SinceHeartbeat time.Duration      // time since its newest heartbeat, or since this owner's election if there was none
	LeaseRemaining time.Duration      // time until no run exists there unless a new lease is granted; 0 after that
}

// States that the owner determines. All other states are reported by the runner.
const (
	StateEnded        = "ended"  // the runner has deregistered
	StateUnresponsive = "silent" // the runner has sent this owner no heartbeat, or none for shownUnresponsiveAfter
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

// shownUnresponsiveAfter is the time since its last heartbeat after which the overview shows a runner as unresponsive. It
// is longer than runnerTimeout, so that single missed heartbeats don't show.
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
