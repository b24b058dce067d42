// Package boot reads and validates the settings file that the platform gives to each process of the scheduler, usually
// boot.json. It also applies the limits of the process.
//
// The keys are documented in docs/settings.md, which a test compares with this package. The platform defines the keys and
// their units: they must not change, also where a field has a better name. One error reports all problems of a file, each
// with its key.
//
// A process reads its settings once, at its start; only package seeds reads the file again. Settings must not be changed
// after they are read, so several goroutines may use them at once.
package boot

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// PathVariable is the name of the environment variable that has the path of the settings file.
const PathVariable = "OSPREYPOND_SETTINGS"

// Values of Settings.Serves: which callers from outside of the cluster a process serves.
const (
	ServesFrontend = "frontend"      // clients
	ServesSide     = "side"          // a runner; the process is its agent
	ServesControl  = "control_plane" // operators
)

// Keys of Settings.Listen. The values are addresses at which a process serves callers from outside of the cluster.
const (
	ListenFrontend  = "frontend"  // a frontend serves clients
	ListenReadiness = "readiness" // a frontend serves the platform's readiness probes
	ListenControl   = "control"   // a control process serves operators, an agent serves its runner
)

// Settings is the content of the settings file of one process. It also has the values that no code uses, because
// they are validated like all values.
type Settings struct {
	NodeName          string            // name of the machine
	Role              string            // name of the role in the deploy file; only shown to people
	MachineClass      string            // frontend, side or core; not used
	Serves            []string          // values ServesFrontend, ServesSide, ServesControl
	IP                string            // IP address of the machine
	Zone              string            // zone of the machine
	Region            string            // region of the machine; not used
	Zones             map[string]string // region of each zone; not used
	Listen            map[string]string // ip:port by ListenFrontend, ListenReadiness, ListenControl
	InternalPorts     [2]int            // first and last port of the range for calls between processes; only the first is used
	Seeds             []string          // ListenControl addresses of up to three machines, which the process calls first
	Bootstrap         bool              // the cluster starts for the first time
	CountsForQuorum   bool              // the loss of the machine counts against FaultTolerance; not used
	Limits            Limits
	DataDir           string        // directory on the machine's disk; empty: the machine has no disk
	Discovery         string        // not used
	Entry             string        // not used
	HeartbeatInterval time.Duration // usual time between two heartbeats of a runner; not used: owners request shorter times
	Contracts         []string      // names of the parts of the requirements that apply; not used: all are met
	FaultTolerance    FaultTolerance
	Bounds            Bounds
	Commands          string // how runners get their orders: CommandsHeartbeat (also if empty) or CommandsInvocation
	App               string // ip:port of the runner on this machine; empty if there is none
	Service           string // service of the runner on this machine; empty if there is none

	// MetricsPort is the port at which a control process serves its metrics; 0: it serves none. It comes from the command
	// line and isn't a key of the file.
	MetricsPort int
}

// Values of Settings.Commands.
const (
	CommandsHeartbeat  = "heartbeat"  // runners read their orders from the responses to their heartbeats
	CommandsInvocation = "invocation" // agents call their runners
)

// Limits are the resources that the process may use.
type Limits struct {
	CPUShare        float64 // fraction of one core; not used: a process runs one thread of Go code
	Cores           int     // cores of the machine; not used
	MemoryMB        int     // megabytes of memory above which the platform kills the process
	FileDescriptors int     // open file descriptors; not used
	LinkMbps        float64 // megabits a second of the machine's network link; not used
	DiskMB          int     // megabytes of disk; 0 stands for 128
}

// FaultTolerance is how many machines, zones or regions may fail at once while all requirements are still met. Not used: a
// Raft group has as many members as there are control processes.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Bounds are the figures of the requirements on the scheduler. Each comment begins with the key of the settings file;
// docs/settings.md says which figures are used.
type Bounds struct {
	SeedLag            time.Duration // seedLagS: delay with which the operator's list of machines reaches Seeds; not used
	AddressReuse       time.Duration // addressReuseS: not used
	Contact            time.Duration // contactMs: time without faults until a machine is treated as connected
	AckTimeout         time.Duration // ackTimeoutMs: longest time until operators and runners get an acknowledgement
	CatchUp            time.Duration // catchUpS: how long a machine is still treated as lost after its return
	Drain              time.Duration // drainMs: time after which a draining runner gets no more starts
	Grace              time.Duration // graceS: time from SIGTERM to SIGKILL
	LossSlack          time.Duration // lossSlackMs: not used
	ConfigApply        time.Duration // configApplyMs: longest time from a configuration's acknowledgement to its use by all processes
	RollbackSlack      time.Duration // rollbackSlackMs: time after a process's first use of a version from which it uses no older one
	MaxSkew            time.Duration // maxSkewMs: how much longer than ConfigApply that may take while faults affect the control plane
	Recovery           time.Duration // recoveryS: longest time from the end of the last fault until requests are served again
	MaxLease           time.Duration // holdMaxMs: longest lease that a runner accepts
	Stop               time.Duration // stop_ms: longest time that a run takes to stop
	GangWait           time.Duration // gang_ms: longest wait of a started member of a gang for the other members
	Cancel             time.Duration // cancel_ms: time after a cancellation from which no task of the job starts
	Visible            time.Duration // visible_ms: longest time until an accepted job is known to all frontends
	Early              time.Duration // early_ms: how much earlier than at its set time a task may start, at most
	Finish             time.Duration // finish_s: time from the end of traffic to the last queries of a test
	StatusRetention    time.Duration // status_s: least time of retaining the state of an ended job
	FarFactor          float64       // far_x: factor on the run time of a task that runs far from its data
	CheckpointInterval time.Duration // save_s: work between two checkpoints of a run
	Restore            time.Duration // restore_ms: time that a run takes to continue from a checkpoint
}

// ServesRole reports whether name is one of Serves.
func (s *Settings) ServesRole(name string) bool { return slices.Contains(s.Serves, name) }

// InternalAddress returns the ip:port at which this process serves calls of other processes of the scheduler.
func (s *Settings) InternalAddress() string { return s.internalAddressOf(s.IP) }

// SeedInternalAddresses returns the internal addresses of the processes on the machines of Seeds, in the same order. It
// assumes that InternalPorts are the same on all machines.
func (s *Settings) SeedInternalAddresses() []string {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		addresses = append(addresses, s.internalAddressOf(host))
	}
	return addresses
}

// internalAddressOf returns the internal address of the process on the machine with that IP address.
func (s *Settings) internalAddressOf(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]))
}
