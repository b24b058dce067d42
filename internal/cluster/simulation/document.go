package simulation

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
)

// Route is one route as the operator writes it.
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
	Note            string  `json:"note,omitempty"` // a field that the scheduler does not know
}

// Queue returns where the route's queue is reached.
func (r *Route) Queue() QueueName { return QueueName{r.Host, r.PathPrefix} }

// Service is one service as the operator writes it.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
	Protocol       string `json:"protocol"`
	TLS            bool   `json:"tls"`
	Preconditions  bool   `json:"preconditions"`
}

// Document is a whole configuration.
type Document struct {
	Version  int64            `json:"version"`
	Routes   []Route          `json:"routes"`
	Services []Service        `json:"services"`
	Limits   map[string]int64 `json:"limits"`
}

// Update changes named items of a configuration.
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

// clone returns a copy that shares nothing that changes.
func (d *Document) clone() *Document {
	return &Document{Version: d.Version, Routes: slices.Clone(d.Routes), Services: slices.Clone(d.Services),
		Limits: maps.Clone(d.Limits)}
}

// apply carries out an update.
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

// records returns what the document says of each queue.
func (d *Document) records() map[QueueName]RouteRecord {
	routes := map[QueueName]RouteRecord{}
	for i := range d.Routes {
		r := &d.Routes[i]
		routes[r.Queue()] = RouteRecord{Service: r.Service, MaxAttempts: r.MaxAttempts}
	}
	return routes
}

// Canonical returns a configuration's JSON in a form in which equal ones are equal: keys in order, named items by name.
// It is empty for what is no JSON object.
func Canonical(body []byte) string {
	var whole map[string]any
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if decoder.Decode(&whole) != nil {
		return ""
	}
	for _, value := range whole {
		items, ok := value.([]any)
		if !ok {
			continue
		}
		slices.SortFunc(items, func(a, b any) int { return bytes.Compare([]byte(nameOf(a)), []byte(nameOf(b))) })
	}
	text, err := json.Marshal(whole)
	if err != nil {
		return ""
	}
	return string(text)
}

func nameOf(item any) string {
	fields, _ := item.(map[string]any)
	name, _ := fields["name"].(string)
	return name
}

func mustJSON(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(text)
}
