package simulation

import (
	"fmt"
	"time"
)

// frontendFaults returns the kinds that disturb one frontend.
func frontendFaults() []FaultKind {
	return []FaultKind{
		// One frontend is partitioned from all control machines.
		{"front_cut", func(d *Deployment, duration time.Duration) {
			d.partitionFromControls(Pick(d.World, d.Frontends), duration)
		}},
		{"front_lags", (*Deployment).staleFrontend},
	}
}

// staleFrontend partitions a frontend from all control machines but one, while a route moves to another service and routes
// are added and removed. If the reachable control machine leads shards of jobs but not the configuration, the frontend may
// not learn of newer configurations, and continue with a configuration that was replaced long ago.
func (d *Deployment) staleFrontend(duration time.Duration) {
	const minDuration = 5 * time.Second // longer than a frontend may cache an exact response
	duration = max(duration, minDuration)
	frontend := Pick(d.World, d.Frontends)
	reachable := Pick(d.World, d.Controls)
	d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: "front_lags", Machines: []string{frontend.Name}})
	d.partitionLinks(frontend, without(d.Controls, reachable), duration)
	d.moveRoute()
	d.useNewQueue(duration)
	const newest = 16 // the probe routes of this many changes are queried; most of these routes were removed some time ago
	d.repeat(duration, 400*time.Millisecond, func() { d.Operator.Change(nil) })
	d.repeat(duration, 50*time.Millisecond, func() { d.queryProbe(newest) })
}

// useNewQueue adds a queue and submits jobs to it once the change is acknowledged to the operator, until the duration has
// passed.
func (d *Deployment) useNewQueue(duration time.Duration) {
	const interval = 200 * time.Millisecond
	class := &JobClasses()[0]
	name := fmt.Sprintf("new-%d", d.World.now.Milliseconds())
	until := d.World.now + duration
	var use func()
	use = func() {
		switch current := d.Operator.Current(); {
		case d.World.now >= until:
			return
		case current != nil && current.route(name) != nil:
			d.submitJob(class, QueueName{ClientHost, "/" + name + "/"})
		default:
			d.Operator.Change(AddRoute(name, class.Route))
		}
		d.World.After(interval, use)
	}
	use()
}
