// Package config reads a dispatcher's configuration file, checks it and applies the defaults; no other package reads
// the file. Load and Reload return either a complete and valid Config, or an error that names the invalid key or
// environment variable. A returned Config must not be changed, so any goroutine may read it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"ospreypond/internal/dispatcher/routetable"
	"ospreypond/policy"
)

// Config is a dispatcher's configuration: the keys of the file, some replaced by environment variables, and
// the values that are derived from them.
type Config struct {
	Name      string          `json:"name"`      // this dispatcher's name; may be empty without a fleet
	Listen    string          `json:"listen"`    // host:port at which clients connect
	Discovery string          `json:"discovery"` // host:port of discovery, which serves the list of runners
	Console   string          `json:"console"`   // host:port of the operators' console; empty: no console
	SeedText  string          `json:"seed"`      // seed of the random numbers, in hex; any other text is hashed
	Limits    Limits          `json:"limits"`
	Known     routetable.List `json:"known"` // the list of runners as this dispatcher last received it
	Settings  Settings        `json:"settings"`

	Seed          uint64          `json:"-"` // from SeedText
	Policy        policy.Settings `json:"-"` // Settings translated for the decision module, with defaults
	fileDiscovery string          // discovery as the file has it, without LB_DISCOVERY
	keys          []string        // all keys of the file's settings, as sorted dotted paths
	LogLevel      logrus.Level    `json:"-"` // from LB_LOG_LEVEL
}

// Limits are the platform's limits for the process. A missing or zero limit has its default.
type Limits struct {
	Cores    float64 `json:"cores"`     // CPU cores; may be a fraction
	MemoryMB int     `json:"memory_mb"` // memory in MiB
	Sockets  int     `json:"sockets"`   // open file descriptors; at least minSockets
}

// Defaults of missing keys, and bounds of derived values.
const (
	defaultCores          = 1    // limits.cores
	defaultMemoryMB       = 192  // limits.memory_mb, in MiB
	defaultSockets        = 1024 // limits.sockets, in file descriptors
	defaultPeriod         = 2 * time.Millisecond
	defaultConnectTimeout = 200 * time.Millisecond
	defaultIdleTimeout    = 5 * time.Second
	defaultDiscoveryHold  = 5 * time.Second
	pushDiscoveryHold     = 2 * time.Second // reopens a hung watch well before routetable's noticeAfterSilence
	maxDiscoveryHold      = time.Minute     // discovery holds no call longer
	maxStopTimeout        = 3 * time.Second // at a planned restart the platform waits for no longer deadline
	minSockets            = 64              // fewer are too few for clients, runners and the program's own use
)

// Load reads and checks the file that LB_CONFIG names. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONSOLE, if set,
// replace the file's values of those keys. LB_LOG_LEVEL sets the log level; its default is info. The error is a
// *KeyError or a *SourceError.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, nil) }

// Reload reads and checks the file again and returns the configuration that replaces c. If the new file has another
// discovery than the previous file, the new address applies even if LB_DISCOVERY is set: an operator who replaces the
// file of a running process means the new address. Otherwise the address stays. NeedRestart returns the changed keys
// that apply only after a restart. After an error the caller keeps c.
func (c *Config) Reload(getenv func(string) string) (*Config, error) { return load(getenv, c) }

// NeedRestart returns the keys that differ between c and next and that apply only after a restart. It leaves out the
// keys seed and known, which a dispatcher reads only at its start.
func (c *Config) NeedRestart(next *Config) (keys []string) {
	for _, k := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name}, {"listen", c.Listen == next.Listen}, {"console", c.Console == next.Console},
		{"limits", c.Limits == next.Limits},
	} {
		if !k.same {
			keys = append(keys, k.name)
		}
	}
	return keys
}

func load(getenv func(string) string, old *Config) (*Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, &SourceError{Variable: "LB_CONFIG", Problem: "is not set", Fix: "set it to the path of the configuration file"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &SourceError{Variable: "LB_CONFIG", Problem: "cannot be read", Fix: "set it to the path of a file that this user may read", Err: err}
	}
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, &KeyError{wrong.Field, fmt.Sprintf("found a %s, expected a %s", wrong.Value, wrong.Type), "give a value of the expected type"}
		}
		return nil, &SourceError{Variable: "LB_CONFIG", Problem: path + " is not valid JSON", Fix: "write a complete file, and replace the old one atomically", Err: err}
	}
	c.fileDiscovery = c.Discovery
	for _, v := range []struct {
		name string
		to   *string
	}{{"LB_NAME", &c.Name}, {"LB_LISTEN", &c.Listen}, {"LB_DISCOVERY", &c.Discovery}, {"LB_CONSOLE", &c.Console}} {
		if s := getenv(v.name); s != "" {
			*v.to = s
		}
	}
	if old != nil && c.fileDiscovery != old.fileDiscovery {
		c.Discovery = c.fileDiscovery
	} else if old != nil {
		c.Discovery = old.Discovery
	}
	c.LogLevel = logrus.InfoLevel
	if s := getenv("LB_LOG_LEVEL"); s != "" {
		if c.LogLevel, err = logrus.ParseLevel(s); err != nil {
			return nil, &SourceError{Variable: "LB_LOG_LEVEL", Problem: "is not a log level", Fix: "use error, warning, info or debug", Err: err}
		}
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	if err := c.checkKeys(text, old); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) check() error {
	key := func(key, fix, format string, args ...any) error {
		return &KeyError{key, fmt.Sprintf(format, args...), fix}
	}
	for _, a := range []struct{ name, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, port, err := net.SplitHostPort(a.addr); err != nil || port == "" {
			return key(a.name, "write host:port", "%q is not host:port", a.addr)
		}
	}
	if _, port, err := net.SplitHostPort(c.Console); c.Console != "" && (err != nil || port == "") {
		return key("console", "write host:port, or leave it out", "%q is not host:port", c.Console)
	}
	l := &c.Limits
	setDefault(&l.Cores, defaultCores)
	setDefault(&l.MemoryMB, defaultMemoryMB)
	setDefault(&l.Sockets, defaultSockets)
	switch {
	case l.Cores < 0:
		return key("limits.cores", "give the number of cores, or leave it out for 1", "%v is negative", l.Cores)
	case l.MemoryMB < 0:
		return key("limits.memory_mb", "give the memory in MiB, or leave it out for 192", "%v is negative", l.MemoryMB)
	case l.Sockets < minSockets:
		return key("limits.sockets", "allow more, or leave it out for 1,024", "%d is under the minimum, %d", l.Sockets, minSockets)
	}
	if err := c.Known.Check(); err != nil {
		return key("known", "correct the entry, or leave it out", "%v", err)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(c.SeedText, 16, 64); err != nil {
		h := fnv.New64a()
		h.Write([]byte(c.SeedText))
		c.Seed = h.Sum64()
	}
	if err := c.Settings.check(); err != nil {
		return err
	}
	if c.Policy, err = c.Settings.Policy(); err != nil {
		return err
	}
	p := &c.Policy
	setDefault(&p.MinStepInterval, defaultPeriod)
	setDefault(&p.ConnectTimeout, defaultConnectTimeout)
	setDefault(&p.ConnIdleTimeout, defaultIdleTimeout)
	return nil
}

func setDefault[T comparable](v *T, to T) {
	var zero T
	if *v == zero {
		*v = to
	}
}

// Procs returns how many threads may run Go code at the same time (GOMAXPROCS): limits.cores, rounded up.
func (c *Config) Procs() int { return max(1, int(math.Ceil(c.Limits.Cores))) }

// MemoryTarget returns the memory limit of the Go runtime in bytes (GOMEMLIMIT): three quarters of the platform's
// limit. The last quarter is for memory that the runtime does not count, and for allocations until the garbage
// collector reacts.
func (c *Config) MemoryTarget() int64 { return int64(c.Limits.MemoryMB) << 20 / 4 * 3 }

// SocketBudget divides the allowed descriptors between connections of clients and connections to runners (targets).
//
//   - minSockets/2 are reserved for discovery, the listener and the runtime.
//   - Clients get 3/8: at most a third is for clients with a request, and the rest lets the listener tell those from
//     quiet connections.
//   - MaxLingering more are for clients' connections that are being closed.
//   - Targets get the remainder. Unless Sockets is near minSockets, it is the largest part, because hedged requests and
//     idle connections need the most.
func (c *Config) SocketBudget() (clients, targets int) {
	clients = c.Limits.Sockets * 3 / 8
	return clients, c.Limits.Sockets - minSockets/2 - clients - MaxLingering(clients)
}

// MaxLingering returns how many further connections of clients may be in the process of closing while the given number
// of connections may be open.
func MaxLingering(clients int) int { return max(2, clients/8) }

// BodyBudget returns how many bytes of request bodies may be in memory at the same time: an eighth of the limit.
func (c *Config) BodyBudget() int64 { return int64(c.Limits.MemoryMB) << 20 / 8 }

// DiscoveryHold returns how long discovery may hold a call for a watch (a long poll) before it responds without a change.
// During a partition the platform counts a dispatcher as notified of a change a fixed time after the end of the hold at
// the latest, so a short hold keeps the list's age within settings.rules.askWithinUs. A very short one would overload
// discovery, which all dispatchers share.
func (c *Config) DiscoveryHold() time.Duration {
	hold := c.Policy.MaxListAge / 2
	if !c.Policy.ListOnDemand {
		return pushDiscoveryHold
	}
	if hold <= 0 {
		hold = defaultDiscoveryHold
	}
	return min(hold, maxDiscoveryHold)
}

// DrainGrace returns for how long a dispatcher may still send requests to a runner after the notice that the runner
// drains; 0: no limit is set.
func (c *Config) DrainGrace() time.Duration {
	return time.Duration(c.Settings.Rules.DrainGraceUs * float64(time.Microsecond))
}

// StopTimeout returns for how long open requests may still run after the signal to stop: the longest deadline of a
// class, but at most maxStopTimeout. The platform kills the process no earlier than 0.7 s after that.
func (c *Config) StopTimeout() time.Duration {
	var maxDeadline time.Duration
	for _, k := range c.Policy.Classes {
		maxDeadline = max(maxDeadline, k.Deadline)
	}
	return min(maxDeadline, maxStopTimeout)
}
