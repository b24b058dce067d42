package simulation

import (
	"fmt"
	"net/http"
	"time"
)

// ControlAPI is the interface of a control process to the operator. reply is called at most once, and never if the operator
// gets no response. Configure returns a function that informs the process that the operator has disconnected.
type ControlAPI interface {
	Configure(kind ChangeKind, base string, body []byte, reply func(status int)) (disconnect func())
	Read(reply func(status int, body []byte))
}

// ChangeKind is the form in which the operator sends a change of the configuration.
type ChangeKind int

// Kinds of changes.
const (
	ReplaceDocument ChangeKind = iota + 1 // the body is a Document
	UpdateItems                           // the body is an Update
)

const (
	operatorTimeout     = time.Second // of one call
	maxOperatorAttempts = 40          // the operator then gives a change up
	maxProbes           = 4           // number of probe routes that a configuration has at most
)

// Operator stands in for the operator, who changes the configuration and reads it back. Only Race sends a change while
// another change is in flight.
type Operator struct {
	World    *World
	History  *History
	Controls []*Machine
	// Control returns the process on a machine, or nil while none is listening there.
	Control         func(m *Machine) ControlAPI
	AckLossFraction float64 // fraction of the responses to changes that are lost on their way
	// OnAcknowledged, if not nil, is called when a machine sends the acknowledgement of a change.
	OnAcknowledged func(by *Machine)
	Base           *Document // the first configuration, without its version

	current  *Document // the newest configuration that was acknowledged, or nil
	version  int64     // the highest version that was used for a valid change
	inFlight int       // number of changes without a final response
}

// change is a change of the configuration that the operator sends until it gets a final response.
type change struct {
	record *ConfigurationRecord
	kind   ChangeKind
	result *Document // the resulting configuration
}

// ProbeHost is the host of the probe routes. Each version adds its own probe route, so that the response to a query of the
// route's queue shows whether a process follows that version or an older version.
const ProbeHost = "probe.example"

// ProbeQueue returns the queue of a version's probe route.
func ProbeQueue(version int64) QueueName { return QueueName{ProbeHost, fmt.Sprintf("/v%d/", version)} }

func probeRoute(version int64, service string) Route {
	queue := ProbeQueue(version)
	return Route{Name: fmt.Sprintf("probe-%d", version), Host: queue.Host, PathPrefix: queue.Prefix,
		Kind: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 1000, Service: service, MaxAttempts: 1, Extension: 2}
}

// SubmitFirst sends the first configuration, repeatedly until there is a final response.
func (o *Operator) SubmitFirst() {
	first := o.Base.clone()
	first.Version = 1 + int64(o.World.Random.IntN(5))
	o.version = first.Version
	first.Routes = append(first.Routes, probeRoute(first.Version, first.Services[0].Name))
	o.submit(&change{record: o.record(first, 0, mustJSON(first)), kind: ReplaceDocument, result: first})
}

// Current returns the newest configuration that was acknowledged, or nil.
func (o *Operator) Current() *Document { return o.current }

// Edit changes a configuration in place and returns the names of the routes that it changed or added.
type Edit func(next *Document) []string

// Change sends a change. A nil edit changes a drawn route's timeout. Change sends no change while another change is in
// flight, and before the first configuration is acknowledged.
func (o *Operator) Change(edit Edit) {
	if o.inFlight > 0 || o.current == nil {
		return
	}
	o.submitEdit(o.current, o.nextVersion(), edit)
}

// Race sends two concurrent changes on top of the same version. Half of the time both have the same version number.
func (o *Operator) Race() {
	if o.inFlight > 0 || o.current == nil {
		return
	}
	base := o.current
	firstVersion := o.nextVersion()
	secondVersion := firstVersion
	if o.World.Chance(0.5) {
		secondVersion = o.nextVersion()
	}
	o.submitEdit(base, firstVersion, nil)
	o.submitEdit(base, secondVersion, nil)
}

func (o *Operator) nextVersion() int64 {
	o.version += 1 + int64(o.World.Random.IntN(3))
	return o.version
}

// submitEdit sends a change with an edit. The change also adds the version's probe route and removes the oldest probe routes
// beyond maxProbes.
func (o *Operator) submitEdit(base *Document, version int64, edit Edit) {
	next := base.clone()
	next.Version = version
	if edit == nil {
		edit = o.changeTimeout
	}
	update := Update{Version: version}
	for _, name := range edit(next) {
		if route := next.route(name); route != nil {
			update.Upsert.Routes = append(update.Upsert.Routes, *route)
		}
	}
	probe := probeRoute(version, next.Services[0].Name)
	probe.Unknown = fmt.Sprintf("%08x", o.World.Random.Uint32())
	update.Upsert.Routes = append(update.Upsert.Routes, probe)
	for _, route := range next.Routes {
		if route.Host == ProbeHost && countProbes(next)-len(update.Remove.Routes) >= maxProbes {
			update.Remove.Routes = append(update.Remove.Routes, route.Name)
		}
	}
	result := next.apply(&update)
	kind, body := ReplaceDocument, ""
	if o.World.Chance(0.5) {
		kind, body = UpdateItems, mustJSON(&update)
	} else {
		body = mustJSON(result)
	}
	o.submit(&change{record: o.record(result, base.Version, body), kind: kind, result: result})
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

// changeTimeout is an Edit that changes the timeout of a drawn route of the first configuration.
func (o *Operator) changeTimeout(next *Document) []string {
	route := &next.Routes[o.World.Random.IntN(len(o.Base.Routes))]
	route.TimeoutMs = 2500 + int64(o.World.Random.IntN(1000))
	return []string{route.Name}
}

// MoveRoute returns an Edit that gives a route another service.
func MoveRoute(route, service string) Edit {
	return func(next *Document) []string {
		next.route(route).Service = service
		return []string{route}
	}
}

// AddRoute returns an Edit that adds a route, and with it a queue. It copies another route and sets its name and path
// prefix.
func AddRoute(name, like string) Edit {
	return func(next *Document) []string {
		added := *next.route(like)
		added.Name, added.PathPrefix = name, "/"+name+"/"
		next.Routes = append(next.Routes, added)
		return []string{name}
	}
}

// record adds a valid change to the history.
func (o *Operator) record(result *Document, base int64, body string) *ConfigurationRecord {
	record := o.newRecord(result.Version, base, body)
	record.Document = Canonical([]byte(mustJSON(result)))
	record.Routes = result.records()
	return record
}

// newRecord adds a change to the history. If an earlier one may still take effect, both are marked as not alone.
func (o *Operator) newRecord(version, base int64, body string) *ConfigurationRecord {
	record := &ConfigurationRecord{Version: version, Base: base, Body: body, Acknowledged: Never, Alone: true}
	for _, other := range o.History.Configuration {
		if other.mayTakeEffect() {
			other.Alone, record.Alone = false, false
		}
	}
	o.History.Configuration = append(o.History.Configuration, record)
	return record
}

// mayTakeEffect reports whether the change may still take effect: its last attempt has no response that reached the
// operator, or a 5xx.
func (r *ConfigurationRecord) mayTakeEffect() bool {
	if len(r.Attempts) == 0 {
		return false
	}
	last := &r.Attempts[len(r.Attempts)-1]
	return !last.isAnswered() || last.ReplyLost || last.Status >= http.StatusInternalServerError
}
