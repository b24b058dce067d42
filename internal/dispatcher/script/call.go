package script

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"
)

// call reads the arguments of a call of a built-in function and collects the errors in them.
type call struct {
	name, position string                    // of the function; file:line:column of the call
	args           map[string]starlark.Value // by name
	known          []string                  // the arguments that were read, whether present or not
	errors         FileErrors
}

// newCall returns the call of a built-in. Arguments without a name are an error.
func newCall(name, at string, args starlark.Tuple, kwargs []starlark.Tuple) *call {
	c := &call{name: name, position: at, args: map[string]starlark.Value{}}
	if len(args) > 0 {
		c.addError("", fmt.Sprintf("%d arguments without a name", len(args)), "write name = value")
	}
	for _, kw := range kwargs { // Starlark refuses duplicates
		c.args[string(kw[0].(starlark.String))] = kw[1]
	}
	return c
}

// addError adds an error in an argument; empty: in the call as a whole. fix is the remedy.
func (c *call) addError(arg, problem, fix string) {
	c.errors = append(c.errors, &FileError{Position: c.position, Call: c.name, Argument: arg, Problem: problem, Fix: fix})
}

// arg returns an argument; ok is false if it is absent.
func (c *call) arg(arg string) (v starlark.Value, ok bool) {
	c.known = append(c.known, arg)
	v, ok = c.args[arg]
	return v, ok
}

// rejectUnknown adds an error for each argument that was not read. It must be called after all others were read.
func (c *call) rejectUnknown() {
	var unknown []string
	for arg := range c.args {
		if !slices.Contains(c.known, arg) {
			unknown = append(unknown, arg)
		}
	}
	slices.Sort(unknown)
	for _, arg := range unknown {
		c.addError(arg, "is not known", "known are "+strings.Join(c.known, ", "))
	}
}

// text returns a string argument, or an empty string if it is absent.
func (c *call) text(arg string, required bool) string {
	v, ok := c.arg(arg)
	if !ok {
		if required {
			c.addError(arg, "is missing", "")
		}
		return ""
	}
	s, ok := starlark.AsString(v)
	if !ok {
		c.addError(arg, "is "+describe(v), "it must be a string")
	}
	return s
}

// boolean returns a bool argument, or false if it is absent.
func (c *call) boolean(arg string) bool {
	v, ok := c.arg(arg)
	if !ok {
		return false
	}
	b, ok := v.(starlark.Bool)
	if !ok {
		c.addError(arg, "is "+describe(v), "it must be True or False")
	}
	return bool(b)
}

// duration returns a duration argument, which must be between min and max, or byDefault if it is absent.
func (c *call) duration(arg string, byDefault, min, max time.Duration) time.Duration {
	v, ok := c.arg(arg)
	if !ok {
		return byDefault
	}
	d, ok := v.(Duration)
	switch {
	case !ok:
		c.addError(arg, "is "+describe(v), "it must be a duration, such as 500 * ms")
	case time.Duration(d) < min || time.Duration(d) > max:
		c.addError(arg, fmt.Sprintf("is %v", time.Duration(d)), fmt.Sprintf("%v to %v is allowed", min, max))
	}
	return time.Duration(d)
}

// addresses returns an argument that is a list of addresses without duplicates.
func (c *call) addresses(arg string) (out []string) {
	v, ok := c.arg(arg)
	if !ok {
		return nil
	}
	list, ok := v.(starlark.Iterable)
	if !ok {
		c.addError(arg, "is "+describe(v), "it must be a list of strings \"ip:port\"")
		return nil
	}
	it := list.Iterate()
	defer it.Done()
	var e starlark.Value
	for i := 0; it.Next(&e); i++ {
		s, _ := starlark.AsString(e)
		if c.address(fmt.Sprintf("%s[%d]", arg, i), s) && slices.Contains(out, s) {
			c.addError(fmt.Sprintf("%s[%d]", arg, i), s+" is listed twice", "each dispatcher must have its own address")
		}
		out = append(out, s)
	}
	return out
}

// address reports whether s is an ip:port that others can send to, and adds an error if not.
func (c *call) address(arg, s string) bool {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.addError(arg, fmt.Sprintf("%q is not an address that others can send to", s), "write ip:port; host names are not looked up")
		return false
	}
	return true
}

// describe returns the type and the start of the text of a value, for errors.
func describe(v starlark.Value) string {
	text := v.String()
	if len(text) > 40 {
		text = text[:40] + "..."
	}
	return v.Type() + " " + text
}

// Defaults and bounds of the arguments of fleet(...).
const (
	// The time between two probes. In the fleet's protocol a response must arrive within a sixth of this time.
	defaultInterval = 500 * time.Millisecond
	minInterval     = 50 * time.Millisecond
	maxInterval     = time.Minute
	// The lease, the time that a proof of a dispatcher's death is valid, in intervals. It must be longer than the time
	// that a proof takes to spread through the fleet.
	defaultLeaseIntervals = 15
	minLeaseIntervals     = 6

	minKeyBytes  = 16
	maxNameBytes = 64
	maxRoster    = 1000 // addresses
)

// fleet reads and checks the arguments of fleet(...).
func (c *call) fleet() *Fleet {
	f := &Fleet{Name: c.text("name", true), Key: c.text("key", true), Listen: c.text("listen", true), Advertise: c.text("advertise", false), Seeds: c.addresses("seeds"),
		Refusals: c.boolean("refusals"), Roster: c.addresses("roster")}
	f.Interval = c.duration("interval", defaultInterval, minInterval, maxInterval)
	f.Lease = c.duration("lease", defaultLeaseIntervals*f.Interval, minLeaseIntervals*f.Interval, time.Hour)
	c.rejectUnknown()
	if _, ok := c.args["name"]; ok && (f.Name == "" || len(f.Name) > maxNameBytes) {
		c.addError("name", fmt.Sprintf("has %d bytes", len(f.Name)), fmt.Sprintf("1 to %d bytes are allowed", maxNameBytes))
	}
	if _, ok := c.args["key"]; ok && len(f.Key) < minKeyBytes {
		c.addError("key", fmt.Sprintf("has %d bytes", len(f.Key)), fmt.Sprintf("give at least %d bytes, the same at each dispatcher", minKeyBytes))
	}
	if _, ok := c.args["listen"]; ok {
		c.address("listen", f.Listen)
	}
	if _, ok := c.args["advertise"]; ok {
		c.address("advertise", f.Advertise)
	} else {
		f.Advertise = f.Listen
	}
	switch {
	case len(f.Seeds) == 0 && len(f.Roster) == 0:
		c.addError("seeds", "is missing, and so is roster", "give the addresses of some dispatchers in seeds, or of all in roster")
	case len(f.Roster) > maxRoster:
		c.addError("roster", fmt.Sprintf("has %d addresses", len(f.Roster)), fmt.Sprintf("at most %d are allowed", maxRoster))
	case len(f.Roster) > 0 && !slices.Contains(f.Roster, f.Advertise):
		c.addError("roster", "does not have "+f.Advertise, "it must have the address of each dispatcher, in the order of their numbers, including this one's")
	case f.Refusals && len(f.Roster) == 0:
		c.addError("refusals", "is True without a roster", "without a roster it is not known which dispatcher has an address, so a refusal proves nothing")
	}
	return f
}
