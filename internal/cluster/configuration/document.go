package configuration

import (
	"encoding/json"
	"iter"
	"strconv"
)

// Document is one version of the configuration. It never changes and may be read by any goroutine.
type Document struct {
	version       uint64
	sections      []section
	queues        queueIndex // the routes, sorted by queue
	droppedQueues queueIndex // queues that had a route in an earlier version, and the services that they had
	limits        *Limits    // never nil
}

// section is a top-level field of a configuration other than `version`.
type section struct {
	name   string
	isList bool     // the value is an array of objects with distinct names
	list   itemList // the items, if isList
	raw    []byte   // the value as JSON that the operator sent, unless isList
}

// emptyDocument is the document before the first configuration.
var emptyDocument = &Document{limits: &Limits{}}

// Version returns the document's version; 0 before the first configuration.
func (d *Document) Version() uint64 { return d.version }

// Limits returns the limits for clients, never nil. A field is 0 if the operator set no such limit.
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

// Queue returns the route of the queue with that key, in the form of QueueKey, or nil.
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

// Routes iterates over the routes, sorted by host and then by path prefix.
func (d *Document) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, member := range d.queues {
			if !yield(member.route) {
				return
			}
		}
	}
}

// Services iterates over the services in the order of the document.
func (d *Document) Services() iter.Seq[*Service] {
	return func(yield func(*Service) bool) {
		for _, member := range d.itemsOf(sectionServices).items {
			if !yield(member.service) {
				return
			}
		}
	}
}

// EarlierServices returns the services that the queue with that key had in earlier versions, without its present one. The
// service that the queue left last is the last one. The shard of a job follows from its queue's service at the submission,
// so jobs of this queue may still be in the shards of these services.
//
// A queue without a route has them, too, until it is forgotten (maxDroppedQueues).
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

// JSON returns the complete configuration. Each item is byte for byte as the operator sent it.
func (d *Document) JSON() []byte {
	body := append(make([]byte, 0, d.size()), `{"version":`...)
	body = strconv.AppendUint(body, d.version, 10)
	for i := range d.sections {
		body = append(body, ',')
		body = d.sections[i].appendJSON(body)
	}
	return append(body, '}')
}

// appendJSON appends the section as a member of a JSON object.
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
	const overhead = 64 // bytes of the version and the braces, and of the name of each section
	size := overhead
	for i := range d.sections {
		size += overhead + len(d.sections[i].raw)
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

// itemsOf returns the list in the section with that name. It is empty if there is no such section, or if that is no list.
func (d *Document) itemsOf(name string) itemList {
	if found := d.sectionNamed(name); found != nil {
		return found.list
	}
	return itemList{sorted: true}
}
