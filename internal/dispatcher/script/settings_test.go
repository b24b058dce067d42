package script

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The example in deploy/fleet.star can be read by each of its three dispatchers.
func TestExample(t *testing.T) {
	for number, listen := range []string{"127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"} {
		s, err := Read("../../../deploy/fleet.star", Self{Name: "d", Number: number})
		require.NoError(t, err)
		assert.Equal(t, listen, s.Fleet.Listen)
		assert.Equal(t, 500*time.Millisecond, s.Fleet.Interval)
		assert.Equal(t, 7500*time.Millisecond, s.Fleet.Lease)
		assert.True(t, s.Fleet.Refusals)
	}
}

// All errors in a file are reported, each with its position, argument and remedy.
func TestFaultsAreNamed(t *testing.T) {
	const fine = `name = "f", key = "0123456789abcdef", listen = "127.0.0.1:1", seeds = ["127.0.0.1:2"]`
	for text, want := range map[string][]string{
		"\nfleet(" + fine + ", interval = 500)":  {`f.star:2:6: fleet: interval: is int 500 (it must be a duration, such as 500 * ms)`},
		`fleet(` + fine + `, interval = 5 * ms)`: {`interval: is 5ms (50ms to 1m0s is allowed)`},
		`fleet(` + fine + `, lease = 1 * s)`:     {`lease: is 1s (3s to 1h0m0s is allowed)`},
		`fleet(` + fine + `, intervall = 1 * s)`: {`fleet: intervall: is not known (known are name, key`},
		`fleet(` + fine + `, name = "g")`:        {`name`},
		`fleet("f")`: {`1 arguments without a name`, `fleet: name: is missing`, `fleet: key: is missing`, `fleet: listen: is missing`,
			`fleet: seeds: is missing, and so is roster`},
		`fleet(name = 3, key = "k", listen = "0.0.0.0:1", seeds = "x:1")`: {`name: is int 3 (it must be a string)`, `key: has 1 bytes`,
			`"0.0.0.0:1" is not an address that others can send to`, `seeds: is string "x:1"`},
		`fleet(` + fine + `, advertise = "localhost:1")`:                   {`advertise: "localhost:1" is not an address`},
		`fleet(` + fine + `, refusals = True)`:                             {`refusals: is True without a roster`},
		`fleet(` + fine + `, refusals = 1)`:                                {`refusals: is int 1 (it must be True or False)`},
		`fleet(` + fine + `, roster = ["127.0.0.1:2", "127.0.0.1:2", ""])`: {`roster[1]: 127.0.0.1:2 is listed twice`, `roster[2]: ""`, `roster: does not have 127.0.0.1:1`},
		"fleet(" + fine + ")\nfleet(" + fine + ")":                         {`f.star:2:6: fleet: is called twice`},
		"def f(:":                                {`f.star:1:8`},
		"x = y":                                  {`f.star:1:5: undefined: y`},
		"x = 1 * ms\ny = x * x":                  {`f.star:2:7: unknown binary op: duration * duration`},
		"x = ms * 1e300":                         {`a duration of`, `is out of range`},
		`load("other.star", "x")`:                {`can't load another file`},
		"for i in range(1 << 30):\n  x = i":      {`too many steps (a script may take`},
		`fleet(` + fine + `, interval = 1 + ms)`: {`unknown binary op: int + duration`},
		`fleet(` + fine + `, roster = [["127.0.0.1:1"]])`: {`roster[0]: ""`},
	} {
		_, err := Parse("f.star", []byte(text), Self{})
		require.Error(t, err, text)
		var errs FileErrors
		require.ErrorAs(t, err, &errs, text)
		for _, w := range want {
			assert.ErrorContains(t, err, w, text)
		}
		var one *FileError
		require.ErrorAs(t, err, &one)
		assert.NotEmpty(t, one.Position)
	}
	_, err := Read("none.star", Self{})
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Durations can be added, subtracted, compared and multiplied by numbers.
func TestDurations(t *testing.T) {
	s, err := Parse("f.star", []byte(`
base = 2 * (100 * ms) + s - 0.2 * s
fleet(name = "f", key = "0123456789abcdef", listen = "127.0.0.1:1", seeds = ["127.0.0.1:2"],
      interval = base if base == 1 * s and base < minute and hour >= minute else ms)`), Self{})
	require.NoError(t, err)
	assert.Equal(t, time.Second, s.Fleet.Interval)
}
