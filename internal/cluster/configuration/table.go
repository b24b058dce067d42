package configuration

import (
	"strings"
)

// Table finds the route of a request. It never changes, and may be used by any goroutine.
type Table struct{ queues queueIndex }

// Lookup returns the route of a request's host whose path prefix is the longest one that the path starts with, and the rest
// of the path after that prefix. ok is false, and route nil, if there is none. Hosts are compared without case and port.
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
		// Prefixes of the bound sort before it, and whatever sorts between one of them and the bound begins with it, too. So
		// none is longer than what the bound and the last item before it have in common, to which the bound is truncated.
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

// commonLength returns the length of the longest common prefix.
func commonLength(a, b string) int {
	length := min(len(a), len(b))
	for i := range length {
		if a[i] != b[i] {
			return i
		}
	}
	return length
}

// normalizeHost returns the name in a Host header, in lower case and without the port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
