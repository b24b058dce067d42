package configuration

import (
	"encoding/json"
	"iter"
	"strconv"
)

// Document is one version of the configuration. It never changes, and may be read by any goroutine.
type Document struct {
	version       uint64
	sections      []section
	queues        queueIndex // routes by queue
	droppedQueues queueIndex // queues without a route, with the services that they had
	limits        *Limits
}

// section is a top-level field of a configuration other than `version`.
type section struct {
	name   string
	isList bool     // it is a list of named items
	list   itemList // of a list
	raw    []byte   // of any other value: JSON as the operator sent it
}

// emptyDocument is the document before the first configuration.
var emptyDocument = &Document{limits: &Limits{}}

// Version returns the document's version; 0 before the first configuration.
func (d *Document) Version() uint64 { return d.version }

// Limits returns the limits for clients, never nil; fields are 0 where the operator set no limit.
func (d *Document) Limits() *Limits { return d.limits }

// Table returns the lookup of routes.
func (d *Document) Table() *Table { return &Table{queues: d.queues} }

// Route returns the route with that name, or nil.
func (d *Document) Route(name string) *Route {
	if member := d.itemsOf(sectionRoutes).get(name); member != nil {
		return member.route
	}
	return nil
}

// Queue returns the route of the queue with that key (see QueueKey), or nil.
func (d *Document) Queue(key string) *Route {
	if member := d.queues.get(parseQueueKey(key)); member != nil {
		return member.route
	}
	return nil
}

// Service returns the service with that name, or nil.
func (d *Document) Service(name string) *Service {
	if member := d.itemsOf(sectionServices).get(name); member != nil {
		return member.service
	}
	return nil
}

// Routes iterates over the routes in the order of host and path prefix.
func (d *Document) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, member := range d.queues {
			if !yield(member.route) {
				return
			}
		}
	}
}

// Services iterates over the services in the operator's order.
func (d *Document) Services() iter.Seq[*Service] {
	return func(yield func(*Service) bool) {
		for _, member := range d.itemsOf(sectionServices).items {
			if !yield(member.service) {
				return
			}
		}
	}
}

// EarlierServices returns, in order, the services other than the present one that the queue with that key had in any
// accepted version. It knows queues without a route, too, as long as there are not too many of them.
func (d *Document) EarlierServices(queueKey string) []string {
	at := parseQueueKey(queueKey)
	if member := d.queues.get(at); member != nil {
		return member.earlierServices
	}
	if member := d.droppedQueues.get(at); member != nil {
		return member.earlierServices
	}
	return nil
}

// JSON returns the complete configuration, each item as the operator sent it.
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
	key, _ := json.Marshal(s.name) // a string can always be encoded
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

// sectionNamed returns the section with that name, or nil.
func (d *Document) sectionNamed(name string) *section {
	for i := range d.sections {
		if d.sections[i].name == name {
			return &d.sections[i]
		}
	}
	return nil
}

// itemsOf returns the items of the list with that name, which is empty if there is none.
func (d *Document) itemsOf(name string) itemList {
	if found := d.sectionNamed(name); found != nil {
		return found.list
	}
	return itemList{sorted: true}
}
