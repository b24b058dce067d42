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

// Values of absent keys, and bounds above which a value is taken for a mistake.
const (
	defaultHeartbeatMs = 1500        // heartbeatIntervalMs
	defaultMemoryMB    = 128         // limits.memoryMb
	defaultDescriptors = 1024        // limits.fileDescriptors
	maxMB              = 1 << 30     // limits.memoryMb, limits.diskMb
	maxCores           = 4096        // limits.cores, limits.cpuShare
	maxDescriptors     = 1 << 30     // limits.fileDescriptors
	maxMbps            = 1e9         // limits.linkMbps
	maxPort            = 65535       // internalPorts
	maxTolerance       = 1 << 20     // each key of faultTolerance
	maxHeartbeatMs     = 3600 * 1000 // heartbeatIntervalMs
)

// Load reads and validates the settings file at path. It ignores unknown keys, so that an older program can read a newer
// file. Its error is of kind failure.Invalid and lists every problem with its key.
func Load(path string) (*Settings, error) {
	if path == "" {
		return nil, failure.Newf(failure.Invalid, "the environment variable %s, the path of the settings file, is not set", PathVariable)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Newf(failure.Invalid, "settings file (environment variable %s): %v", PathVariable, err)
	}
	return Parse(data)
}

// Parse reads and validates the content of a settings file; see Load.
func Parse(data []byte) (*Settings, error) {
	root := &object{problems: &problems{}}
	if err := json.Unmarshal(data, &root.values); err != nil {
		return nil, failure.Newf(failure.Invalid, "settings: the file is not a JSON object: %v", err)
	}
	settings := read(root)
	check(root, settings)
	if found := root.problems.lines; len(found) > 0 {
		return nil, failure.New(failure.Invalid, "settings: "+strings.Join(found, "; "))
	}
	return settings, nil
}

// read decodes every key of the file. It adds problems to root.problems.
func read(root *object) *Settings {
	return &Settings{
		NodeName:          root.requiredString("nodeName"),
		Role:              root.requiredString("role"),
		MachineClass:      root.string("machineClass"),
		Serves:            root.strings("serves"),
		IP:                root.requiredString("ip"),
		Zone:              root.requiredString("zone"),
		Region:            root.string("region"),
		Zones:             root.stringMap("zones"),
		Listen:            root.stringMap("listen"),
		InternalPorts:     readPorts(root),
		Seeds:             root.strings("seeds"),
		Bootstrap:         root.bool("bootstrap"),
		CountsForQuorum:   root.bool("countsForQuorum"),
		Limits:            readLimits(root.object("limits")),
		DataDir:           root.string("dataDir"),
		Discovery:         root.string("discovery"),
		Entry:             root.string("entry"),
		HeartbeatInterval: readHeartbeatInterval(root),
		Contracts:         root.strings("contracts"),
		FaultTolerance:    readTolerance(root.object("faultTolerance")),
		Bounds:            readBounds(root.object("bounds")),
		Commands:          root.string("commands"),
		App:               root.address("app"),
		Service:           root.string("service"),
	}
}

// readHeartbeatInterval reads the key heartbeatIntervalMs.
func readHeartbeatInterval(root *object) time.Duration {
	milliseconds := root.number("heartbeatIntervalMs", defaultHeartbeatMs, 1, maxHeartbeatMs)
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// readLimits reads the object limits.
func readLimits(limits *object) Limits {
	return Limits{
		CPUShare:        limits.number("cpuShare", 1, 0, maxCores),
		Cores:           limits.integer("cores", 1, 1, maxCores),
		MemoryMB:        limits.integer("memoryMb", defaultMemoryMB, 1, maxMB),
		FileDescriptors: limits.integer("fileDescriptors", defaultDescriptors, 1, maxDescriptors),
		LinkMbps:        limits.number("linkMbps", 0, 0, maxMbps),
		DiskMB:          limits.integer("diskMb", 0, 0, maxMB),
	}
}

// readTolerance reads the object faultTolerance.
func readTolerance(tolerance *object) FaultTolerance {
	return FaultTolerance{
		Machines: tolerance.integer("machines", 0, 0, maxTolerance),
		Zones:    tolerance.integer("zones", 0, 0, maxTolerance),
		Regions:  tolerance.integer("regions", 0, 0, maxTolerance),
	}
}

// readPorts reads the key internalPorts, a list of the first and the last port of a range.
func readPorts(root *object) [2]int {
	const key = "internalPorts"
	if _, ok := root.raw(key); !ok {
		root.addProblem(key, "is missing")
		return [2]int{}
	}
	var ports []int
	if !root.decode(key, &ports, "a list of two ports") {
		return [2]int{}
	}
	if len(ports) != 2 || ports[0] < 1 || ports[1] < ports[0] || ports[1] > maxPort {
		root.addProblem(key, "expected the first and the last port of a range, found %v", ports)
		return [2]int{}
	}
	return [2]int{ports[0], ports[1]}
}

// check validates values that read has only decoded, and keys that are required because of the values of others. It adds
// problems to root.problems.
func check(root *object, settings *Settings) {
	if settings.IP != "" {
		if _, err := netip.ParseAddr(settings.IP); err != nil {
			root.addProblem("ip", "expected an IP address, found %q", settings.IP)
		}
	}
	if _, ok := root.raw("seeds"); !ok {
		root.addProblem("seeds", "is missing")
	}
	for i, seed := range settings.Seeds {
		root.checkAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
	checkCommands(root, settings.Commands)
	checkListen(root, settings)
}

// checkCommands adds a problem if commands isn't a value of Settings.Commands.
func checkCommands(root *object, commands string) {
	switch commands {
	case "", CommandsHeartbeat, CommandsInvocation:
	default:
		root.addProblem("commands", "%q is neither %q nor %q", commands, CommandsHeartbeat, CommandsInvocation)
	}
}

// addressesByService has for each value of Settings.Serves the keys of Settings.Listen that it requires.
var addressesByService = map[string][]string{
	ServesFrontend: {ListenFrontend, ListenReadiness},
	ServesSide:     {ListenControl},
	ServesControl:  {ListenControl},
}

// checkListen adds a problem for each address of Settings.Listen that isn't ip:port, and for each that Settings.Serves
// requires and that is missing.
func checkListen(root *object, settings *Settings) {
	for _, key := range []string{ListenFrontend, ListenReadiness, ListenControl} {
		if address, ok := settings.Listen[key]; ok {
			root.checkAddress("listen."+key, address)
		}
	}
	for _, served := range settings.Serves {
		for _, key := range addressesByService[served] {
			if _, ok := settings.Listen[key]; !ok {
				root.addProblem("listen."+key, "is missing, required to serve %q", served)
			}
		}
	}
}
