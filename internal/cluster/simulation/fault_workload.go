package simulation

import "time"

// workloadFaults returns the kinds that change what clients and the operator do.
func workloadFaults() []FaultKind {
	return []FaultKind{
		{"burst", (*Deployment).burst},
		{"give_up", func(d *Deployment, duration time.Duration) {
			d.recordPlanned("give_up", duration)
			d.Clients.AbandonFraction = 0.35
			d.World.After(duration, func() { d.Clients.AbandonFraction = 0 })
		}},
		{"cancel", func(d *Deployment, duration time.Duration) {
			d.recordPlanned("cancel", duration)
			d.cancelFraction = 0.5
			d.World.After(duration, func() { d.cancelFraction = 0 })
		}},
		{"poison", func(d *Deployment, duration time.Duration) {
			d.recordPlanned("poison", duration)
			d.failingFraction = 0.15
			d.World.After(duration, func() { d.failingFraction = 0 })
		}},
		{"config_change", func(d *Deployment, duration time.Duration) {
			d.repeat(duration, 400*time.Millisecond, func() { d.Operator.Change(nil) })
		}},
		{"config_move", func(d *Deployment, _ time.Duration) { d.moveRoute() }},
		{"config_race", func(d *Deployment, duration time.Duration) {
			d.repeat(duration, time.Second, d.Operator.Race)
		}},
		{"bad_config", func(d *Deployment, duration time.Duration) {
			d.repeat(duration, 500*time.Millisecond, func() {
				d.Operator.SubmitInvalid(InvalidChange(d.World.Random.IntN(int(invalidChanges))))
			})
		}},
		{"ack_lost", func(d *Deployment, duration time.Duration) {
			d.recordPlanned("ack_lost", duration)
			d.Operator.AckLossFraction = 0.6
			d.repeat(duration, 600*time.Millisecond, func() { d.Operator.Change(nil) })
			d.World.After(duration, func() { d.Operator.AckLossFraction = 0 })
		}},
	}
}

func (d *Deployment) burst(duration time.Duration) {
	d.recordElsewhere("burst", duration)
	d.loadFactor = 3
	d.World.After(duration, func() { d.loadFactor = 1 })
}

// moveRoute moves a route to another service, and later perhaps back.
func (d *Deployment) moveRoute() {
	first := d.Size.Services[0].Name
	last := d.Size.Services[len(d.Size.Services)-1].Name
	route := Pick(d.World, []string{"quick", "batch"})
	d.recordPlanned("config_move", 0)
	d.Operator.Change(MoveRoute(route, last))
	if d.World.Chance(0.5) {
		d.World.After(d.World.Between(time.Second, 4*time.Second), func() { d.Operator.Change(MoveRoute(route, first)) })
	}
}
