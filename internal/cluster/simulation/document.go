package simulation

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Route is a route of a configuration, as the operator sends it.
type Route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int64   `json:"timeoutMs"`
	TargetLatencyMs int64   `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Extension       float64 `json:"extension"`
	Unknown         string  `json:"note,omitempty"` // a field that the scheduler does not know and must preserve
}

// Queue returns the name of the route's queue.
func (r *Route) Queue() QueueName { return QueueName{r.Host, r.PathPrefix} }

// Service is a service of a configuration, as the operator sends it.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
	Preconditions  bool   `json:"preconditions"`
}

// Document is a complete configuration, as the operator sends it.
type Document struct {
	Version  int64            `json:"version"`
	Routes   []Route          `json:"routes"`
	Services []Service        `json:"services"`
	Limits   map[string]int64 `json:"limits"`
}

// Update is a partial change of a configuration: it replaces, adds or removes the items that it names.
type Update struct {
	Version int64   `json:"version"`
	Upsert  upserts `json:"upsert"`
	Remove  removes `json:"remove"`
}

type upserts struct {
	Routes   []Route   `json:"routes,omitempty"`
	Services []Service `json:"services,omitempty"`
}

type removes struct {
	Routes   []string `json:"routes,omitempty"`
	Services []string `json:"services,omitempty"`
}

// clone returns a deep copy of the document.
func (d *Document) clone() *Document {
	return &Document{Version: d.Version, Routes: slices.Clone(d.Routes), Services: slices.Clone(d.Services),
		Limits: maps.Clone(d.Limits)}
}

// apply returns a copy of the document to which an update of its routes is applied.
func (d *Document) apply(update *Update) *Document {
	next := d.clone()
	next.Version = update.Version
	next.Routes = slices.DeleteFunc(next.Routes, func(r Route) bool { return slices.Contains(update.Remove.Routes, r.Name) })
	for _, route := range update.Upsert.Routes {
		at := slices.IndexFunc(next.Routes, func(r Route) bool { return r.Name == route.Name })
		if at < 0 {
			next.Routes = append(next.Routes, route)
			continue
		}
		next.Routes[at] = route
	}
	return next
}

// route returns the route of that name, or nil.
func (d *Document) route(name string) *Route {
	for i := range d.Routes {
		if d.Routes[i].Name == name {
			return &d.Routes[i]
		}
	}
	return nil
}

// records returns the settings that the auditor needs of each queue.
func (d *Document) records() map[QueueName]RouteRecord {
	routes := map[QueueName]RouteRecord{}
	for i := range d.Routes {
		r := &d.Routes[i]
		routes[r.Queue()] = RouteRecord{Service: r.Service, MaxAttempts: r.MaxAttempts}
	}
	return routes
}

// Canonical returns a configuration's JSON in a canonical form, so that equal configurations have the same text: keys are
// sorted, and so are named items by their names. It returns "" if the body is not a JSON object.
func Canonical(body []byte) string {
	var document map[string]any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if decoder.Decode(&document) != nil {
		return ""
	}
	for _, value := range document {
		items, ok := value.([]any)
		if !ok {
			continue
		}
		slices.SortFunc(items, func(a, b any) int { return bytes.Compare([]byte(nameOf(a)), []byte(nameOf(b))) })
	}
	text, err := json.Marshal(document)
	if err != nil {
		return ""
	}
	return string(text)
}

// nameOf returns the name of an item of a configuration in JSON, or "" if it has none.
func nameOf(item any) string {
	fields, _ := item.(map[string]any)
	name, _ := fields["name"].(string)
	return name
}

// mustJSON returns a value as JSON. It panics if the value can't be encoded.
func mustJSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(text)
}
