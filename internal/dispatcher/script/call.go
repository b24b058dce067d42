package script

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"go.starlark.net/starlark"
)

// call reads the arguments of one built-in and notes everything that is wrong with them.
type call struct {
	name, at string
	args     map[string]starlark.Value
	known    []string
	faults   Faults
}

func newCall(name, at string, args starlark.Tuple, kwargs []starlark.Tuple) *call {
	c := &call{name: name, at: at, args: map[string]starlark.Value{}}
	if len(args) > 0 {
		c.fault("", fmt.Sprintf("%d arguments without a name", len(args)), "write name = value")
	}
	for _, kw := range kwargs { // the language itself refuses one that is given twice
		c.args[string(kw[0].(starlark.String))] = kw[1]
	}
	return c
}

func (c *call) fault(arg, problem, fix string) {
	c.faults = append(c.faults, &Fault{At: c.at, Call: c.name, Argument: arg, Problem: problem, Fix: fix})
}

// take returns an argument; ok is false where it is absent.
func (c *call) take(arg string) (v starlark.Value, ok bool) {
	c.known = append(c.known, arg)
	v, ok = c.args[arg]
	return v, ok
}

// rest notes arguments that nothing asked for.
func (c *call) rest() {
	var odd []string
	for arg := range c.args {
		if !slices.Contains(c.known, arg) {
			odd = append(odd, arg)
		}
	}
	slices.Sort(odd)
	for _, arg := range odd {
		c.fault(arg, "is not known", "known are "+strings.Join(c.known, ", "))
	}
}

func (c *call) text(arg string, required bool) string {
	v, ok := c.take(arg)
	if !ok {
		if required {
			c.fault(arg, "is missing", "")
		}
		return ""
	}
	s, ok := starlark.AsString(v)
	if !ok {
		c.fault(arg, "is "+typed(v), "a string is due")
	}
	return s
}

func (c *call) truth(arg string) bool {
	v, ok := c.take(arg)
	if !ok {
		return false
	}
	b, ok := v.(starlark.Bool)
	if !ok {
		c.fault(arg, "is "+typed(v), "True or False is due")
	}
	return bool(b)
}

// duration returns a duration within bounds, or byDefault.
func (c *call) duration(arg string, byDefault, least, most time.Duration) time.Duration {
	v, ok := c.take(arg)
	if !ok {
		return byDefault
	}
	d, ok := v.(Duration)
	switch {
	case !ok:
		c.fault(arg, "is "+typed(v), "a duration is due, such as 500 * ms")
	case time.Duration(d) < least || time.Duration(d) > most:
		c.fault(arg, fmt.Sprintf("is %v", time.Duration(d)), fmt.Sprintf("%v to %v is allowed", least, most))
	}
	return time.Duration(d)
}

func (c *call) addresses(arg string) (out []string) {
	v, ok := c.take(arg)
	if !ok {
		return nil
	}
	list, ok := v.(starlark.Iterable)
	if !ok {
		c.fault(arg, "is "+typed(v), "a list of \"ip:port\" is due")
		return nil
	}
	it := list.Iterate()
	defer it.Done()
	var e starlark.Value
	for i := 0; it.Next(&e); i++ {
		s, _ := starlark.AsString(e)
		if c.address(fmt.Sprintf("%s[%d]", arg, i), s) && slices.Contains(out, s) {
			c.fault(fmt.Sprintf("%s[%d]", arg, i), s+" stands there twice", "each dispatcher has an address of its own")
		}
		out = append(out, s)
	}
	return out
}

// address notes what is no address; ok tells that it is one.
func (c *call) address(arg, s string) bool {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		c.fault(arg, fmt.Sprintf("%q is no address that others could send to", s), "write ip:port; names are not looked up")
		return false
	}
	return true
}

func typed(v starlark.Value) string {
	text := v.String()
	if len(text) > 40 {
		text = text[:40] + "..."
	}
	return v.Type() + " " + text
}

// The least and the most of fleet's arguments. Interval's reason is the protocol's: an answer has to come back within a
// sixth of it; the lease has to outlast the way of a proof through the fleet.
const (
	defaultInterval = 500 * time.Millisecond
	leastInterval   = 50 * time.Millisecond
	mostInterval    = time.Minute
	leaseIntervals  = 15
	leastLease      = 6 // intervals
	keyLeast        = 16
	nameMost        = 64
	rosterMost      = 1000
)

func (c *call) fleet() *Fleet {
	f := &Fleet{Name: c.text("name", true), Key: c.text("key", true), Listen: c.text("listen", true), Advertise: c.text("advertise", false), Seeds: c.addresses("seeds"),
		Refusals: c.truth("refusals"), Roster: c.addresses("roster")}
	f.Interval = c.duration("interval", defaultInterval, leastInterval, mostInterval)
	f.Lease = c.duration("lease", leaseIntervals*f.Interval, leastLease*f.Interval, time.Hour)
	c.rest()
	if _, ok := c.args["name"]; ok && (f.Name == "" || len(f.Name) > nameMost) {
		c.fault("name", fmt.Sprintf("has %d bytes", len(f.Name)), fmt.Sprintf("1 to %d are allowed", nameMost))
	}
	if _, ok := c.args["key"]; ok && len(f.Key) < keyLeast {
		c.fault("key", fmt.Sprintf("has %d bytes", len(f.Key)), fmt.Sprintf("%d at least, the same at every dispatcher", keyLeast))
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
		c.fault("seeds", "is missing, and so is roster", "give the addresses of some dispatchers, or of all in roster")
	case len(f.Roster) > rosterMost:
		c.fault("roster", fmt.Sprintf("has %d addresses", len(f.Roster)), fmt.Sprintf("at most %d", rosterMost))
	case len(f.Roster) > 0 && !slices.Contains(f.Roster, f.Advertise):
		c.fault("roster", "does not have "+f.Advertise, "it has the address of each number, this dispatcher's too")
	case f.Refusals && len(f.Roster) == 0:
		c.fault("refusals", "is True without a roster", "a refusal proves nothing where it is not known whose address it is")
	}
	return f
}
