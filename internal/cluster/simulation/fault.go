package simulation

import (
	"slices"
	"time"
)

// FaultKind injects one kind of fault, or of unusual load or operation, as a nemesis of Jepsen does.
type FaultKind struct {
	// Name is the kind's name in the users' scenario files.
	Name string
	// Begin begins the fault now. Kinds of fault with a fixed duration, or without one, ignore the argument.
	Begin func(d *Deployment, duration time.Duration)
}

// FaultKinds returns the kinds that scenarios draw. Their order must stay, because a seed draws a kind by its position.
func FaultKinds() []FaultKind {
	return slices.Concat(workloadFaults(), runnerFaults(), machineFaults(), frontendFaults(), controlFaults())
}

// FaultKindOf returns the kind of that name, drawn or not, and whether there is one.
func FaultKindOf(name string) (FaultKind, bool) {
	for _, kind := range append(FaultKinds(), undrawnFaults()...) {
		if kind.Name == name {
			return kind, true
		}
	}
	return FaultKind{}, false
}

// recordPlanned adds an event of normal operation to the history. It excuses no violation: spans with it are still
// fault-free.
func (d *Deployment) recordPlanned(kind string, duration time.Duration) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: kind, Planned: true})
}

// recordExternalFault adds a fault outside the scheduler's machines to the history: of runners or of the load. A span with
// it is not fault-free, but the machines stay undisturbed.
func (d *Deployment) recordExternalFault(kind string, duration time.Duration) {
	d.recordFault(Fault{From: d.World.now, To: d.World.now + duration, Kind: kind})
}

// recordMachineFault adds a fault of one machine to the history. A fault of a control machine counts for all machines at its
// begin and at its end, because it disturbs them all at these moments.
func (d *Deployment) recordMachineFault(kind string, m *Machine, duration time.Duration) {
	now := d.World.now
	d.recordFault(Fault{From: now, To: now + duration, Kind: kind, Machines: []string{m.Name}})
	if !isControl(m) {
		return
	}
	d.recordFault(Fault{From: now, To: now, Kind: kind, ControlPlane: true})
	d.recordFault(Fault{From: now + duration, To: now + duration, Kind: kind, ControlPlane: true})
}

// repeat calls f at intervals until the duration has passed, the first time now.
func (d *Deployment) repeat(duration, interval time.Duration, f func()) {
	for at := time.Duration(0); at < duration; at += interval {
		d.World.After(at, f)
	}
}
