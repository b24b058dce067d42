// Package config reads and checks a dispatcher's configuration file and gives defaults; nothing else does. Load and
// Reload return a Config that is complete and valid, or an error that names the key or variable at fault. A Config is
// not changed after that and may be read from any goroutine.
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

// Config is a dispatcher's configuration: the file, the variables that replace parts of it, and what follows from
// them.
type Config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Console   string          `json:"console"` // the operators' address; empty: no console
	SeedText  string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     routetable.List `json:"known"` // the list of runners as this dispatcher last had it
	Settings  Settings        `json:"settings"`

	Seed     uint64          `json:"-"`
	Policy   policy.Settings `json:"-"` // Settings, as the decision module takes them
	inFile   string          // the file's own discovery, whatever LB_DISCOVERY is
	keys     []string        // of the settings, as dotted paths
	LogLevel logrus.Level    `json:"-"`
}

// Limits are the platform's limits for the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Defaults for what may be left out.
const (
	defaultCores          = 1
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultPeriod         = 2 * time.Millisecond
	defaultConnectTimeout = 200 * time.Millisecond
	defaultIdleTimeout    = 5 * time.Second
	defaultDiscoveryHold  = 5 * time.Second
	pushDiscoveryHold     = 2 * time.Second // a hung watch is reopened well before routetable's notice after silence
	maxDiscoveryHold      = time.Minute     // the longest that discovery holds a call
	maxStopTimeout        = 3 * time.Second // the longest deadline that the platform waits for at a planned restart
	minSockets            = 64              // fewer are not enough for clients and runners beside the program's own
)

// Load reads the file that LB_CONFIG names. LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONSOLE, if set, replace what it
// has, and LB_LOG_LEVEL (default info) sets how much is logged. Its error is a *KeyError or *SourceError.
func Load(getenv func(string) string) (*Config, error) { return load(getenv, nil) }

// Reload reads and checks the file again and returns the configuration in force from then on. Discovery is the new
// file's if it names another than the former file, even over LB_DISCOVERY: whoever replaces the file later than the
// process started means the new address. What needs a restart is named by NeedRestart. After an error c stays in
// force.
func (c *Config) Reload(getenv func(string) string) (*Config, error) { return load(getenv, c) }

// NeedRestart returns the keys that differ in next and that only a restart applies. The seed and the known list
// matter at the start only.
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
		return nil, &SourceError{Variable: "LB_CONFIG", Problem: "is not set", Fix: "let it name the configuration file"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &SourceError{Variable: "LB_CONFIG", Problem: "cannot be read", Fix: "let it name a file that this user may read", Err: err}
	}
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, &KeyError{wrong.Field, fmt.Sprintf("a %s where a %s is due", wrong.Value, wrong.Type), "mend its form"}
		}
		return nil, &SourceError{Variable: "LB_CONFIG", Problem: path + " is no JSON", Fix: "write the whole file, and replace it at once", Err: err}
	}
	c.inFile = c.Discovery
	for _, v := range []struct {
		name string
		to   *string
	}{{"LB_NAME", &c.Name}, {"LB_LISTEN", &c.Listen}, {"LB_DISCOVERY", &c.Discovery}, {"LB_CONSOLE", &c.Console}} {
		if s := getenv(v.name); s != "" {
			*v.to = s
		}
	}
	if old != nil && c.inFile != old.inFile {
		c.Discovery = c.inFile
	} else if old != nil {
		c.Discovery = old.Discovery
	}
	c.LogLevel = logrus.InfoLevel
	if s := getenv("LB_LOG_LEVEL"); s != "" {
		if c.LogLevel, err = logrus.ParseLevel(s); err != nil {
			return nil, &SourceError{Variable: "LB_LOG_LEVEL", Problem: "is no level", Fix: "error, warning, info or debug", Err: err}
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
		return key("limits.cores", "leave it out for 1", "%v is negative", l.Cores)
	case l.MemoryMB < 0:
		return key("limits.memory_mb", "leave it out for 192", "%v is negative", l.MemoryMB)
	case l.Sockets < minSockets:
		return key("limits.sockets", "allow more, or leave it out for 1,024", "%d is under %d, which is too few to serve", l.Sockets, minSockets)
	}
	if err := c.Known.Check(); err != nil {
		return key("known", "leave the entry out", "%v", err)
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

// Procs returns how many threads may run Go code at once (GOMAXPROCS).
func (c *Config) Procs() int { return max(1, int(math.Ceil(c.Limits.Cores))) }

// MemoryTarget returns the limit in bytes for the garbage collector (GOMEMLIMIT): the platform's limit less what it
// does not count and what it needs to react.
func (c *Config) MemoryTarget() int64 { return int64(c.Limits.MemoryMB) << 20 / 4 * 3 }

// SocketBudget divides the allowed descriptors between clients and upstreams; some are left for discovery, the
// listener and the runtime. Clients with a request get at most a third, and some more tell them from quiet ones.
// Attempts need the most, for hedged requests and idle connections.
func (c *Config) SocketBudget() (clients, targets int) {
	clients = c.Limits.Sockets * 3 / 8
	return clients, c.Limits.Sockets - minSockets/2 - clients - MaxLingering(clients)
}

// MaxLingering returns how many clients' connections may linger while they are closed, beside so many open ones.
func MaxLingering(clients int) int { return max(2, clients/8) }

// BodyBudget returns how many bytes of clients' bodies may be in memory at once.
func (c *Config) BodyBudget() int64 { return int64(c.Limits.MemoryMB) << 20 / 8 }

// DiscoveryHold returns how long discovery may hold a watch. In a partition a dispatcher counts as notified of
// changes some time after the hold's end at the latest, so a short hold keeps the list's age within the rules; a very
// short one would load discovery, which all dispatchers share.
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

// DrainGrace returns how long after the notice that a runner drains a dispatcher may still send it requests; 0: not
// set.
func (c *Config) DrainGrace() time.Duration {
	return time.Duration(c.Settings.Rules.DrainGraceUs * float64(time.Microsecond))
}

// StopTimeout returns how long after the signal to stop open requests may still run: the longest deadline, up to what
// the platform waits for. It kills no sooner than 0.7 s later.
func (c *Config) StopTimeout() time.Duration {
	var maxDeadline time.Duration
	for _, k := range c.Policy.Classes {
		maxDeadline = max(maxDeadline, k.Deadline)
	}
	return min(maxDeadline, maxStopTimeout)
}
