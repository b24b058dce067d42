package simulation

import "time"

// LoneRunner is the kind of fault that leaves a service one runner.
const LoneRunner = "lone_runner"

// loneRunnerLoad is the rate of jobs from then on, as a multiple of the usual one.
const loneRunnerLoad = 2

// undrawnFaults returns the kinds that scenarios name and no seed draws: the other rules, such as that of stalled jobs, say
// nothing of a service that never has free capacity, and a quota of processor time lasts as long as a scenario.
func undrawnFaults() []FaultKind {
	return []FaultKind{
		{LoneRunner, (*Deployment).loseAllButOneRunner},
		{CPUQuota, (*Deployment).enforceQuotas},
	}
}

// loseAllButOneRunner crashes all runners of the first service but one, for good, and raises the load.
func (d *Deployment) loseAllButOneRunner(time.Duration) {
	d.recordElsewhere(LoneRunner, 0)
	d.loadFactor = loneRunnerLoad
	left := 1
	for _, r := range d.Runners {
		switch {
		case r.Service != d.Size.Services[0].Name || !r.Up():
		case left > 0:
			left--
		default:
			r.Crash()
		}
	}
}
