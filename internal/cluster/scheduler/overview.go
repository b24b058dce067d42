package scheduler

import (
	"cmp"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// RunnerOverview is what an operator may want to know of a runner.
type RunnerOverview struct {
	Instance       string
	Service        string
	Address        string
	Zone           string
	Labels         []string
	State          string // as it reported it; StateEnded, StateSilent
	Capacity       protocol.Resources
	Free           protocol.Resources // estimated: what may run there is counted
	Runs           int                // that may exist there
	Stops          int                // ordered and not yet listed
	FailureScore   float64            // 0: none; 1: what it starts fails or stands still
	SinceHeartbeat time.Duration      // since its newest heartbeat; since this owner's election if none has come
	LeaseRemaining time.Duration      // until nothing runs there unless it is held anew; never below 0
}

// States of a runner that it does not report itself.
const (
	StateEnded  = "ended"  // it has said that it ends
	StateSilent = "silent" // it has not reported to this owner, or not for a while
)

// Runners tells about all runners that this owner knows, by service and instance.
func (o *Owner) Runners(now time.Duration) []RunnerOverview {
	overviews := make([]RunnerOverview, 0, len(o.runners))
	for _, r := range o.runners {
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
		Free:           o.offer(now, r).Free,
		Runs:           len(o.state.RunsOn(r.instance)) + len(o.state.LingeringOn(r.instance)),
		Stops:          len(r.stops),
		FailureScore:   r.record.distrust(),
		SinceHeartbeat: now - o.ledAt,
		LeaseRemaining: max(r.holdEnd-now, 0),
	}
	if r.reported {
		overview.SinceHeartbeat = now - r.heardAt
	}
	return overview
}

// shownSilence is the silence from which a runner is shown as silent.
const shownSilence = 3 * time.Second

func (o *Owner) stateOf(now time.Duration, r *runner) string {
	switch {
	case r.ended:
		return StateEnded
	case !r.reported || now-r.heardAt > shownSilence:
		return StateSilent
	default:
		return string(r.report.State)
	}
}
