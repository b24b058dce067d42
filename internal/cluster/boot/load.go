package boot

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"ospreypond/internal/cluster/failure"
)

const (
	standardHeartbeatMs = 1500
	standardMemoryMB    = 128
	standardDescriptors = 1024
	mostMB              = 1 << 30
	mostCores           = 4096
	mostDescriptors     = 1 << 30
	mostMbps            = 1e9
	mostPort            = 65535
	mostTolerance       = 1 << 20
	mostHeartbeatMs     = 3600 * 1000
)

// Load reads the settings file at path. Keys it does not know are passed over. The error is of kind Invalid and names
// every fault by its key.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, failure.Newf(failure.Invalid, "the variable %s is not set: it names the settings file", Variable)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Newf(failure.Invalid, "settings file (variable %s): %v", Variable, err)
	}
	return Parse(data)
}

// Parse is Load for the file's content.
func Parse(data []byte) (*Settings, error) {
	root := &object{faults: &faults{}}
	if err := json.Unmarshal(data, &root.values); err != nil {
		return nil, failure.Newf(failure.Invalid, "settings: not a JSON object: %v", err)
	}
	settings := read(root)
	check(root, settings)
	if found := root.faults.lines; len(found) > 0 {
		return nil, failure.New(failure.Invalid, "settings: "+strings.Join(found, "; "))
	}
	return settings, nil
}

func read(root *object) *Settings {
	return &Settings{
		NodeName:          root.requiredText("nodeName"),
		Role:              root.requiredText("role"),
		MachineClass:      root.text("machineClass"),
		Serves:            root.texts("serves"),
		IP:                root.requiredText("ip"),
		Zone:              root.requiredText("zone"),
		Region:            root.text("region"),
		Zones:             root.textsByName("zones"),
		Listen:            root.textsByName("listen"),
		InternalPorts:     readPorts(root),
		Seeds:             root.texts("seeds"),
		Bootstrap:         root.truth("bootstrap"),
		CountsForQuorum:   root.truth("countsForQuorum"),
		Limits:            readLimits(root.object("limits")),
		DataDir:           root.text("dataDir"),
		Discovery:         root.text("discovery"),
		Entry:             root.text("entry"),
		HeartbeatInterval: readHeartbeatInterval(root),
		Contracts:         root.texts("contracts"),
		FaultTolerance:    readTolerance(root.object("faultTolerance")),
		Bounds:            readBounds(root.object("bounds")),
		Commands:          root.text("commands"),
		App:               root.address("app"),
		Service:           root.text("service"),
	}
}

func readHeartbeatInterval(root *object) time.Duration {
	milliseconds := root.number("heartbeatIntervalMs", standardHeartbeatMs, 1, mostHeartbeatMs)
	return time.Duration(milliseconds * float64(time.Millisecond))
}

func readLimits(limits *object) Limits {
	return Limits{
		CPUShare:        limits.number("cpuShare", 1, 0, mostCores),
		Cores:           limits.whole("cores", 1, 1, mostCores),
		MemoryMB:        limits.whole("memoryMb", standardMemoryMB, 1, mostMB),
		FileDescriptors: limits.whole("fileDescriptors", standardDescriptors, 1, mostDescriptors),
		LinkMbps:        limits.number("linkMbps", 0, 0, mostMbps),
		DiskMB:          limits.whole("diskMb", 0, 0, mostMB),
	}
}

func readTolerance(tolerance *object) FaultTolerance {
	return FaultTolerance{
		Machines: tolerance.whole("machines", 0, 0, mostTolerance),
		Zones:    tolerance.whole("zones", 0, 0, mostTolerance),
		Regions:  tolerance.whole("regions", 0, 0, mostTolerance),
	}
}

func readPorts(root *object) [2]int {
	const key = "internalPorts"
	if _, ok := root.raw(key); !ok {
		root.fault(key, "is missing")
		return [2]int{}
	}
	var ports []int
	if !root.decode(key, &ports, "a list of two ports") {
		return [2]int{}
	}
	if len(ports) != 2 || ports[0] < 1 || ports[1] < ports[0] || ports[1] > mostPort {
		root.fault(key, "the first and the last of some ports are due, found %v", ports)
		return [2]int{}
	}
	return [2]int{ports[0], ports[1]}
}

// check looks at what a single key can't tell.
func check(root *object, settings *Settings) {
	if settings.IP != "" {
		if _, err := netip.ParseAddr(settings.IP); err != nil {
			root.fault("ip", "an IP address is due, found %q", settings.IP)
		}
	}
	if _, ok := root.raw("seeds"); !ok {
		root.fault("seeds", "is missing")
	}
	for i, seed := range settings.Seeds {
		root.checkAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
	checkCommands(root, settings.Commands)
	checkListen(root, settings)
}

func checkCommands(root *object, commands string) {
	switch commands {
	case "", CommandsHeartbeat, CommandsInvocation:
	default:
		root.fault("commands", "%q is neither %q nor %q", commands, CommandsHeartbeat, CommandsInvocation)
	}
}

// listensFor tells which addresses are needed for what a process serves.
var listensFor = map[string][]string{
	ServesFrontend: {ListenFrontend, ListenReadiness},
	ServesSide:     {ListenControl},
	ServesControl:  {ListenControl},
}

func checkListen(root *object, settings *Settings) {
	for _, key := range []string{ListenFrontend, ListenReadiness, ListenControl} {
		if address, ok := settings.Listen[key]; ok {
			root.checkAddress("listen."+key, address)
		}
	}
	for _, served := range settings.Serves {
		for _, key := range listensFor[served] {
			if _, ok := settings.Listen[key]; !ok {
				root.fault("listen."+key, "is missing, needed to serve %q", served)
			}
		}
	}
}
