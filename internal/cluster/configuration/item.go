package configuration

import (
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// The names of the sections that this package interprets; others are only kept.
const (
	sectionRoutes   = "routes"
	sectionServices = "services"
	sectionLimits   = "limits"
)

// unmarshaler ignores unknown fields.
var unmarshaler = protojson.UnmarshalOptions{DiscardUnknown: true}

// item is a named member of a list of the configuration, or a queue without a route. It never changes once its document is
// complete.
type item struct {
	name            string
	raw             []byte   // JSON as the operator sent it
	route           *Route   // of routes only
	service         *Service // of services only
	queue           queueKey // of routes and queues without a route only
	earlierServices []string // services that the queue had, in order, other than its present one
	droppedIn       uint64   // of queues without a route only: the first version without it
}

// allServices returns the earlier services of the queue and its present one, if any, in order.
func (i *item) allServices() []string {
	if i.route == nil {
		return i.earlierServices
	}
	return append(i.earlierServices[:len(i.earlierServices):len(i.earlierServices)], i.route.Service)
}

// parseItem parses a member of the list with the name section.
func parseItem(section string, raw []byte) (*item, error) {
	switch section {
	case sectionRoutes:
		route := &Route{}
		if err := parseMessage(raw, route); err != nil {
			return nil, invalidf("routes: %v", err)
		}
		return &item{name: route.Name, raw: raw, route: route, queue: queueKeyOf(route)}, nil
	case sectionServices:
		service := &Service{}
		if err := parseMessage(raw, service); err != nil {
			return nil, invalidf("services: %v", err)
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
