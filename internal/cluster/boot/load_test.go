package boot_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/failure"
)

// complete returns the settings of a control process, as a JSON object that a test may change. No required key is absent.
func complete() map[string]any {
	return map[string]any{
		"nodeName":            "core-sur-2",
		"role":                "control",
		"machineClass":        "core",
		"serves":              []any{"control_plane"},
		"ip":                  "10.3.0.7",
		"zone":                "sur",
		"region":              "south",
		"zones":               map[string]any{"sur": "south", "norte": "south"},
		"listen":              map[string]any{"control": "10.3.0.7:9001"},
		"internalPorts":       []any{7400, 7410},
		"seeds":               []any{"10.1.0.2:9001", "10.2.0.2:9001"},
		"bootstrap":           true,
		"countsForQuorum":     true,
		"limits":              map[string]any{"cpuShare": 0.8, "cores": 1, "memoryMb": 200, "fileDescriptors": 4096, "linkMbps": 1000.0, "diskMb": 128},
		"dataDir":             "/data/control",
		"discovery":           "local",
		"entry":               "virtual_ip",
		"heartbeatIntervalMs": 1500,
		"contracts":           []any{"base", "sched"},
		"faultTolerance":      map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":              map[string]any{"contactMs": 2500, "graceS": 7, "gang_ms": 1200, "status_s": 90, "far_x": 1.75, "restore_ms": 100, "save_s": 0.5},
		"commands":            "heartbeat",
	}
}

// parse parses settings in the form of a JSON object.
func parse(settings map[string]any) (*boot.Settings, error) {
	GinkgoHelper()
	data, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	return boot.Parse(data)
}

var _ = Describe("the reader of settings files", func() {
	It("decodes every key", func() {
		settings, err := parse(complete())
		Expect(err).NotTo(HaveOccurred())
		bounds := boot.DefaultBounds()
		bounds.Contact = 2500 * time.Millisecond
		bounds.Grace = 7 * time.Second
		bounds.GangWait = 1200 * time.Millisecond
		bounds.StatusRetention = 90 * time.Second
		bounds.FarFactor = 1.75
		bounds.Restore = 100 * time.Millisecond
		bounds.CheckpointInterval = 500 * time.Millisecond
		Expect(settings).To(Equal(&boot.Settings{
			NodeName: "core-sur-2", Role: "control", MachineClass: "core", Serves: []string{"control_plane"},
			IP: "10.3.0.7", Zone: "sur", Region: "south",
			Zones:         map[string]string{"sur": "south", "norte": "south"},
			Listen:        map[string]string{"control": "10.3.0.7:9001"},
			InternalPorts: [2]int{7400, 7410},
			Seeds:         []string{"10.1.0.2:9001", "10.2.0.2:9001"},
			Bootstrap:     true, CountsForQuorum: true,
			Limits:  boot.Limits{CPUShare: 0.8, Cores: 1, MemoryMB: 200, FileDescriptors: 4096, LinkMbps: 1000, DiskMB: 128},
			DataDir: "/data/control", Discovery: "local", Entry: "virtual_ip",
			HeartbeatInterval: 1500 * time.Millisecond,
			Contracts:         []string{"base", "sched"},
			FaultTolerance:    boot.FaultTolerance{Machines: 1},
			Bounds:            bounds,
			Commands:          "heartbeat",
		}))
	})

	It("returns settings that know the internal addresses and the callers that the process serves", func() {
		settings, err := parse(complete())
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.InternalAddress()).To(Equal("10.3.0.7:7400"))
		Expect(settings.SeedInternalAddresses()).To(Equal([]string{"10.1.0.2:7400", "10.2.0.2:7400"}))
		Expect(settings.ServesRole(boot.ServesControl)).To(BeTrue())
		Expect(settings.ServesRole(boot.ServesSide)).To(BeFalse())
	})

	It("decodes the settings of a runner's machine", func() {
		changed := complete()
		changed["serves"] = []any{"side"}
		changed["dataDir"] = nil
		changed["app"] = "10.3.0.7:9002"
		changed["service"] = "prices"
		settings, err := parse(changed)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.DataDir).To(BeEmpty())
		Expect(settings.App).To(Equal("10.3.0.7:9002"))
		Expect(settings.Service).To(Equal("prices"))
	})

	DescribeTable("accepts a file in which a key is absent or null:",
		func(key string) {
			changed := complete()
			delete(changed, key)
			_, err := parse(changed)
			Expect(err).NotTo(HaveOccurred())
			changed[key] = nil
			_, err = parse(changed)
			Expect(err).NotTo(HaveOccurred())
		},
		Entry(nil, "machineClass"), Entry(nil, "region"), Entry(nil, "zones"), Entry(nil, "bootstrap"),
		Entry(nil, "countsForQuorum"), Entry(nil, "limits"), Entry(nil, "dataDir"), Entry(nil, "discovery"),
		Entry(nil, "entry"), Entry(nil, "heartbeatIntervalMs"), Entry(nil, "contracts"), Entry(nil, "faultTolerance"),
		Entry(nil, "bounds"), Entry(nil, "commands"),
	)

	It("ignores unknown keys", func() {
		changed := complete()
		changed["tomorrow"] = map[string]any{"a": []any{1, "b"}}
		changed["bounds"].(map[string]any)["later_ms"] = "soon"
		_, err := parse(changed)
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("reports each problem with its key",
		func(change func(map[string]any), keys ...string) {
			changed := complete()
			change(changed)
			_, err := parse(changed)
			Expect(failure.KindOf(err)).To(Equal(failure.Invalid))
			for _, key := range keys {
				Expect(err.Error()).To(ContainSubstring(key + ": "))
			}
		},
		Entry("a missing name", func(s map[string]any) { delete(s, "nodeName") }, "nodeName"),
		Entry("an empty name", func(s map[string]any) { s["nodeName"] = "" }, "nodeName"),
		Entry("a number for a name", func(s map[string]any) { s["role"] = 7 }, "role"),
		Entry("no zone", func(s map[string]any) { delete(s, "zone") }, "zone"),
		Entry("no address", func(s map[string]any) { s["ip"] = nil }, "ip"),
		Entry("a name for an address", func(s map[string]any) { s["ip"] = "localhost" }, "ip"),
		Entry("a string for a list", func(s map[string]any) { s["serves"] = "side" }, "serves"),
		Entry("a list for an object", func(s map[string]any) { s["zones"] = []any{"sur"} }, "zones"),
		Entry("an object of numbers", func(s map[string]any) { s["listen"] = map[string]any{"control": 9001} }, "listen"),
		Entry("a port that is too high", func(s map[string]any) { s["listen"] = map[string]any{"control": "10.3.0.7:99999"} }, "listen.control"),
		Entry("missing addresses for what the process serves", func(s map[string]any) { s["serves"] = []any{"frontend"} }, "listen.frontend", "listen.readiness"),
		Entry("no ports", func(s map[string]any) { delete(s, "internalPorts") }, "internalPorts"),
		Entry("one port", func(s map[string]any) { s["internalPorts"] = []any{7400} }, "internalPorts"),
		Entry("a last port below the first", func(s map[string]any) { s["internalPorts"] = []any{7410, 7400} }, "internalPorts"),
		Entry("a port that is no integer", func(s map[string]any) { s["internalPorts"] = []any{7400.5, 7410} }, "internalPorts"),
		Entry("missing seeds", func(s map[string]any) { delete(s, "seeds") }, "seeds"),
		Entry("a seed without a port", func(s map[string]any) { s["seeds"] = []any{"10.1.0.2:9001", "10.2.0.2"} }, "seeds[1]"),
		Entry("a string for a bool", func(s map[string]any) { s["bootstrap"] = "yes" }, "bootstrap"),
		Entry("a memory limit of 0", func(s map[string]any) { s["limits"] = map[string]any{"memoryMb": 0} }, "limits.memoryMb"),
		Entry("a fractional number of cores", func(s map[string]any) { s["limits"] = map[string]any{"cores": 1.5} }, "limits.cores"),
		Entry("a negative CPU share", func(s map[string]any) { s["limits"] = map[string]any{"cpuShare": -1} }, "limits.cpuShare"),
		Entry("limits that are a number", func(s map[string]any) { s["limits"] = 3 }, "limits"),
		Entry("a negative number of zones", func(s map[string]any) { s["faultTolerance"] = map[string]any{"zones": -1} }, "faultTolerance.zones"),
		Entry("an interval of 0 between heartbeats", func(s map[string]any) { s["heartbeatIntervalMs"] = 0 }, "heartbeatIntervalMs"),
		Entry("a string for a time", func(s map[string]any) { s["bounds"] = map[string]any{"graceS": "6s"} }, "bounds.graceS"),
		Entry("a negative time", func(s map[string]any) { s["bounds"] = map[string]any{"gang_ms": -5} }, "bounds.gang_ms"),
		Entry("a time above the limit", func(s map[string]any) { s["bounds"] = map[string]any{"status_s": 1e12} }, "bounds.status_s"),
		Entry("a factor below 1", func(s map[string]any) { s["bounds"] = map[string]any{"far_x": 0.5} }, "bounds.far_x"),
		Entry("an unknown value of commands", func(s map[string]any) { s["commands"] = "shouting" }, "commands"),
		Entry("a runner's address that is not ip:port", func(s map[string]any) { s["app"] = "here" }, "app"),
		Entry("several problems", func(s map[string]any) {
			delete(s, "zone")
			s["seeds"] = []any{"?"}
			s["bounds"] = map[string]any{"stop_ms": "x"}
		}, "zone", "seeds[0]", "bounds.stop_ms"),
	)

	DescribeTable("rejects a file that is not a JSON object",
		func(content string) {
			path := filepath.Join(GinkgoT().TempDir(), "boot.json")
			Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
			_, err := boot.Load(path)
			Expect(failure.KindOf(err)).To(Equal(failure.Invalid))
		},
		Entry("an empty file", ""), Entry("a list", "[]"), Entry("truncated", `{"nodeName":`), Entry("null", "null"),
	)

	It("reports a missing file with its path", func() {
		path := filepath.Join(GinkgoT().TempDir(), "none.json")
		_, err := boot.Load(path)
		Expect(failure.KindOf(err)).To(Equal(failure.Invalid))
		Expect(err.Error()).To(ContainSubstring(path))
		Expect(err.Error()).To(ContainSubstring(boot.PathVariable))
	})
})

var _ = Describe("Limits", func() {
	It("are applied to the Go runtime, with a memory limit below that of the settings", func() {
		processors, limit, percent := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1), debug.SetGCPercent(100)
		DeferCleanup(func() {
			runtime.GOMAXPROCS(processors)
			debug.SetMemoryLimit(limit)
			debug.SetGCPercent(percent)
		})
		limits := boot.Limits{MemoryMB: 200}
		Expect(limits.MemoryLimit()).To(Equal(int64(120 << 20)))
		limits.Apply()
		Expect(runtime.GOMAXPROCS(0)).To(Equal(1))
		Expect(debug.SetMemoryLimit(-1)).To(Equal(int64(120 << 20)))
	})
})
