package localcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/boot"
)

// Ports of the processes, the same on all machines.
const (
	controlPort   = 8144 // of control processes, for operators; of agents, for their runner's heartbeats
	frontendPort  = 8149 // of frontends, for clients
	readinessPort = 8141 // of frontends, for load balancers' readiness checks
	runnerPort    = 8080 // of stand-in runners; no program listens there
	internalPort  = 7380 // first port for traffic between processes, the only one in use
	lastPort      = 7395 // last port for that traffic
)

// demoService is the service of the stand-in runners.
const demoService = "demo"

// graceSeconds is the setting bounds.graceS, the time from SIGTERM to SIGKILL. It is short, because there is no load
// balancer that first has to notice that a frontend stops.
const graceSeconds = 2

// region is the region of all zones.
const region = "local"

var zones = []string{"zone-a", "zone-b", "zone-c"}

// machine is one loopback address. It stands for a machine that runs one process.
type machine struct {
	name   string
	role   string // role of the process, and the command that runs it
	class  string // key machineClass of the settings
	serves string // the only element of the key serves
	ip     string
	zone   string
	dir    string // folder for the process's settings, log and data
}

// newMachines returns the machines of a system whose folder is dir. Their addresses are in a loopback network.
// network has the first three numbers of these addresses, such as "127.77.0".
func newMachines(dir, network string) ([]*machine, error) {
	plan := []struct {
		role, class, serves string
		count, firstHost    int
	}{
		{boot.RoleControl, "core", boot.ServesControl, 3, 11},
		{boot.RoleFrontend, "frontend", boot.ServesFrontend, 2, 21},
		{boot.RoleAgent, "side", boot.ServesSide, 2, 31},
	}
	var machines []*machine
	for _, part := range plan {
		for i := range part.count {
			name := fmt.Sprintf("%s-%d", part.role, i+1)
			ip := fmt.Sprintf("%s.%d", network, part.firstHost+i)
			address, err := netip.ParseAddr(ip)
			if err != nil || !address.IsLoopback() {
				return nil, errors.Errorf("network %q is not of the form 127.N.N", network)
			}
			machines = append(machines, &machine{
				name: name, role: part.role, class: part.class, serves: part.serves,
				ip: ip, zone: zones[i%len(zones)], dir: filepath.Join(dir, name),
			})
		}
	}
	return machines, nil
}

// withRole returns the machines of a role.
func withRole(machines []*machine, role string) []*machine {
	var found []*machine
	for _, m := range machines {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (m *machine) settingsPath() string { return filepath.Join(m.dir, "settings.json") }
func (m *machine) logPath() string      { return filepath.Join(m.dir, "log") }
func (m *machine) dataDir() string      { return filepath.Join(m.dir, "data") }

// listens returns the addresses for the key listen of the settings, by the names of the listeners.
func (m *machine) listens() map[string]string {
	if m.serves == boot.ServesFrontend {
		return map[string]string{
			boot.ListenFrontend: m.address(frontendPort), boot.ListenReadiness: m.address(readinessPort),
		}
	}
	return map[string]string{boot.ListenControl: m.address(controlPort)}
}

// settingsFile is the content of a process's settings file. docs/settings.md describes the keys.
type settingsFile struct {
	NodeName            string            `json:"nodeName"`
	Role                string            `json:"role"`
	MachineClass        string            `json:"machineClass"`
	Serves              []string          `json:"serves"`
	IP                  string            `json:"ip"`
	Zone                string            `json:"zone"`
	Region              string            `json:"region"`
	Listen              map[string]string `json:"listen"`
	InternalPorts       [2]int            `json:"internalPorts"`
	Seeds               []string          `json:"seeds"`
	Bootstrap           bool              `json:"bootstrap"`
	CountsForQuorum     bool              `json:"countsForQuorum"`
	HeartbeatIntervalMs int               `json:"heartbeatIntervalMs"`
	Commands            string            `json:"commands"`
	FaultTolerance      tolerance         `json:"faultTolerance"`
	Bounds              bounds            `json:"bounds"`
	Limits              limits            `json:"limits"`
	DataDir             string            `json:"dataDir,omitempty"` // only for control processes
	App                 string            `json:"app,omitempty"`     // only for agents: the address of the runner
	Service             string            `json:"service,omitempty"` // only for agents: the service of the runner
}

// tolerance is the number of machines that may fail at the same time.
type tolerance struct {
	Machines int `json:"machines"`
}

// bounds has the bounds that differ from their defaults.
type bounds struct {
	GraceS int `json:"graceS"` // seconds
}

// limits are the resources that a process may use. boot.Limits says which limits have an effect.
type limits struct {
	MemoryMB        int `json:"memoryMb"`
	FileDescriptors int `json:"fileDescriptors"`
	DiskMB          int `json:"diskMb"`
}

// writeSettings writes the settings file of the machine's process. The seeds are the control processes among machines.
func (m *machine) writeSettings(machines []*machine, bootstrap bool) error {
	if err := os.MkdirAll(m.dir, 0o700); err != nil {
		return err
	}
	var seeds []string
	for _, control := range withRole(machines, boot.RoleControl) {
		seeds = append(seeds, control.address(controlPort))
	}
	settings := settingsFile{
		NodeName:            m.name,
		Role:                m.role,
		MachineClass:        m.class,
		Serves:              []string{m.serves},
		IP:                  m.ip,
		Zone:                m.zone,
		Region:              region,
		Listen:              m.listens(),
		InternalPorts:       [2]int{internalPort, lastPort},
		Seeds:               seeds,
		Bootstrap:           bootstrap,
		CountsForQuorum:     m.role == boot.RoleControl,
		HeartbeatIntervalMs: 1500,
		Commands:            boot.CommandsHeartbeat,
		FaultTolerance:      tolerance{Machines: 1},
		Bounds:              bounds{GraceS: graceSeconds},
		Limits:              limits{MemoryMB: 280, FileDescriptors: 4096, DiskMB: 128},
	}
	if m.role == boot.RoleControl {
		settings.DataDir = m.dataDir()
	}
	if m.role == boot.RoleAgent {
		settings.App = m.address(runnerPort)
		settings.Service = demoService
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(m.settingsPath(), append(data, '\n'), 0o600)
}

// checkAddressesFree returns an error if another program listens at an address that a machine's process needs.
func checkAddressesFree(ctx context.Context, machines []*machine) error {
	var config net.ListenConfig
	for _, m := range machines {
		ports := []int{internalPort, controlPort}
		if m.role == boot.RoleFrontend {
			ports = []int{frontendPort, readinessPort}
		}
		for _, port := range ports {
			listener, err := config.Listen(ctx, "tcp", m.address(port))
			if err != nil {
				return errors.Wrap(err, "an address of the local system cannot be used; stop what listens there, or use another --network")
			}
			_ = listener.Close()
		}
	}
	return nil
}
