package script

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"
)

// call reads the arguments of a call of a built-in and collects everything that is wrong with them.
type call struct {
	name, position string
	args           map[string]starlark.Value
	known          []string
	errors         FileErrors
}

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

func (c *call) addError(arg, problem, fix string) {
	c.errors = append(c.errors, &FileError{Position: c.position, Call: c.name, Argument: arg, Problem: problem, Fix: fix})
}

// arg returns an argument; ok is false if it is absent.
func (c *call) arg(arg string) (v starlark.Value, ok bool) {
	c.known = append(c.known, arg)
	v, ok = c.args[arg]
	return v, ok
}

// rejectUnknown adds an error for each argument that was not read.
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
		c.addError(arg, "is "+describe(v), "a string is due")
	}
	return s
}

func (c *call) boolean(arg string) bool {
	v, ok := c.arg(arg)
	if !ok {
		return false
	}
	b, ok := v.(starlark.Bool)
	if !ok {
		c.addError(arg, "is "+describe(v), "True or False is due")
	}
	return bool(b)
}

// duration returns a duration, which must be between min and max, or byDefault.
func (c *call) duration(arg string, byDefault, min, max time.Duration) time.Duration {
	v, ok := c.arg(arg)
	if !ok {
		return byDefault
	}
	d, ok := v.(Duration)
	switch {
	case !ok:
		c.addError(arg, "is "+describe(v), "a duration is due, such as 500 * ms")
	case time.Duration(d) < min || time.Duration(d) > max:
		c.addError(arg, fmt.Sprintf("is %v", time.Duration(d)), fmt.Sprintf("%v to %v is allowed", min, max))
	}
	return time.Duration(d)
}

func (c *call) addresses(arg string) (out []string) {
	v, ok := c.arg(arg)
	if !ok {
		return nil
	}
	list, ok := v.(starlark.Iterable)
	if !ok {
		c.addError(arg, "is "+describe(v), "a list of \"ip:port\" is due")
		return nil
	}
	it := list.Iterate()
	defer it.Done()
	var e starlark.Value
	for i := 0; it.Next(&e); i++ {
		s, _ := starlark.AsString(e)
		if c.address(fmt.Sprintf("%s[%d]", arg, i), s) && slices.Contains(out, s) {
			c.addError(fmt.Sprintf("%s[%d]", arg, i), s+" stands there twice", "each dispatcher has an address of its own")
		}
		out = append(out, s)
	}
	return out
}

// address reports whether s is an address, and adds an error if not.
func (c *call) address(arg, s string) bool {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.addError(arg, fmt.Sprintf("%q is no address that others could send to", s), "write ip:port; names are not looked up")
		return false
	}
	return true
}

func describe(v starlark.Value) string {
	text := v.String()
	if len(text) > 40 {
		text = text[:40] + "..."
	}
	return v.Type() + " " + text
}

// Defaults and bounds of fleet's arguments. The interval's bounds follow from the protocol, in which an answer must
// arrive within a sixth of it; a lease must outlast the time that a proof takes through the fleet.
const (
	defaultInterval       = 500 * time.Millisecond
	minInterval           = 50 * time.Millisecond
	maxInterval           = time.Minute
	defaultLeaseIntervals = 15
	minLeaseIntervals     = 6
	minKeyBytes           = 16
	maxNameBytes          = 64
	maxRoster             = 1000
)

// fleet reads the arguments of fleet(...).
func (c *call) fleet() *Fleet {
	f := &Fleet{Name: c.text("name", true), Key: c.text("key", true), Listen: c.text("listen", true), Advertise: c.text("advertise", false), Seeds: c.addresses("seeds"),
		Refusals: c.boolean("refusals"), Roster: c.addresses("roster")}
	f.Interval = c.duration("interval", defaultInterval, minInterval, maxInterval)
	f.Lease = c.duration("lease", defaultLeaseIntervals*f.Interval, minLeaseIntervals*f.Interval, time.Hour)
	c.rejectUnknown()
	if _, ok := c.args["name"]; ok && (f.Name == "" || len(f.Name) > maxNameBytes) {
		c.addError("name", fmt.Sprintf("has %d bytes", len(f.Name)), fmt.Sprintf("1 to %d are allowed", maxNameBytes))
	}
	if _, ok := c.args["key"]; ok && len(f.Key) < minKeyBytes {
		c.addError("key", fmt.Sprintf("has %d bytes", len(f.Key)), fmt.Sprintf("%d at least, the same at every dispatcher", minKeyBytes))
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
		c.addError("seeds", "is missing, and so is roster", "give the addresses of some dispatchers, or of all in roster")
	case len(f.Roster) > maxRoster:
		c.addError("roster", fmt.Sprintf("has %d addresses", len(f.Roster)), fmt.Sprintf("at most %d", maxRoster))
	case len(f.Roster) > 0 && !slices.Contains(f.Roster, f.Advertise):
		c.addError("roster", "does not have "+f.Advertise, "it has the address of each number, this dispatcher's too")
	case f.Refusals && len(f.Roster) == 0:
		c.addError("refusals", "is True without a roster", "a refusal proves nothing where it is not known whose address it is")
	}
	return f
}
