package simulation

import (
	"fmt"
	"time"
)

// ControlAPI is what the operator calls. An order returns what tells the process that the operator has left.
type ControlAPI interface {
	Configure(update bool, base string, body []byte, reply func(status int)) (left func())
	Read(reply func(status int, body []byte))
}

const (
	operatorTimeout     = time.Second
	maxProbes           = 4
	maxOperatorAttempts = 40
)

// Operator changes the configuration and reads it back.
type Operator struct {
	World           *World
	History         *History
	Controls        []*Machine
	Control         func(m *Machine) ControlAPI // nil while nothing listens there
	AckLossFraction float64                     // share of acknowledgements that are lost now
	// Acknowledged is called with the machine that acknowledged a change, before the answer arrives.
	OnAcknowledged func(by *Machine)
	Base           *Document // the configuration of the beginning

	current        *Document // newest that was acknowledged
	retainedProbes []string  // names of probe routes in force
	version        int64     // highest used so far
	inFlight       int       // orders under way
}

// ProbeHost is the host of the routes that show which version is in force.
const ProbeHost = "probe.example"

func probeRoute(version int64, service string) Route {
	return Route{Name: fmt.Sprintf("probe-%d", version), Host: ProbeHost, PathPrefix: fmt.Sprintf("/v%d/", version),
		Kind: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 1000, Service: service, MaxAttempts: 1, Extension: 2}
}

// SubmitFirst sends the first configuration until it is taken.
func (o *Operator) SubmitFirst() {
	first := o.Base.clone()
	first.Version = 1 + int64(o.World.Random.IntN(5))
	o.version = first.Version
	first.Routes = append(first.Routes, probeRoute(first.Version, first.Services[0].Name))
	o.retainedProbes = []string{fmt.Sprintf("probe-%d", first.Version)}
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
		record.Document = Canonical([]byte(mustJSON(whole)))
		record.Routes = whole.records()
	}
	for _, other := range o.History.Configuration {
		if o.mayTakeEffect(other) {
			other.Alone, record.Alone = false, false
		}
	}
	o.History.Configuration = append(o.History.Configuration, record)
	return record
}

func (o *Operator) mayTakeEffect(record *ConfigurationRecord) bool {
	if len(record.Attempts) == 0 {
		return false
	}
	last := record.Attempts[len(record.Attempts)-1]
	return last.Answered == Never || last.ReplyLost || last.Status >= 500
}

// Change sends one change; a nil edit changes a time-out. It does nothing while another is under way.
func (o *Operator) Change(edit func(next *Document) []string) {
	if o.inFlight > 0 || o.current == nil {
		return
	}
	o.sendChange(o.current, o.nextVersion(), edit)
}

// Race sends two changes on top of the same version at once; they may have the same number.
func (o *Operator) Race() {
	if o.inFlight > 0 || o.current == nil {
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
		if route.Host == ProbeHost && countProbes(next)-len(update.Remove.Routes) >= maxProbes {
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

// SubmitInvalid sends a configuration that must be refused.
func (o *Operator) SubmitInvalid(how string) {
	if o.current == nil || o.inFlight > 0 {
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

// InvalidKinds are the ways in which Bad sends what must be refused.
var InvalidKinds = []string{"cut_short", "unknown_service", "same_place", "no_timeout", "old_version", "same_version",
	"stale_match", "dangling"}

// send sends an order until it gets a clear answer.
func (o *Operator) send(record *ConfigurationRecord, base int64, whole *Document, update bool, last *Machine) {
	if len(record.Attempts) == 0 {
		o.inFlight++
	}
	machine := Pick(o.World, o.Controls)
	if machine == last {
		machine = Pick(o.World, o.Controls)
	}
	record.Attempts = append(record.Attempts, Attempt{Machine: machine.Name, Incarnation: machine.incarnation, Sent: o.World.now, Answered: Never})
	position := len(record.Attempts) - 1
	over := false
	finish := func(status int) {
		if over {
			return
		}
		over = true
		o.resolve(record, base, whole, update, machine, status)
	}
	left, leave := false, func() {}
	o.World.After(operatorTimeout, func() {
		if over {
			return
		}
		finish(0)
		o.World.After(o.delay(), func() {
			left = true
			leave()
		})
	})
	o.reach(machine, func(control ControlAPI, life int) {
		leaving := control.Configure(update, fmt.Sprint(base), []byte(record.Body), func(status int) {
			if machine.incarnation != life || left {
				return
			}
			o.replyArrives(record, position, machine, status, finish)
		})
		leave = func() { machine.inIncarnation(life, leaving) }
		if left {
			leaving() // while the machine stood still
		}
	}, func() { finish(0) })
}

// replyArrives takes the answer on its way to the operator.
func (o *Operator) replyArrives(record *ConfigurationRecord, position int, machine *Machine, status int, finish func(int)) {
	if status == 200 && o.OnAcknowledged != nil {
		o.OnAcknowledged(machine)
	}
	o.World.After(o.delay(), func() {
		try := &record.Attempts[position]
		if try.Answered != Never {
			return
		}
		try.Answered, try.Status = o.World.now, status
		try.ReplyLost = o.World.Chance(o.AckLossFraction)
		if status == 200 && record.Acknowledged == Never {
			record.Acknowledged = o.World.now
		}
		if !try.ReplyLost {
			finish(status)
		}
	})
}

func (o *Operator) delay() time.Duration { return o.World.Between(ClientDelay, 2*ClientDelay) }

// finishWork calls a control machine; the operator reaches each, whatever is cut.
func (o *Operator) reach(machine *Machine, call func(control ControlAPI, life int), refused func()) {
	o.World.After(o.delay(), func() {
		control := o.Control(machine)
		if control == nil {
			o.World.After(o.delay(), refused)
			return
		}
		life := machine.incarnation
		machine.inIncarnation(life, func() { call(control, life) })
	})
}

// advance ends an order with a clear answer, or sends it again.
func (o *Operator) resolve(record *ConfigurationRecord, base int64, whole *Document, update bool, by *Machine, status int) {
	clear := status == 200 || status >= 400 && status < 500 && status != 408 && status != 429
	if clear || len(record.Attempts) >= maxOperatorAttempts {
		o.inFlight--
		if status == 200 && !record.Invalid && (o.current == nil || whole.Version > o.current.Version) {
			o.current = whole
			o.version = max(o.version, whole.Version)
		}
		return
	}
	pause := o.World.Between(50*time.Millisecond, 200*time.Millisecond+50*time.Millisecond*time.Duration(min(len(record.Attempts), 6)))
	o.World.After(pause, func() { o.send(record, base, whole, update, by) })
}

// LastReadBack asks for the configuration again and again until a time.
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
	o.World.After(operatorTimeout, again)
	o.reach(machine, func(control ControlAPI, life int) {
		control.Read(func(status int, body []byte) {
			if machine.incarnation != life {
				return
			}
			o.World.After(o.delay(), func() { o.recordReadBack(status, body); again() })
		})
	}, again)
}

func (o *Operator) recordReadBack(status int, body []byte) {
	if status != 200 {
		return
	}
	o.History.LastReadBack = Canonical(body)
	o.History.ReadBacks = append(o.History.ReadBacks, ReadBack{At: o.World.now, Body: o.History.LastReadBack})
}
