package simulation

import (
	"fmt"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// Size is how large a deployment is.
type Size struct {
	Fronts, Cores int
	Services      []ServiceSize
	SyncTime      time.Duration
	JobsPerSecond float64
}

// ServiceSize is one service's runners.
type ServiceSize struct {
	Name     string
	Runners  int
	Spare    int // more that may come during the day
	Capacity protocol.Resources
	Kinds    []string
	Sizes    []float64
	Speeds   []float64
	Guards   bool
}

// SmallSize is a deployment like the small sites, cut down so that a day plays in milliseconds.
func SmallSize() Size {
	return Size{
		Fronts: 2, Cores: 3, SyncTime: 9 * time.Millisecond, JobsPerSecond: 6,
		Services: []ServiceSize{
			{Name: "alfa", Runners: 4, Spare: 1, Capacity: protocol.Resources{CPU: 16000, MemoryMB: 32768},
				Kinds: []string{"a", "a", "b"}, Sizes: []float64{1, 1, 0.5, 2}, Speeds: []float64{1}},
			{Name: "beta", Runners: 4, Spare: 1, Capacity: protocol.Resources{CPU: 32000, MemoryMB: 131072, GPU: 8},
				Kinds: []string{"a", "b"}, Sizes: []float64{1}, Speeds: []float64{0.8, 1, 1.25}},
			{Name: "gamma", Runners: 2, Capacity: protocol.Resources{CPU: 16000, MemoryMB: 32768},
				Kinds: []string{"a", "b"}, Sizes: []float64{1}, Speeds: []float64{1}, Guards: true},
		},
	}
}

// Deployment is a whole deployment without the scheduler's own processes, which its user puts onto the machines.
type Deployment struct {
	World    *World
	Network  *Network
	Plant    *Plant
	Ledger   *Ledger
	Size     Size
	Fronts   []*Machine
	Sides    []*Machine
	Cores    []*Machine
	Runners  []*Runner
	Spares   []*Runner
	Clients  *Clients
	Operator *Operator
	Racks    []string
	// Leader returns a core machine that leads something, or nil.
	Leader func() *Machine
	// AddCore makes an empty core machine at a new address part of the deployment; it is off.
	AddCore func() *Machine
	// Terminate asks a machine's process to end by itself and calls done when it has.
	Terminate func(m *Machine, done func())

	rate      float64 // of jobs against the usual
	poison    float64 // share of jobs that can never be done
	hurry     float64 // share of jobs that are cancelled soon
	lostUntil map[*Machine]time.Duration
	closingAt time.Duration // of the final fault; 0: none comes
}

// NewDeployment returns a deployment whose machines are off.
func NewDeployment(world *World, size Size, bounds Bounds) *Deployment {
	ledger := NewLedger(bounds)
	d := &Deployment{World: world, Network: NewNetwork(world), Plant: NewPlant(world, ledger), Ledger: ledger, Size: size,
		rate: 1, lostUntil: map[*Machine]time.Duration{}}
	zones := []string{"north", "centre", "south"}
	for i := range size.Fronts {
		d.Fronts = append(d.Fronts, NewMachine(world, fmt.Sprintf("front-%d", i), zones[i%len(zones)], "front"))
	}
	for i := range size.Cores {
		d.Cores = append(d.Cores, d.NewCore(fmt.Sprintf("core-%d", i), zones[i%len(zones)]))
	}
	for s := range size.Services {
		d.addRunners(&size.Services[s], zones)
	}
	d.Clients = NewClients(world, d.Network, d.Plant, d.Fronts)
	d.Operator = &Operator{World: world, Ledger: ledger, Controls: d.Cores, Base: baseDocument(size)}
	return d
}

// NewCore returns a core machine with an empty disk.
func (d *Deployment) NewCore(name, zone string) *Machine {
	m := NewMachine(d.World, name, zone, "core")
	m.Disk = NewDisk(d.Size.SyncTime)
	return m
}

func (d *Deployment) addRunners(service *ServiceSize, zones []string) {
	const inRack = 2
	for i := range service.Runners + service.Spare {
		name := fmt.Sprintf("%s-%d", service.Name, i)
		rack := fmt.Sprintf("r-%s-%d", service.Name, i/inRack)
		d.Racks = append(d.Racks, rack)
		machine := NewMachine(d.World, name, zones[i%len(zones)], "side")
		size := service.Sizes[i%len(service.Sizes)]
		runner := NewRunner(d.Plant, machine, RunnerOptions{
			Service: service.Name, Zone: machine.Zone, Address: name + ":8080", Kind: service.Kinds[i%len(service.Kinds)],
			Rack: rack, Speed: service.Speeds[i%len(service.Speeds)], Guards: service.Guards,
			Interval: 1500 * time.Millisecond, ClockRate: 0.98 + 0.02*d.World.Random.Float64(),
			Capacity: protocol.Resources{CPU: int64(float64(service.Capacity.CPU) * size),
				MemoryMB: int64(float64(service.Capacity.MemoryMB) * size), GPU: service.Capacity.GPU},
		})
		d.Sides = append(d.Sides, machine)
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
			Protocol: "h1", Preconditions: service.Guards})
	}
	return document
}

// BootAll starts all machines and runners within 0.3 s of each other.
func (d *Deployment) BootAll() {
	const spread = 300 * time.Millisecond
	for _, machines := range [][]*Machine{d.Cores, d.Fronts, d.Sides} {
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
	d.handInOne()
	mean := time.Duration(float64(time.Second) / (d.Size.JobsPerSecond * d.rate))
	d.World.After(d.World.Exponential(mean), func() { d.Traffic(until) })
}

func (d *Deployment) handInOne() {
	class := drawClass(d.World)
	d.handIn(class, QueueName{ClientHost, "/" + class.Route + "/"})
}

// handIn makes up a job of a class and hands it in to a queue.
func (d *Deployment) handIn(class *Class, queue QueueName) {
	w := d.World
	kinds := []string{"a", "b"}
	spec, work := drawJob(w, class, d.Racks, kinds)
	work.Poisoned = w.Chance(d.poison)
	cancelAfter := Never
	if w.Chance(max(class.Cancelled, d.hurry)) {
		cancelAfter = w.Between(200*time.Millisecond, 6*time.Second)
	}
	d.Clients.HandIn(queue, spec, work, cancelAfter)
}

func drawClass(w *World) *Class {
	classes := Classes()
	luck := w.Random.Float64()
	for i := range classes {
		if luck < classes[i].Share {
			return &classes[i]
		}
		luck -= classes[i].Share
	}
	return &classes[0]
}

// trouble notes something done to the deployment.
func (d *Deployment) trouble(t Trouble) {
	if t.To < t.From {
		t.To = t.From
	}
	d.Ledger.Troubles = append(d.Ledger.Troubles, t)
}
