package simulation

import (
	"slices"
	"time"
)

// CPUQuota is the kind of fault that gives each machine a quota of processor time, as a cgroup's cpu.max does: in each
// period the machine runs at full speed until its share is spent, and is stopped for the rest of the period.
const CPUQuota = "cpu_quota"

const (
	quotaPeriod  = 100 * time.Millisecond
	minQuotaRest = 10 * time.Millisecond // bounds of the drawn time for which a machine is stopped at the end of a period
	maxQuotaRest = 80 * time.Millisecond
)

// enforceQuotas stops every machine for a part of each period, until the end of the traffic. The machines' periods begin at
// different times. The event is recorded as planned, so that no rule excuses anything: machines under a quota must work as
// undisturbed ones do.
func (d *Deployment) enforceQuotas(time.Duration) {
	d.recordPlanned(CPUQuota, 0)
	for _, m := range slices.Concat(d.Controls, d.Frontends, d.AgentMachines) {
		d.World.After(d.World.Between(0, quotaPeriod), func() { d.throttle(m) })
	}
}

// throttle stops a machine at the end of the period that begins now, for a drawn time, and so in each later period. It
// does not change a machine that is off or frozen by another fault.
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

// thawIfSame resumes a machine, unless its process has ended or was restarted since.
func (d *Deployment) thawIfSame(m *Machine, incarnation int) {
	if m.incarnation == incarnation {
		m.Thaw()
	}
}
