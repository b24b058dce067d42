package configuration

import (
	"encoding/json"
	"iter"
	"strconv"
)

// Document is one version of the configuration. It never changes, and may be read by any goroutine.
type Document struct {
	version  uint64
	sections []section
	places   places // of routes in force
	dropped  places // queues that were dropped, with the services they had
	limits   *Limits
}

// section is one top-level field of a configuration but `version`.
type section struct {
	name   string
	isList bool   // a list of named items
	list   list   // if so
	raw    []byte // if not: JSON as the operator sent it
}

// noDocument stands before the first configuration.
var noDocument = &Document{limits: &Limits{}}

// Version returns the document's version; 0: no configuration was taken yet.
func (d *Document) Version() uint64 { return d.version }

// Limits returns the limits for clients; its fields are 0 where none were given.
func (d *Document) Limits() *Limits { return d.limits }

// Table returns the lookup of routes.
func (d *Document) Table() *Table { return &Table{places: d.places} }

// Route returns the route of that name, or nil.
func (d *Document) Route(name string) *Route {
	if member := d.list(sectionRoutes).get(name); member != nil {
		return member.route
	}
	return nil
}

// Queue returns the route of the queue of that key (see QueueKey), or nil.
func (d *Document) Queue(key string) *Route {
	if member := d.places.get(placeOf(key)); member != nil {
		return member.route
	}
	return nil
}

// Service returns the service of that name, or nil.
func (d *Document) Service(name string) *Service {
	if member := d.list(sectionServices).get(name); member != nil {
		return member.service
	}
	return nil
}

// Routes goes through the routes by host and path prefix.
func (d *Document) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, member := range d.places {
			if !yield(member.route) {
				return
			}
		}
	}
}

// Services goes through the services in the operator's order.
func (d *Document) Services() iter.Seq[*Service] {
	return func(yield func(*Service) bool) {
		for _, member := range d.list(sectionServices).items {
			if !yield(member.service) {
				return
			}
		}
	}
}

// EarlierServices returns, in order, the services that the queue of that key had in any version that was taken, but for
// the one it has now. It knows queues that are dropped, too.
func (d *Document) EarlierServices(queueKey string) []string {
	at := placeOf(queueKey)
	if member := d.places.get(at); member != nil {
		return member.earlier
	}
	if member := d.dropped.get(at); member != nil {
		return member.earlier
	}
	return nil
}

// JSON returns the configuration whole, each item as the operator sent it.
func (d *Document) JSON() []byte {
	body := append(make([]byte, 0, d.size()), `{"version":`...)
	body = strconv.AppendUint(body, d.version, 10)
	for i := range d.sections {
		body = append(body, ',')
		body = d.sections[i].appendJSON(body)
	}
	return append(body, '}')
}

func (s *section) appendJSON(body []byte) []byte {
	key, _ := json.Marshal(s.name) // a string can always be written
	body = append(body, key...)
	body = append(body, ':')
	if !s.isList {
		return append(body, s.raw...)
	}
	body = append(body, '[')
	for i, member := range s.list.items {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, member.raw...)
	}
	return append(body, ']')
}

// size estimates the length of the JSON, in bytes.
func (d *Document) size() int {
	const head = 64
	size := head
	for i := range d.sections {
		size += head + len(d.sections[i].raw)
		for _, member := range d.sections[i].list.items {
			size += len(member.raw) + 1
		}
	}
	return size
}

// section returns the section of that name, or nil.
func (d *Document) section(name string) *section {
	for i := range d.sections {
		if d.sections[i].name == name {
			return &d.sections[i]
		}
	}
	return nil
}

func (d *Document) list(name string) list {
	if found := d.section(name); found != nil {
		return found.list
	}
	return list{sorted: true}
}
