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

// Ports, the same on all machines.
const (
	controlPort   = 8144
	frontendPort  = 8149
	readinessPort = 8141
	runnerPort    = 8080
	internalPort  = 7380
	lastPort      = 7395
)

// demoService is the service of the stand-in runners.
const demoService = "demo"

// graceSeconds is short: no load balancer has to notice first that a frontend stops.
const graceSeconds = 2

// region is the region of all zones.
const region = "local"

var zones = []string{"zone-a", "zone-b", "zone-c"}

// machine is one loopback address, which stands for a machine with one process.
type machine struct {
	name   string
	role   string // command of the process
	class  string
	serves string
	ip     string
	zone   string
	dir    string
}

// newMachines returns the machines of a system in a folder, at addresses of a loopback network given by its first three
// numbers.
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

// listens returns the addresses at which the machine's process serves, by the keys of the settings.
func (m *machine) listens() map[string]string {
	if m.serves == boot.ServesFrontend {
		return map[string]string{
			boot.ListenFrontend: m.address(frontendPort), boot.ListenReadiness: m.address(readinessPort),
		}
	}
	return map[string]string{boot.ListenControl: m.address(controlPort)}
}

// settingsFile is the settings file of a process; docs/settings.md describes the keys.
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
	DataDir             string            `json:"dataDir,omitempty"` // of control processes
	App                 string            `json:"app,omitempty"`     // of agents: the runner's address
	Service             string            `json:"service,omitempty"` // of agents: the runner's service
}

// tolerance says what may fail at the same time.
type tolerance struct {
	Machines int `json:"machines"`
}

// bounds are the times that differ from their defaults.
type bounds struct {
	GraceS int `json:"graceS"`
}

// limits are the resources that a process may use.
type limits struct {
	MemoryMB        int `json:"memoryMb"`
	FileDescriptors int `json:"fileDescriptors"`
	DiskMB          int `json:"diskMb"`
}

// writeSettings writes the settings file of the machine's process.
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

// checkAddressesFree returns an error if an address at which a machine's process listens is in use.
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
				return errors.Wrap(err, "is another local system running? Use another --network")
			}
			_ = listener.Close()
		}
	}
	return nil
}
