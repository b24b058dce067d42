package configuration

import (
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Names of the sections that this package reads; others are kept as they are.
const (
	sectionRoutes   = "routes"
	sectionServices = "services"
	sectionLimits   = "limits"
)

// lenient passes over fields that the types do not know.
var lenient = protojson.UnmarshalOptions{DiscardUnknown: true}

// place is where a queue stands: a host in lower case, and a path prefix.
type place struct {
	host   string
	prefix string
}

func (p place) compare(other place) int {
	if byHost := strings.Compare(p.host, other.host); byHost != 0 {
		return byHost
	}
	return strings.Compare(p.prefix, other.prefix)
}

func (p place) key() string { return p.host + p.prefix }

// placeOf takes a queue's key apart. A host holds no slash and a prefix starts with one.
func placeOf(key string) place {
	slash := strings.IndexByte(key, '/')
	if slash < 0 {
		return place{host: key}
	}
	return place{host: key[:slash], prefix: key[slash:]}
}

// item is one named member of a list of the configuration, or a queue that was dropped. It never changes.
type item struct {
	name    string
	raw     []byte   // JSON as the operator sent it
	route   *Route   // of routes only
	service *Service // of services only
	place   place    // of routes and dropped queues only
	earlier []string // services that the queue had before, in order, without its present one
	dropped uint64   // of dropped queues only: the version that dropped it
}

// services returns every service that the queue ever had, in order.
func (i *item) services() []string {
	if i.route == nil {
		return i.earlier
	}
	return append(i.earlier[:len(i.earlier):len(i.earlier)], i.route.Service)
}

// readItem reads one member of the list of that name.
func readItem(section string, raw []byte) (*item, error) {
	switch section {
	case sectionRoutes:
		route := &Route{}
		if err := readMessage(raw, route); err != nil {
			return nil, invalidf("routes: %v", err)
		}
		at := place{host: strings.ToLower(route.Host), prefix: route.PathPrefix}
		return &item{name: route.Name, raw: raw, route: route, place: at}, nil
	case sectionServices:
		service := &Service{}
		if err := readMessage(raw, service); err != nil {
			return nil, invalidf("services: %v", err)
		}
		return &item{name: service.Name, raw: raw, service: service}, nil
	}
	return &item{name: nameOf(raw), raw: raw}, nil
}

func readMessage(raw []byte, message proto.Message) error {
	return lenient.Unmarshal(raw, message)
}

// nameOf returns the text under `name` in the JSON object raw, or "".
func nameOf(raw []byte) string {
	fields, _ := object(raw)
	for _, field := range fields {
		if field.key == "name" && field.value[0] == '"' {
			return text(field.value)
		}
	}
	return ""
}
