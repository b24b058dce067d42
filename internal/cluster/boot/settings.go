// Package boot reads the settings file that the platform gives to each process of the scheduler, usually boot.json,
// validates it, and applies the limits of the process.
//
// The keys are documented in docs/settings.md, which a test compares with this package. They and their units are the
// platform's: they stay, also where a field here has a better name. All problems of a file are reported at once, each with
// its key. Settings are read once, at the start; only package seeds reads the file again. They must not be changed after
// that, and may then be read by several goroutines.
package boot

import (
	"net"
	"slices"
	"strconv"
	"time"
)

// Variable is the environment variable with the path of the settings file.
const Variable = "OSPREYPOND_SETTINGS"

// Values of Settings.Serves: what callers from outside of the cluster reach at a process.
const (
	ServesFrontend = "frontend"
	ServesSide     = "side" // an agent
	ServesControl  = "control_plane"
)

// Keys of Settings.Listen.
const (
	ListenFrontend  = "frontend"
	ListenReadiness = "readiness"
	ListenControl   = "control"
)

// Settings is the content of the settings file of one process. Fields that nothing depends on are kept, as they are
// validated.
type Settings struct {
	NodeName          string            // the machine's name
	Role              string            // the role's name in the deploy file; only shown
	MachineClass      string            // frontend, side or core; not used
	Serves            []string          // ServesFrontend, ServesSide, ServesControl
	IP                string            // the machine's address
	Zone              string            // the machine's zone
	Region            string            // the machine's region; not used
	Zones             map[string]string // region of each zone; not used
	Listen            map[string]string // ip:port by ListenFrontend, ListenReadiness, ListenControl
	InternalPorts     [2]int            // first and last of the ports for traffic between processes; the first is used
	Seeds             []string          // `control` addresses of up to three machines to start from
	Bootstrap         bool              // the cluster starts for the first time
	CountsForQuorum   bool              // the machine's loss counts against FaultTolerance; not used
	Limits            Limits
	DataDir           string        // directory on the machine's disk; empty: there is no disk
	Discovery         string        // not used
	Entry             string        // not used
	HeartbeatInterval time.Duration // approximately, between two heartbeats of a runner; not used: owners request earlier ones
	Contracts         []string      // parts of the requirements in force; not used: all are met
	FaultTolerance    FaultTolerance
	Bounds            Bounds
	Commands          string // how runners get their orders: CommandsHeartbeat (also if empty) or CommandsInvocation
	App               string // ip:port of the runner on this machine; empty elsewhere
	Service           string // service of the runner on this machine; empty elsewhere

	// MetricsPort is the port at which a control process serves its metrics; 0: none. It is set from the command line and
	// isn't a key of the file.
	MetricsPort int
}

// Values of Settings.Commands.
const (
	CommandsHeartbeat  = "heartbeat"  // in the responses to their heartbeats
	CommandsInvocation = "invocation" // by calls of their agents
)

// Limits are the resources that the process may use.
type Limits struct {
	CPUShare        float64 // fraction of one core; not used: a process runs one thread of Go code
	Cores           int     // not used
	MemoryMB        int
	FileDescriptors int     // not used
	LinkMbps        float64 // megabits a second; not used
	DiskMB          int     // 0 stands for 128
}

// FaultTolerance is what may fail at once while all requirements are still met. Not used: a group has as many members as
// there are control processes.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Bounds are the figures of the requirements on the scheduler. The comments begin with the keys; docs/settings.md says
// which are used.
type Bounds struct {
	SeedLag       time.Duration // seedLagS: delay of the operator's list of machines
	AddressReuse  time.Duration // addressReuseS
	Contact       time.Duration // contactMs: time without faults until a machine counts as connected
	AckTimeout    time.Duration // ackTimeoutMs: bounds the time until operators and runners get an acknowledgement
	CatchUp       time.Duration // catchUpS: how long after its return a machine still counts as lost
	Drain         time.Duration // drainMs: time after which a draining runner gets nothing new
	Grace         time.Duration // graceS: from SIGTERM to SIGKILL
	LossSlack     time.Duration // lossSlackMs
	ConfigApply   time.Duration // configApplyMs: bounds the time until an acknowledged configuration is in force everywhere
	RollbackSlack time.Duration // rollbackSlackMs
	MaxSkew       time.Duration // maxSkewMs
	Recovery      time.Duration // recoveryS: bounds the time until service is back after the last fault
	MaxLease      time.Duration // holdMaxMs: longest lease that a runner accepts
	Stop          time.Duration // stop_ms: longest time a run takes to stop
	Gang          time.Duration // gang_ms: how long a member of a gang waits for the others
	Cancel        time.Duration // cancel_ms: time after which nothing of a cancelled job starts
	Visible       time.Duration // visible_ms: bounds the time until an accepted job is known everywhere
	Early         time.Duration // early_ms: how far ahead of its time a task may start
	Finish        time.Duration // finish_s: from the end of traffic to the last queries
	Status        time.Duration // status_s: minimal time for which the state of an ended job is retained
	Far           float64       // far_x: factor on the run time of a task that isn't near its data
	Save          time.Duration // save_s: work between two checkpoints
	Restore       time.Duration // restore_ms: time to continue from a checkpoint
}

// ServesRole reports whether name is one of Serves.
func (s *Settings) ServesRole(name string) bool { return slices.Contains(s.Serves, name) }

// InternalAddress returns the ip:port at which this process serves other processes of the scheduler.
func (s *Settings) InternalAddress() string { return s.internalAddressOf(s.IP) }

// SeedInternalAddresses returns the internal addresses of the seeds, in the order of the file. It assumes that the internal
// ports are the same on all machines.
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

func (s *Settings) internalAddressOf(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.InternalPorts[0]))
}
