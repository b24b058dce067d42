package simulation

import (
	"fmt"
	"time"
)

func frontendFaults() []FaultKind {
	return []FaultKind{
		{"front_cut", func(d *Deployment, lasts time.Duration) {
			d.partitionFromControls(Pick(d.World, d.Frontends), lasts)
		}},
		{"front_lags", (*Deployment).staleFrontend},
	}
}

// staleFrontend leaves a frontend only one machine of the core, while a queue moves and others are added and dropped: where
// that machine does not own the configuration but some shards, the frontend works on with a configuration that is long
// replaced.
func (d *Deployment) staleFrontend(lasts time.Duration) {
	const least = 5 * time.Second // beyond any age that an answer may have
	lasts = max(lasts, least)
	front := Pick(d.World, d.Frontends)
	left := Pick(d.World, d.Controls)
	var others []*Machine
	for _, m := range d.Controls {
		if m != left {
			others = append(others, m)
		}
	}
	d.recordFault(Fault{From: d.World.now, To: d.World.now + lasts, Kind: "front_lags", Machines: []string{front.Name}})
	d.partitionLinks(front, others, lasts)
	d.moveRoute()
	d.useNewQueue(lasts)
	const counted = 16 // of which many were dropped a while ago
	d.repeat(lasts, 400*time.Millisecond, func() { d.Operator.Change(nil) })
	d.repeat(lasts, 50*time.Millisecond, func() { d.queryRecentProbe(counted) })
}

// useNewQueue adds a queue and, once the operator knows that it is in force, hands jobs in to it for a time.
func (d *Deployment) useNewQueue(lasts time.Duration) {
	class := &JobClasses()[0]
	name := fmt.Sprintf("new-%d", d.World.now.Milliseconds())
	until := d.World.now + lasts
	var use func()
	use = func() {
		switch current := d.Operator.Current(); {
		case d.World.now >= until:
			return
		case current != nil && current.route(name) != nil:
			d.submitJob(class, QueueName{ClientHost, "/" + name + "/"})
		default:
			d.Operator.Change(AddQueue(name, class.Route))
		}
		d.World.After(200*time.Millisecond, use)
	}
	use()
}
