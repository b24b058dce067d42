package configuration

import (
	"strings"
)

// Table finds the route of a request. It never changes; a Document has its own.
type Table struct{ places places }

// Lookup returns the route whose host is host and whose path prefix is the longest that path starts with, and the rest
// of the path behind that prefix. Hosts are compared without case and without a port.
func (t *Table) Lookup(host, path string) (route *Route, rest string, ok bool) {
	host = normalHost(host)
	bound := path
	for {
		i, found := t.places.find(place{host: host, prefix: bound})
		if !found {
			i--
		}
		if i < 0 || t.places[i].place.host != host {
			return nil, "", false
		}
		// Of all prefixes of the bound that are here, the longest comes last, and nothing but what lies between it and the
		// bound comes after it.
		prefix := t.places[i].place.prefix
		common := commonLength(prefix, bound)
		if common == len(prefix) {
			return t.places[i].route, path[common:], true
		}
		bound = bound[:common]
	}
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.places) }

// QueueKey names the queue of a route: its host in lower case, and its path prefix.
func QueueKey(route *Route) string { return strings.ToLower(route.Host) + route.PathPrefix }

func commonLength(a, b string) int {
	length := min(len(a), len(b))
	for i := range length {
		if a[i] != b[i] {
			return i
		}
	}
	return length
}

// normalHost returns a Host header's name in lower case, without its port.
func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
