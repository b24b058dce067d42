package simulation

import (
	"fmt"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Size describes how many machines and runners a deployment has, and its load.
type Size struct {
	Frontends     int
	Controls      int
	Services      []ServiceSize // at least one
	SyncTime      time.Duration // mean time of a sync on a control machine's disk
	JobsPerSecond float64       // mean rate at which clients submit new jobs
}

// ServiceSize describes the runners of one service. Runner i gets the element i modulo the length of Kinds, Sizes and
// Speeds.
type ServiceSize struct {
	Name             string
	Runners          int
	Spare            int                // number of further runners, which are off until a fault starts them
	Capacity         protocol.Resources // of a runner of size 1
	Kinds            []string           // labels that steps may require
	Sizes            []float64          // factors of a runner's CPU and memory, not of its GPUs
	Speeds           []float64          // ms of work that a runner does per ms
	EnforcesCapacity bool               // the runners reject runs that do not fit their capacity
}

// SmallSize returns the size of a deployment that resembles the users' small ones, but is so much smaller that a scenario
// runs in milliseconds.
func SmallSize() Size {
	return Size{
		Frontends: 2, Controls: 3, SyncTime: 9 * time.Millisecond, JobsPerSecond: 6,
		Services: []ServiceSize{
			{Name: "alfa", Runners: 4, Spare: 1, Capacity: protocol.Resources{CPU: 16000, MemoryMB: 32768},
				Kinds: []string{"a", "a", "b"}, Sizes: []float64{1, 1, 0.5, 2}, Speeds: []float64{1}},
			{Name: "beta", Runners: 4, Spare: 1, Capacity: protocol.Resources{CPU: 32000, MemoryMB: 131072, GPU: 8},
				Kinds: []string{"a", "b"}, Sizes: []float64{1}, Speeds: []float64{0.8, 1, 1.25}},
			{Name: "gamma", Runners: 2, Capacity: protocol.Resources{CPU: 16000, MemoryMB: 32768},
				Kinds: []string{"a", "b"}, Sizes: []float64{1}, Speeds: []float64{1}, EnforcesCapacity: true},
		},
	}
}

// Deployment is a complete deployment without the scheduler's processes. The caller of NewDeployment connects these before
// Play: it sets Machine.Start of the frontends, control and agent machines, Clients.Frontend, Operator.Control and
// Runner.Agent, and may set Leader, AddControl and Terminate.
type Deployment struct {
	World         *World
	Network       *Network
	GroundTruth   *GroundTruth
	History       *History
	Size          Size
	Frontends     []*Machine
	AgentMachines []*Machine
	Controls      []*Machine
	Runners       []*Runner
	Spares        []*Runner
	Clients       *Clients
	Operator      *Operator
	Racks         []string
	// Leader returns a control machine that leads a replica group, or nil. If the field itself is nil, faults draw
	// any control machine.
	Leader func() *Machine
	// AddControl returns a new control machine with an empty disk and a new address. The machine is off. If AddControl is
	// nil, no control machine is ever replaced.
	AddControl func() *Machine
	// Terminate asks a machine's process to shut down and calls done once it has. If it is nil, processes are killed.
	Terminate func(m *Machine, done func())

	loadFactor       float64                    // Size.JobsPerSecond is multiplied by it; 1 without a fault
	failingFraction  float64                    // fraction of new jobs that fail in all their runs
	cancelFraction   float64                    // fraction of new jobs that are cancelled, at least, in each class
	unavailableUntil map[*Machine]time.Duration // see reserveLoss
	finalFaultAt     time.Duration              // when the change is sent that triggers the final fault; 0: there is none
}

// NewDeployment returns a deployment with all machines off.
func NewDeployment(world *World, size Size, bounds Bounds) *Deployment {
	history := NewHistory(bounds)
	d := &Deployment{World: world, Network: NewNetwork(world), GroundTruth: NewGroundTruth(world, history), History: history,
		Size: size, loadFactor: 1, unavailableUntil: map[*Machine]time.Duration{}}
	zones := []string{"north", "centre", "south"}
	for i := range size.Frontends {
		d.Frontends = append(d.Frontends, NewMachine(world, fmt.Sprintf("front-%d", i), zones[i%len(zones)], RoleFrontend))
	}
	for i := range size.Controls {
		d.Controls = append(d.Controls, d.NewControlMachine(fmt.Sprintf("core-%d", i), zones[i%len(zones)]))
	}
	for s := range size.Services {
		d.addService(&size.Services[s], zones)
	}
	d.Clients = NewClients(world, d.GroundTruth, d.Frontends)
	d.Operator = &Operator{World: world, History: history, Controls: d.Controls, Base: baseDocument(size)}
	return d
}

// NewControlMachine returns a control machine with an empty disk, which is off and not part of the deployment yet.
func (d *Deployment) NewControlMachine(name, zone string) *Machine {
	m := NewMachine(d.World, name, zone, RoleControl)
	m.Disk = NewDisk(d.Size.SyncTime)
	return m
}

// addService adds the runners of a service, each with the machine of its agent.
func (d *Deployment) addService(service *ServiceSize, zones []string) {
	const runnersPerRack = 2
	for i := range service.Runners + service.Spare {
		name := fmt.Sprintf("%s-%d", service.Name, i)
		rack := fmt.Sprintf("r-%s-%d", service.Name, i/runnersPerRack)
		d.Racks = append(d.Racks, rack)
		machine := NewMachine(d.World, name, zones[i%len(zones)], RoleAgent)
		size := service.Sizes[i%len(service.Sizes)]
		runner := NewRunner(d.GroundTruth, machine, RunnerOptions{
			Service: service.Name, Zone: machine.Zone, Address: name + ":8080", Kind: service.Kinds[i%len(service.Kinds)],
			Rack: rack, Speed: service.Speeds[i%len(service.Speeds)], EnforcesCapacity: service.EnforcesCapacity,
			Interval: 1500 * time.Millisecond, ClockRate: 0.98 + 0.02*d.World.Random.Float64(),
			Capacity: protocol.Resources{CPU: int64(float64(service.Capacity.CPU) * size),
				MemoryMB: int64(float64(service.Capacity.MemoryMB) * size), GPU: service.Capacity.GPU},
		})
		d.AgentMachines = append(d.AgentMachines, machine)
		if i < service.Runners {
			d.Runners = append(d.Runners, runner)
			continue
		}
		d.Spares = append(d.Spares, runner)
	}
}

// AllRunners returns the runners and then the spare runners.
func (d *Deployment) AllRunners() []*Runner { return append(slices.Clone(d.Runners), d.Spares...) }

// ClientHost is the host of all queues, except the queues of probe routes.
const ClientHost = "jobs.example"

// baseDocument returns the first configuration: a route for each class of jobs. Its version is not set.
func baseDocument(size Size) *Document {
	first, second := size.Services[0].Name, size.Services[min(1, len(size.Services)-1)].Name
	route := func(name, service string, priority, attempts int, targetLatencyMs int64, extension float64) Route {
		return Route{Name: name, Host: ClientHost, PathPrefix: "/" + name + "/", Kind: "non_idempotent", TimeoutMs: 3000,
			TargetLatencyMs: targetLatencyMs, Priority: priority, Service: service, MaxAttempts: attempts, Extension: extension}
	}
	document := &Document{
		Routes: []Route{
			route("quick", first, 0, 4, 800, 1.5),
			route("batch", first, 2, 2, 4000, 4),
			route("lasting", first, 1, 3, 3000, 2.2),
			route("training", second, 1, 2, 1500, 2.2),
			route("reading", second, 2, 3, 3000, 4),
		},
		Limits: map[string]int64{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	for _, service := range size.Services {
		document.Services = append(document.Services, Service{Name: service.Name, HealthPath: "/health", MaxConnections: 64,
			Protocol: "h1", Preconditions: service.EnforcesCapacity})
	}
	return document
}

// bootAll starts all machines within spread, in a drawn order, and the runners within spread after that.
func (d *Deployment) bootAll() {
	const spread = 300 * time.Millisecond
	for _, machines := range [][]*Machine{d.Controls, d.Frontends, d.AgentMachines} {
		for _, m := range machines {
			d.World.After(d.World.Between(0, spread), m.Boot)
		}
	}
	for _, runner := range d.Runners {
		d.World.After(spread+d.World.Between(0, spread), runner.Start)
	}
}

// recordFault adds a fault to the history.
func (d *Deployment) recordFault(fault Fault) {
	fault.To = max(fault.To, fault.From)
	d.History.Faults = append(d.History.Faults, fault)
}
