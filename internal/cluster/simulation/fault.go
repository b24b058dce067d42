package simulation

import (
	"slices"
	"time"
)

// FaultKind brings about one kind of fault, or of load that is out of the ordinary, as a nemesis of Jepsen does.
type FaultKind struct {
	// Name is the kind's word in the users' scenario files.
	Name string
	// Begin begins a fault of about that duration now.
	Begin func(d *Deployment, duration time.Duration)
}

// FaultKinds returns all kinds, in a fixed order: seeds draw by position.
func FaultKinds() []FaultKind {
	return slices.Concat(workloadFaults(), runnerFaults(), machineFaults(), frontendFaults(), controlFaults())
}

// FaultKindOf returns the kind of that name, also of those that are not drawn, and whether there is one.
func FaultKindOf(name string) (FaultKind, bool) {
	for _, kind := range append(FaultKinds(), undrawnFaults()...) {
		if kind.Name == name {
			return kind, true
		}
	}
	return FaultKind{}, false
}

// recordPlanned adds to the history what happens on purpose.
func (d *Deployment) recordPlanned(kind string, duration time.Duration) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: kind, Planned: true})
}

// recordElsewhere adds to the history a fault that strikes no machine of the scheduler.
func (d *Deployment) recordElsewhere(kind string, duration time.Duration) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: kind})
}

// recordMachineFault adds to the history a fault of one machine. That of a control machine disturbs all others at the
// moments at which it begins and ends.
func (d *Deployment) recordMachineFault(kind string, m *Machine, duration time.Duration) {
	now := d.World.now
	d.recordFault(Fault{From: now, To: now + duration, Kind: kind, Machines: []string{m.Name}})
	if !isControl(m) {
		return
	}
	d.recordFault(Fault{From: now, To: now, Kind: kind, ControlPlane: true})
	d.recordFault(Fault{From: now + duration, To: now + duration, Kind: kind, ControlPlane: true})
}

// repeat calls f at intervals, from now on, for a time.
func (d *Deployment) repeat(duration, interval time.Duration, f func()) {
	for at := time.Duration(0); at < duration; at += interval {
		d.World.After(at, f)
	}
}
