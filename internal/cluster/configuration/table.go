package configuration

import (
	"strings"
)

// Table finds the route of a request. It never changes and may be used by any goroutine.
type Table struct{ queues queueIndex }

// Lookup returns the route for a host and path: the host's route with the longest prefix that the path starts with. rest
// is the path after the prefix. ok is false, and route nil, if no route of the host matches. Hosts are compared without
// case and port.
func (t *Table) Lookup(host, path string) (route *Route, rest string, ok bool) {
	host = normalizeHost(host)
	bound := path
	for {
		i, found := t.queues.find(queueKey{host: host, prefix: bound})
		if !found {
			i--
		}
		if i < 0 || t.queues[i].queue.host != host {
			return nil, "", false
		}
		// Invariant: bound starts with every route prefix of the host that path starts with. Item i is the last one of
		// the host at or before bound in the order of the index. If bound starts with the prefix of item i, that is the
		// longest match, since a longer one would sort after it. Otherwise every match m sorts before item i, and all
		// strings in the order between m and bound start with m. So m is a prefix of both item i and bound, and bound can
		// be truncated to the common prefix of these two. This prefix is shorter than bound, so the loop ends.
		prefix := t.queues[i].queue.prefix
		common := commonLength(prefix, bound)
		if common == len(prefix) {
			return t.queues[i].route, path[common:], true
		}
		bound = bound[:common]
	}
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.queues) }

// commonLength returns the length, in bytes, of the longest common prefix of two strings.
func commonLength(a, b string) int {
	length := min(len(a), len(b))
	for i := range length {
		if a[i] != b[i] {
			return i
		}
	}
	return length
}

// normalizeHost returns the host of a Host header in lower case and without the port. A colon in an IPv6 address that ends
// with "]" separates no port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
