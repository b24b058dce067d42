package simulation

import (
	"fmt"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Size is how large a deployment is.
type Size struct {
	Frontends, Controls int
	Services            []ServiceSize
	SyncTime            time.Duration
	JobsPerSecond       float64
}

// ServiceSize is one service's runners.
type ServiceSize struct {
	Name             string
	Runners          int
	Spare            int // more that may come during the day
	Capacity         protocol.Resources
	Kinds            []string
	Sizes            []float64
	Speeds           []float64
	EnforcesCapacity bool
}

// SmallSize is a deployment like the small sites, cut down so that a day plays in milliseconds.
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

// Deployment is a whole deployment without the scheduler's own processes, which its user puts onto the machines.
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
	// Leader returns a core machine that leads something, or nil.
	Leader func() *Machine
	// AddControl makes an empty core machine at a new address part of the deployment; it is off.
	AddControl func() *Machine
	// Terminate asks a machine's process to end by itself and calls done when it has.
	Terminate func(m *Machine, done func())

	loadFactor       float64 // of jobs against the usual
	failingFraction  float64 // share of jobs that can never be done
	cancelFraction   float64 // share of jobs that are cancelled soon
	unavailableUntil map[*Machine]time.Duration
	finalFaultAt     time.Duration // of the final fault; 0: none comes
}

// NewDeployment returns a deployment whose machines are off.
func NewDeployment(world *World, size Size, bounds Bounds) *Deployment {
	ledger := NewHistory(bounds)
	d := &Deployment{World: world, Network: NewNetwork(world), GroundTruth: NewGroundTruth(world, ledger), History: ledger, Size: size,
		loadFactor: 1, unavailableUntil: map[*Machine]time.Duration{}}
	zones := []string{"north", "centre", "south"}
	for i := range size.Frontends {
		d.Frontends = append(d.Frontends, NewMachine(world, fmt.Sprintf("front-%d", i), zones[i%len(zones)], "front"))
	}
	for i := range size.Controls {
		d.Controls = append(d.Controls, d.NewControlMachine(fmt.Sprintf("core-%d", i), zones[i%len(zones)]))
	}
	for s := range size.Services {
		d.addService(&size.Services[s], zones)
	}
	d.Clients = NewClients(world, d.Network, d.GroundTruth, d.Frontends)
	d.Operator = &Operator{World: world, History: ledger, Controls: d.Controls, Base: baseDocument(size)}
	return d
}

// NewControlMachine returns a core machine with an empty disk.
func (d *Deployment) NewControlMachine(name, zone string) *Machine {
	m := NewMachine(d.World, name, zone, "core")
	m.Disk = NewDisk(d.Size.SyncTime)
	return m
}

func (d *Deployment) addService(service *ServiceSize, zones []string) {
	const inRack = 2
	for i := range service.Runners + service.Spare {
		name := fmt.Sprintf("%s-%d", service.Name, i)
		rack := fmt.Sprintf("r-%s-%d", service.Name, i/inRack)
		d.Racks = append(d.Racks, rack)
		machine := NewMachine(d.World, name, zones[i%len(zones)], "side")
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

// ClientHost is the host of all queues.
const ClientHost = "jobs.example"

func baseDocument(size Size) *Document {
	first, second := size.Services[0].Name, size.Services[min(1, len(size.Services)-1)].Name
	route := func(name, service string, priority, attempts int, aim int64, extension float64) Route {
		return Route{Name: name, Host: ClientHost, PathPrefix: "/" + name + "/", Kind: "non_idempotent", TimeoutMs: 3000,
			TargetLatencyMs: aim, Priority: priority, Service: service, MaxAttempts: attempts, Extension: extension}
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

// BootAll starts all machines and runners within 0.3 s of each other.
func (d *Deployment) BootAll() {
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

// Traffic hands in jobs from now until a time.
func (d *Deployment) Traffic(until time.Duration) {
	if d.World.now >= until {
		return
	}
	d.submitDrawnJob()
	mean := time.Duration(float64(time.Second) / (d.Size.JobsPerSecond * d.loadFactor))
	d.World.After(d.World.Exponential(mean), func() { d.Traffic(until) })
}

func (d *Deployment) submitDrawnJob() {
	class := drawClass(d.World)
	d.submitJob(class, QueueName{ClientHost, "/" + class.Route + "/"})
}

// submitJob makes up a job of a class and hands it in to a queue.
func (d *Deployment) submitJob(class *JobClass, queue QueueName) {
	w := d.World
	kinds := []string{"a", "b"}
	spec, work := drawJob(w, class, d.Racks, kinds)
	work.AlwaysFails = w.Chance(d.failingFraction)
	cancelAfter := Never
	if w.Chance(max(class.Cancelled, d.cancelFraction)) {
		cancelAfter = w.Between(200*time.Millisecond, 6*time.Second)
	}
	d.Clients.Submit(queue, spec, work, cancelAfter)
}

func drawClass(w *World) *JobClass {
	classes := JobClasses()
	luck := w.Random.Float64()
	for i := range classes {
		if luck < classes[i].Weight {
			return &classes[i]
		}
		luck -= classes[i].Weight
	}
	return &classes[0]
}

// recordFault notes something done to the deployment.
func (d *Deployment) recordFault(t Fault) {
	if t.To < t.From {
		t.To = t.From
	}
	d.History.Faults = append(d.History.Faults, t)
}
