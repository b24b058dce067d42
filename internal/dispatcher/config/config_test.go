package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// minimal is the shortest valid configuration with a seed.
const minimal = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff",
 "settings":{"classes":[{"name":"c","semantics":"safe","deadlineUs":900000}]}}`

// loadText writes text to a configuration file and loads it, with the environment variables of env.
func loadText(t *testing.T, text string, env map[string]string) (*Config, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return Load(func(name string) string {
		if name == "LB_CONFIG" {
			return file
		}
		return env[name]
	})
}

// A configuration with only the required keys has the default values.
func TestDefaults(t *testing.T) {
	c, err := loadText(t, minimal, nil)
	require.NoError(t, err)
	assert.Equal(t, Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, c.Limits)
	assert.Equal(t, uint64(255), c.Seed)
	assert.Equal(t, defaultPeriod, c.Policy.MinStepInterval)
	assert.Equal(t, defaultConnectTimeout, c.Policy.ConnectTimeout)
	assert.Equal(t, defaultIdleTimeout, c.Policy.ConnIdleTimeout)
	assert.Equal(t, logrus.InfoLevel, c.LogLevel)
	assert.Equal(t, pushDiscoveryHold, c.DiscoveryHold(), "lists are pushed by default")
	c.Policy.ListOnDemand = true
	assert.Equal(t, defaultDiscoveryHold, c.DiscoveryHold())
	assert.Equal(t, 900*time.Millisecond, c.StopTimeout(), "the longest deadline")
	assert.Equal(t, 1, c.Procs())
	assert.Equal(t, int64(144<<20), c.MemoryTarget())
	clients, targets := c.SocketBudget()
	assert.Less(t, clients+targets, 1024)
	assert.Equal(t, "c", c.Policy.Classes[0].Name)
}

// LB_NAME and LB_LISTEN replace the file's values, and the other keys stay. LB_LOG_LEVEL sets the log level.
func TestVariablesReplaceKeysOfTheFile(t *testing.T) {
	c, err := loadText(t, minimal, map[string]string{"LB_NAME": "n7", "LB_LISTEN": "127.0.0.1:7", "LB_LOG_LEVEL": "debug"})
	require.NoError(t, err)
	assert.Equal(t, "n7", c.Name)
	assert.Equal(t, "127.0.0.1:7", c.Listen)
	assert.Equal(t, "127.0.0.1:2", c.Discovery)
	assert.Equal(t, logrus.DebugLevel, c.LogLevel)
}

// The error of a missing or invalid environment variable, or of a file that is not JSON, names the variable.
func TestErrorsNameTheInvalidVariable(t *testing.T) {
	_, err := Load(func(string) string { return "" })
	assert.ErrorContains(t, err, "LB_CONFIG")
	_, err = Load(func(string) string { return filepath.Join(t.TempDir(), "none") })
	assert.ErrorContains(t, err, "LB_CONFIG")
	_, err = loadText(t, minimal, map[string]string{"LB_LOG_LEVEL": "loud"})
	assert.ErrorContains(t, err, "LB_LOG_LEVEL")
	_, err = loadText(t, "{", nil)
	assert.ErrorContains(t, err, "LB_CONFIG")
}

// A stop waits for no deadline longer than the 3 s that the platform waits, and the hold of a watch is at most the minute
// that discovery holds a call.
func TestStopTimeoutAndDiscoveryHoldAreCapped(t *testing.T) {
	c, err := loadText(t, `{"listen":"a:1","discovery":"a:2","settings":{"discovery":"ask","rules":{"askWithinUs":900000000},
		"classes":[{"name":"c","semantics":"safe","deadlineUs":9000000}]}}`, nil)
	require.NoError(t, err)
	assert.Equal(t, maxStopTimeout, c.StopTimeout())
	assert.Equal(t, maxDiscoveryHold, c.DiscoveryHold())
}

// If the new file has another address of discovery than the previous file, that address applies, even if LB_DISCOVERY was
// set at the start. The error of an invalid file names its key.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"LB_CONFIG": file, "LB_DISCOVERY": "127.0.0.1:9"}
	getenv := func(name string) string { return env[name] }
	write := func(old, to string) {
		require.NoError(t, os.WriteFile(file, []byte(strings.Replace(minimal, old, to, 1)), 0o600))
	}
	write("", "")
	c, err := Load(getenv)
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9", c.Discovery)

	c, err = c.Reload(getenv)
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:9", c.Discovery, "the file has not changed")

	write("127.0.0.1:2", "nowhere")
	_, err = c.Reload(getenv)
	assert.ErrorContains(t, err, "discovery")

	write("127.0.0.1:2", "127.0.0.1:3")
	next, err := c.Reload(getenv)
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:3", next.Discovery)
	assert.Empty(t, c.NeedRestart(next))
	next, err = next.Reload(getenv)
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:3", next.Discovery, "a further reload keeps the new address")

	write("900000", "800000")
	next, err = c.Reload(getenv)
	require.NoError(t, err)
	assert.Empty(t, c.NeedRestart(next), "new settings apply at once")
}

// A reload rejects an invalid or truncated file, and its error names the key. A lower limit of attempts is accepted.
func TestReloadRejectsInvalidFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string { return map[string]string{"LB_CONFIG": file}[name] }
	good := `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{"periodUs":2000,
		"limits":{"maxAttempts":3},"classes":[{"name":"c","semantics":"safe","deadlineUs":900000}]}}`
	require.NoError(t, os.WriteFile(file, []byte(good), 0o600))
	c, err := Load(getenv)
	require.NoError(t, err)
	for text, says := range map[string]string{
		"":                 "unexpected end of JSON input",
		good[:len(good)/2]: "unexpected end of JSON input",
		strings.Replace(good, `"periodUs":2000,`, "", 1):                   `settings.periodUs": is missing`,
		strings.Replace(good, `"limits":{"maxAttempts":3},`, "", 1):        `settings.limits": is missing`,
		strings.Replace(good, `"maxAttempts":3`, `"maxAttempts":0`, 1):     `maxAttempts": 0 is not over 0`,
		strings.Replace(good, `"maxAttempts":3`, `"maxAttempts":-1`, 1):    `maxAttempts": -1 is not over 0`,
		strings.Replace(good, `"deadlineUs":900000`, `"deadlineUs":0`, 1):  `deadlineUs": 0 is not over 0`,
		strings.Replace(good, `"deadlineUs":900000`, `"deadlineUs":-5`, 1): `deadlineUs": -5 is not over 0`,
	} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		_, err := c.Reload(getenv)
		assert.ErrorContains(t, err, says, text)
	}
	fewer := strings.Replace(good, `"maxAttempts":3`, `"maxAttempts":1`, 1)
	require.NoError(t, os.WriteFile(file, []byte(fewer), 0o600))
	next, err := c.Reload(getenv)
	require.NoError(t, err)
	assert.Equal(t, 1, next.Policy.MaxAttempts, "fewer attempts are accepted")
}

// Clients get more than a third of the sockets, because at most a third is for clients with a request. Targets get the
// larger part.
func TestSocketBudget(t *testing.T) {
	for _, n := range []int{64, 256, 1024} {
		c := &Config{Limits: Limits{Sockets: n}}
		clients, targets := c.SocketBudget()
		assert.Greater(t, clients, n/3)
		assert.LessOrEqual(t, clients+targets, n-minSockets/2)
		if n > minSockets {
			assert.Greater(t, targets, clients)
		}
	}
}

// At the start, a maxAttempts of 0 is valid and means no limit.
func TestZeroMaxAttemptsIsValidAtTheStart(t *testing.T) {
	c, err := loadText(t, `{"listen":"a:1","discovery":"a:2","settings":{"limits":{"maxAttempts":0},
		"classes":[{"name":"c","semantics":"safe","deadlineUs":900000}]}}`, nil)
	require.NoError(t, err)
	assert.Zero(t, c.Policy.MaxAttempts)
}
