package simulation

import (
	"fmt"
	"time"
)

// frontendFaults returns the kinds that strike one frontend.
func frontendFaults() []FaultKind {
	return []FaultKind{
		{"front_cut", func(d *Deployment, duration time.Duration) {
			d.partitionFromControls(Pick(d.World, d.Frontends), duration)
		}},
		{"front_lags", (*Deployment).staleFrontend},
	}
}

// staleFrontend leaves a frontend only one control machine, while a route moves and others are added and removed. If that
// machine leads shards but not the configuration, the frontend goes on with a configuration that was replaced long ago.
func (d *Deployment) staleFrontend(duration time.Duration) {
	const minDuration = 5 * time.Second // longer than an exact answer may be cached
	duration = max(duration, minDuration)
	frontend := Pick(d.World, d.Frontends)
	reachable := Pick(d.World, d.Controls)
	d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: "front_lags", Machines: []string{frontend.Name}})
	d.partitionLinks(frontend, without(d.Controls, reachable), duration)
	d.moveRoute()
	d.useNewQueue(duration)
	const newest = 16 // of which many were removed a while ago
	d.repeat(duration, 400*time.Millisecond, func() { d.Operator.Change(nil) })
	d.repeat(duration, 50*time.Millisecond, func() { d.queryProbe(newest) })
}

// useNewQueue adds a queue and, once the operator knows that it exists, submits jobs to it, for a time.
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
