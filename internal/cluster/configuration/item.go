package configuration

import (
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Names of the sections that this package interprets. It keeps all others without looking into them.
const (
	sectionRoutes   = "routes"
	sectionServices = "services"
	sectionLimits   = "limits"
)

// unmarshaler ignores unknown fields: a configuration may have fields of a later version, or of other programs.
var unmarshaler = protojson.UnmarshalOptions{DiscardUnknown: true}

// item is a named member of a list of the configuration, or a queue without a route. It never changes after the document for
// which it was parsed is complete, since later documents share it.
type item struct {
	name            string
	raw             []byte   // JSON as the operator sent it
	route           *Route   // nil unless the item is a route
	service         *Service // nil unless the item is a service
	queue           queueKey // set for routes and for queues without a route
	earlierServices []string // services that the queue had before its current service, the most recent last
	droppedIn       uint64   // first version in which the queue had no route; 0 unless the item is a queue without a route
}

// allServices returns the earlier services of the queue, followed by its present one if it has a route.
func (i *item) allServices() []string {
	if i.route == nil {
		return i.earlierServices
	}
	return append(i.earlierServices[:len(i.earlierServices):len(i.earlierServices)], i.route.Service)
}

// parseItem parses an element of the list in a section.
func parseItem(section string, raw []byte) (*item, error) {
	switch section {
	case sectionRoutes:
		route := &Route{}
		if err := parseMessage(raw, route); err != nil {
			return nil, invalidf("routes: %v, in the item %.120s", err, raw)
		}
		return &item{name: route.Name, raw: raw, route: route, queue: queueKeyOf(route)}, nil
	case sectionServices:
		service := &Service{}
		if err := parseMessage(raw, service); err != nil {
			return nil, invalidf("services: %v, in the item %.120s", err, raw)
		}
		return &item{name: service.Name, raw: raw, service: service}, nil
	}
	return &item{name: itemName(raw), raw: raw}, nil
}

// parseMessage parses JSON into a message of configuration.proto.
func parseMessage(raw []byte, message proto.Message) error {
	return unmarshaler.Unmarshal(raw, message)
}

// itemName returns the string under `name` in the JSON object raw, or "" if there is none.
func itemName(raw []byte) string {
	fields, _ := jsonObject(raw)
	for _, field := range fields {
		if field.key == "name" && field.value[0] == '"' {
			return jsonString(field.value)
		}
	}
	return ""
}
