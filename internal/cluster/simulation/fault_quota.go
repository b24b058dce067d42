package simulation

import (
	"slices"
	"time"
)

// CPUQuota is the kind of fault that gives each machine a quota of processor time: it runs at full speed until its share is
// spent, and not at all for the rest of each period, as a cgroup's cpu.max does.
const CPUQuota = "cpu_quota"

const (
	quotaPeriod  = 100 * time.Millisecond
	minQuotaRest = 10 * time.Millisecond // of each period in which a machine does not run
	maxQuotaRest = 80 * time.Millisecond
)

// enforceQuotas has every machine stop for a part of each period, to the end of the traffic. Machines begin their periods at
// different times. It counts as no trouble for any rule: machines under a quota stay in touch.
func (d *Deployment) enforceQuotas(time.Duration) {
	d.recordPlanned(CPUQuota, 0)
	for _, m := range slices.Concat(d.Controls, d.Frontends, d.AgentMachines) {
		d.World.After(d.World.Between(0, quotaPeriod), func() { d.throttle(m) })
	}
}

// throttle stops a machine for a drawn part of the period that begins now, and again in each later one.
func (d *Deployment) throttle(m *Machine) {
	if d.World.now >= d.History.TrafficEnds {
		return
	}
	rest := d.World.Between(minQuotaRest, maxQuotaRest)
	incarnation := m.incarnation
	if m.up && !m.frozen {
		d.World.After(quotaPeriod-rest, func() {
			if m.incarnation != incarnation || m.frozen {
				return
			}
			m.Freeze()
			d.World.After(rest, func() { d.thawIfSame(m, incarnation) })
		})
	}
	d.World.After(quotaPeriod, func() { d.throttle(m) })
}

// thawIfSame resumes a machine that is still in the same incarnation.
func (d *Deployment) thawIfSame(m *Machine, incarnation int) {
	if m.incarnation == incarnation {
		m.Thaw()
	}
}
