package simulation

import (
	"fmt"
	"time"
)

// Control is what the operator calls. An order returns what tells the process that the operator has left.
type Control interface {
	Configure(update bool, base string, body []byte, reply func(status int)) (left func())
	Read(reply func(status int, body []byte))
}

const (
	operatorSilence = time.Second
	probesKept      = 4
	mostTries       = 40
)

// Operator changes the configuration and reads it back.
type Operator struct {
	World    *World
	Ledger   *Ledger
	Controls []*Machine
	Control  func(m *Machine) Control // nil while nothing listens there
	AckLoss  float64                  // share of acknowledgements that are lost now
	// Acknowledged is called with the machine that acknowledged a change, before the answer arrives.
	Acknowledged func(by *Machine)
	Base         *Document // the configuration of the beginning

	current *Document // newest that was acknowledged
	probes  []string  // names of probe routes in force
	version int64     // highest used so far
	busy    int       // orders under way
}

// ProbeHost is the host of the routes that show which version is in force.
const ProbeHost = "probe.example"

func probeRoute(version int64, service string) Route {
	return Route{Name: fmt.Sprintf("probe-%d", version), Host: ProbeHost, PathPrefix: fmt.Sprintf("/v%d/", version),
		Kind: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 1000, Service: service, MaxAttempts: 1, Extension: 2}
}

// Begin sends the first configuration until it is taken.
func (o *Operator) Begin() {
	first := o.Base.clone()
	first.Version = 1 + int64(o.World.Random.IntN(5))
	o.version = first.Version
	first.Routes = append(first.Routes, probeRoute(first.Version, first.Services[0].Name))
	o.probes = []string{fmt.Sprintf("probe-%d", first.Version)}
	o.send(o.record(first, nil, mustJSON(first), false), 0, first, false, nil)
}

// Current returns the newest configuration that was acknowledged, or nil.
func (o *Operator) Current() *Document { return o.current }

func (o *Operator) nextVersion() int64 {
	o.version += 1 + int64(o.World.Random.IntN(3))
	return o.version
}

func (o *Operator) record(whole *Document, base *Document, body string, invalid bool) *ConfigurationRecord {
	record := &ConfigurationRecord{Version: whole.Version, Body: body, Invalid: invalid, Acknowledged: Never, Alone: true}
	if base != nil {
		record.Base = base.Version
	}
	if !invalid {
		record.Whole = Canonical([]byte(mustJSON(whole)))
		record.Routes = whole.records()
	}
	for _, other := range o.Ledger.Configuration {
		if o.underWay(other) {
			other.Alone, record.Alone = false, false
		}
	}
	o.Ledger.Configuration = append(o.Ledger.Configuration, record)
	return record
}

func (o *Operator) underWay(record *ConfigurationRecord) bool {
	if len(record.Tries) == 0 {
		return false
	}
	last := record.Tries[len(record.Tries)-1]
	return last.Answered == Never || last.Lost || last.Status >= 500
}

// Change sends one change; a nil edit changes a time-out. It does nothing while another is under way.
func (o *Operator) Change(edit func(next *Document) []string) {
	if o.busy > 0 || o.current == nil {
		return
	}
	o.sendChange(o.current, o.nextVersion(), edit)
}

// Race sends two changes on top of the same version at once; they may have the same number.
func (o *Operator) Race() {
	if o.busy > 0 || o.current == nil {
		return
	}
	base := o.current
	first := o.nextVersion()
	second := first
	if o.World.Chance(0.5) {
		second = o.nextVersion()
	}
	o.sendChange(base, first, nil)
	o.sendChange(base, second, nil)
}

// sendChange adds a probe route, drops the oldest, and makes the edit. The edit returns the names of the routes that it
// changed.
func (o *Operator) sendChange(base *Document, version int64, edit func(next *Document) []string) {
	next := base.clone()
	next.Version = version
	if edit == nil {
		edit = o.changeTimeout
	}
	changed := edit(next)
	update := Update{Version: version}
	for _, name := range changed {
		if route := next.route(name); route != nil {
			update.Upsert.Routes = append(update.Upsert.Routes, *route)
		}
	}
	probe := probeRoute(version, next.Services[0].Name)
	probe.Note = fmt.Sprintf("%08x", o.World.Random.Uint32())
	update.Upsert.Routes = append(update.Upsert.Routes, probe)
	for _, route := range next.Routes {
		if route.Host == ProbeHost && countProbes(next)-len(update.Remove.Routes) >= probesKept {
			update.Remove.Routes = append(update.Remove.Routes, route.Name)
		}
	}
	whole := next.apply(&update)
	if o.World.Chance(0.5) {
		o.send(o.record(whole, base, mustJSON(&update), false), base.Version, whole, true, nil)
		return
	}
	o.send(o.record(whole, base, mustJSON(whole), false), base.Version, whole, false, nil)
}

func countProbes(d *Document) int {
	count := 0
	for i := range d.Routes {
		if d.Routes[i].Host == ProbeHost {
			count++
		}
	}
	return count
}

func (o *Operator) changeTimeout(next *Document) []string {
	route := &next.Routes[o.World.Random.IntN(len(o.Base.Routes))]
	route.TimeoutMs = 2500 + int64(o.World.Random.IntN(1000))
	return []string{route.Name}
}

// Move gives a queue another service.
func Move(route, service string) func(next *Document) []string {
	return func(next *Document) []string {
		next.route(route).Service = service
		return []string{route}
	}
}

// AddQueue adds a queue of that name, which is otherwise like another one.
func AddQueue(name, like string) func(next *Document) []string {
	return func(next *Document) []string {
		added := *next.route(like)
		added.Name, added.PathPrefix = name, "/"+name+"/"
		next.Routes = append(next.Routes, added)
		return []string{name}
	}
}

// Bad sends a configuration that must be refused.
func (o *Operator) Bad(how string) {
	if o.current == nil || o.busy > 0 {
		return
	}
	base, next := o.current, o.current.clone()
	next.Version = o.version + 50
	update := false
	body := ""
	switch how {
	case "cut_short":
		text := mustJSON(next)
		body = text[:len(text)*2/3]
	case "unknown_service":
		next.Routes[0].Service = "nobody"
	case "same_place":
		twin := next.Routes[0]
		twin.Name = "twin"
		next.Routes = append(next.Routes, twin)
	case "no_timeout":
		next.Routes[0].TimeoutMs = 0
	case "old_version":
		next.Version = base.Version - 1
	case "same_version":
		next.Version = base.Version
		next.Routes[0].TimeoutMs++
	case "stale_match":
		next.Routes[0].TimeoutMs++
		stale := &Document{Version: base.Version - 1}
		o.send(o.record(next, stale, mustJSON(next), true), stale.Version, next, false, nil)
		return
	case "dangling":
		update = true
		body = mustJSON(&Update{Version: next.Version, Remove: removes{Services: []string{base.Services[0].Name}}})
	}
	if body == "" {
		body = mustJSON(next)
	}
	o.send(o.record(next, base, body, true), base.Version, next, update, nil)
}

// BadKinds are the ways in which Bad sends what must be refused.
var BadKinds = []string{"cut_short", "unknown_service", "same_place", "no_timeout", "old_version", "same_version",
	"stale_match", "dangling"}

// send sends an order until it gets a clear answer.
func (o *Operator) send(record *ConfigurationRecord, base int64, whole *Document, update bool, last *Machine) {
	if len(record.Tries) == 0 {
		o.busy++
	}
	machine := Pick(o.World, o.Controls)
	if machine == last {
		machine = Pick(o.World, o.Controls)
	}
	record.Tries = append(record.Tries, Try{Machine: machine.Name, Life: machine.life, Sent: o.World.now, Answered: Never})
	position := len(record.Tries) - 1
	over := false
	finish := func(status int) {
		if over {
			return
		}
		over = true
		o.settle(record, base, whole, update, machine, status)
	}
	left, leave := false, func() {}
	o.World.After(operatorSilence, func() {
		if over {
			return
		}
		finish(0)
		o.World.After(o.delay(), func() {
			left = true
			leave()
		})
	})
	o.reach(machine, func(control Control, life int) {
		leaving := control.Configure(update, fmt.Sprint(base), []byte(record.Body), func(status int) {
			if machine.life != life || left {
				return
			}
			o.answered(record, position, machine, status, finish)
		})
		leave = func() { machine.inLife(life, leaving) }
		if left {
			leaving() // while the machine stood still
		}
	}, func() { finish(0) })
}

// answered takes the answer on its way to the operator.
func (o *Operator) answered(record *ConfigurationRecord, position int, machine *Machine, status int, finish func(int)) {
	if status == 200 && o.Acknowledged != nil {
		o.Acknowledged(machine)
	}
	o.World.After(o.delay(), func() {
		try := &record.Tries[position]
		if try.Answered != Never {
			return
		}
		try.Answered, try.Status = o.World.now, status
		try.Lost = o.World.Chance(o.AckLoss)
		if status == 200 && record.Acknowledged == Never {
			record.Acknowledged = o.World.now
		}
		if !try.Lost {
			finish(status)
		}
	})
}

func (o *Operator) delay() time.Duration { return o.World.Between(ClientDelay, 2*ClientDelay) }

// reach calls a control machine; the operator reaches each, whatever is cut.
func (o *Operator) reach(machine *Machine, call func(control Control, life int), refused func()) {
	o.World.After(o.delay(), func() {
		control := o.Control(machine)
		if control == nil {
			o.World.After(o.delay(), refused)
			return
		}
		life := machine.life
		machine.inLife(life, func() { call(control, life) })
	})
}

// settle ends an order with a clear answer, or sends it again.
func (o *Operator) settle(record *ConfigurationRecord, base int64, whole *Document, update bool, by *Machine, status int) {
	clear := status == 200 || status >= 400 && status < 500 && status != 408 && status != 429
	if clear || len(record.Tries) >= mostTries {
		o.busy--
		if status == 200 && !record.Invalid && (o.current == nil || whole.Version > o.current.Version) {
			o.current = whole
			o.version = max(o.version, whole.Version)
		}
		return
	}
	pause := o.World.Between(50*time.Millisecond, 200*time.Millisecond+50*time.Millisecond*time.Duration(min(len(record.Tries), 6)))
	o.World.After(pause, func() { o.send(record, base, whole, update, by) })
}

// ReadBack asks for the configuration again and again until a time.
func (o *Operator) ReadBack(until time.Duration) {
	if o.World.now > until {
		return
	}
	machine := Pick(o.World, o.Controls)
	over := false
	again := func() {
		if !over {
			over = true
			o.World.After(o.World.Between(100*time.Millisecond, 300*time.Millisecond), func() { o.ReadBack(until) })
		}
	}
	o.World.After(operatorSilence, again)
	o.reach(machine, func(control Control, life int) {
		control.Read(func(status int, body []byte) {
			if machine.life != life {
				return
			}
			o.World.After(o.delay(), func() { o.noteRead(status, body); again() })
		})
	}, again)
}

func (o *Operator) noteRead(status int, body []byte) {
	if status != 200 {
		return
	}
	o.Ledger.ReadBack = Canonical(body)
	o.Ledger.Reads = append(o.Ledger.Reads, Read{At: o.World.now, Body: o.Ledger.ReadBack})
}
