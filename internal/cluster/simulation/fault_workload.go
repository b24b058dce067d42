package simulation

import "time"

// workloadFaults returns the kinds that change the behavior of clients and the operator. Each lasts for the duration, except
// config_move.
func workloadFaults() []FaultKind {
	return []FaultKind{
		{"burst", (*Deployment).burst},
		// 35 % of the submissions are given up: their clients disconnect early.
		{"give_up", func(d *Deployment, duration time.Duration) {
			d.recordPlanned("give_up", duration)
			d.Clients.AbandonFraction = 0.35
			d.World.After(duration, func() { d.Clients.AbandonFraction = 0 })
		}},
		// Half of the jobs are cancelled, or more if their class has a higher fraction.
		{"cancel", func(d *Deployment, duration time.Duration) {
			d.recordPlanned("cancel", duration)
			d.cancelFraction = 0.5
			d.World.After(duration, func() { d.cancelFraction = 0 })
		}},
		// 15 % of the new jobs are poison: each run of their tasks fails.
		{"poison", func(d *Deployment, duration time.Duration) {
			d.recordPlanned("poison", duration)
			d.failingFraction = 0.15
			d.World.After(duration, func() { d.failingFraction = 0 })
		}},
		// The operator changes a route's timeout every 400 ms.
		{"config_change", func(d *Deployment, duration time.Duration) {
			d.repeat(duration, 400*time.Millisecond, func() { d.Operator.Change(nil) })
		}},
		// A route moves to another service.
		{"config_move", func(d *Deployment, _ time.Duration) { d.moveRoute() }},
		// The operator sends two concurrent changes every second.
		{"config_race", func(d *Deployment, duration time.Duration) {
			d.repeat(duration, time.Second, d.Operator.Race)
		}},
		// The operator sends an invalid change of a drawn kind every 500 ms.
		{"bad_config", func(d *Deployment, duration time.Duration) {
			d.repeat(duration, 500*time.Millisecond, func() {
				d.Operator.SubmitInvalid(InvalidChange(d.World.Random.IntN(int(invalidChanges))))
			})
		}},
		// The operator sends a change every 600 ms and loses 60 % of the responses.
		{"ack_lost", func(d *Deployment, duration time.Duration) {
			d.recordPlanned("ack_lost", duration)
			d.Operator.AckLossFraction = 0.6
			d.repeat(duration, 600*time.Millisecond, func() { d.Operator.Change(nil) })
			d.World.After(duration, func() { d.Operator.AckLossFraction = 0 })
		}},
	}
}

// burst triples the rate of jobs for a time.
func (d *Deployment) burst(duration time.Duration) {
	d.recordExternalFault("burst", duration)
	d.loadFactor = 3
	d.World.After(duration, func() { d.loadFactor = 1 })
}

// moveRoute moves the quick or the batch route to the last service. In half of the cases the operator moves it to the first
// service, where it comes from, 1 to 4 s later.
func (d *Deployment) moveRoute() {
	firstService := d.Size.Services[0].Name
	lastService := d.Size.Services[len(d.Size.Services)-1].Name
	route := Pick(d.World, []string{"quick", "batch"})
	d.recordPlanned("config_move", 0)
	d.Operator.Change(MoveRoute(route, lastService))
	if d.World.Chance(0.5) {
		d.World.After(d.World.Between(time.Second, 4*time.Second), func() { d.Operator.Change(MoveRoute(route, firstService)) })
	}
}
