// Package boot reads the settings file that the platform hands to each process, checks it, and sets the limits of the
// process accordingly.
package boot

import (
	"net"
	"strconv"
	"time"
)

// Variable is the environment variable that holds the path of the settings file.
const Variable = "OSPREYPOND_SETTINGS"

// Names of what a process may serve, as they stand in Settings.Serves.
const (
	ServesFrontend = "frontend"
	ServesSide     = "side"
	ServesControl  = "control_plane"
)

// Keys of Settings.Listen.
const (
	ListenFrontend  = "frontend"
	ListenReadiness = "readiness"
	ListenControl   = "control"
)

// Settings is the settings file of one process.
type Settings struct {
	NodeName          string            // machine's name
	Role              string            // role's name in the deploy file
	MachineClass      string            // frontend, side or core
	Serves            []string          // what callers from outside reach here
	IP                string            // machine's address
	Zone              string            // machine's zone
	Region            string            // machine's region
	Zones             map[string]string // region of each zone
	Listen            map[string]string // ip:port by what is served there
	InternalPorts     [2]int            // first and last port free for what processes say to each other
	Seeds             []string          // `control` addresses of up to three machines
	Bootstrap         bool              // the whole system starts for the first time
	CountsForQuorum   bool              // the machine's loss counts against FaultTolerance
	Limits            Limits
	DataDir           string // folder on the machine's disk; empty: there is no disk
	Discovery         string
	Entry             string
	HeartbeatInterval time.Duration // roughly between two heartbeats of a runner
	Contracts         []string      // parts of the rules in force
	FaultTolerance    FaultTolerance
	Bounds            Bounds
	Commands          string // how runners are told what to do: CommandsHeartbeat or CommandsInvocation
	App               string // ip:port of the runner on this machine; empty elsewhere
	Service           string // service of the runner on this machine; empty elsewhere

	// MetricsPort is where a control process tells its metrics, 0: nowhere. It comes from the command line, not the file.
	MetricsPort int
}

// Values of Settings.Commands.
const (
	CommandsHeartbeat  = "heartbeat"
	CommandsInvocation = "invocation"
)

// Limits is what the process may use.
type Limits struct {
	CPUShare        float64 // of one core
	Cores           int
	MemoryMB        int
	FileDescriptors int
	LinkMbps        float64 // megabits a second
	DiskMB          int
}

// FaultTolerance is what may be lost at once while every rule still holds.
type FaultTolerance struct {
	Machines int
	Zones    int
	Regions  int
}

// Bounds holds the figures of the rules.
type Bounds struct {
	SeedLag       time.Duration // seedLagS: how far the operator's list runs behind
	AddressReuse  time.Duration // addressReuseS
	Contact       time.Duration // contactMs: how long without trouble before a machine is in touch
	AckTimeout    time.Duration // ackTimeoutMs: within which operators and runners get their acknowledgement
	CatchUp       time.Duration // catchUpS: a machine counts as lost for so long after its return
	Drain         time.Duration // drainMs: a draining runner gets nothing new after so long
	Grace         time.Duration // graceS: from SIGTERM to SIGKILL
	LossSlack     time.Duration // lossSlackMs
	ConfigApply   time.Duration // configApplyMs: within which an acknowledged configuration is in force everywhere
	RollbackSlack time.Duration // rollbackSlackMs
	MaxSkew       time.Duration // maxSkewMs
	Recovery      time.Duration // recoveryS: within which service is back after a final fault
	MaxLease      time.Duration // holdMaxMs: longest hold a runner takes
	Stop          time.Duration // stop_ms: longest time a run takes to stop
	Gang          time.Duration // gang_ms: how long a gang's member waits for the others
	Cancel        time.Duration // cancel_ms: nothing of a cancelled job starts after so long
	Visible       time.Duration // visible_ms: an accepted job is known everywhere after so long
	Early         time.Duration // early_ms: how far ahead of its time a task may start
	Finish        time.Duration // finish_s: from the end of traffic to the last questions
	Status        time.Duration // status_s: how long a job's state is kept at least
	Far           float64       // far_x: factor on a task's time away from its data
	Save          time.Duration // save_s: work between two checkpoints
	Restore       time.Duration // restore_ms: time to go on from a checkpoint
}

// ServesRole tells whether the process serves what name says.
func (s *Settings) ServesRole(name string) bool {
	for _, served := range s.Serves {
		if served == name {
			return true
		}
	}
	return false
}

// InternalAddress returns the ip:port at which this process takes what other processes say to it.
func (s *Settings) InternalAddress() string { return s.internalAddressOf(s.IP) }

// SeedInternalAddresses returns the internal addresses of the seeds, in the order of the file. The ports are the same
// on all machines.
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
