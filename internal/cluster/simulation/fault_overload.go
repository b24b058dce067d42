package simulation

import "time"

// LoneRunner is the kind of fault that leaves the first service a single runner, to the end of the scenario.
const LoneRunner = "lone_runner"

// loneRunnerLoad multiplies the rate of submitted jobs after the loss of the runners.
const loneRunnerLoad = 2

// undrawnFaults returns the kinds that a scenario can name but no seed draws. After LoneRunner the service never has free
// capacity. Other rules, such as the rule on stalled jobs, do not apply then. CPUQuota lasts to the end of the
// traffic.
func undrawnFaults() []FaultKind {
	return []FaultKind{
		{LoneRunner, (*Deployment).loseAllButOneRunner},
		{CPUQuota, (*Deployment).enforceQuotas},
		{WithdrawnSubmissions, (*Deployment).withdrawSubmissions},
	}
}

// loseAllButOneRunner crashes all runners of the first service but one, and raises the load. Neither is undone.
func (d *Deployment) loseAllButOneRunner(time.Duration) {
	d.recordExternalFault(LoneRunner, 0)
	d.loadFactor = loneRunnerLoad
	survivors := 1 // runners that may still be left up
	for _, r := range d.Runners {
		switch {
		case r.Service != d.Size.Services[0].Name || !r.Up():
		case survivors > 0:
			survivors--
		default:
			r.Crash()
		}
	}
}
