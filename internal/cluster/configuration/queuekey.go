package configuration

import "strings"

// queueKey identifies a queue. It depends on neither the name nor the service of the route, so a queue keeps its jobs when
// these change.
type queueKey struct {
	host   string // in lower case
	prefix string // path prefix; case counts
}

// QueueKey returns the key of a route's queue: its host in lower case, followed by its path prefix.
func QueueKey(route *Route) string { return queueKeyOf(route).String() }

func queueKeyOf(route *Route) queueKey {
	return queueKey{host: strings.ToLower(route.Host), prefix: route.PathPrefix}
}

// parseQueueKey is the inverse of String, provided that the host contains no slash and the prefix starts with one.
func parseQueueKey(key string) queueKey {
	slash := strings.IndexByte(key, '/')
	if slash < 0 {
		return queueKey{host: key}
	}
	return queueKey{host: key[:slash], prefix: key[slash:]}
}

// String returns the key in the form of QueueKey.
func (k queueKey) String() string { return k.host + k.prefix }

// compare compares keys by host, and by prefix for the same host.
func (k queueKey) compare(other queueKey) int {
	if byHost := strings.Compare(k.host, other.host); byHost != 0 {
		return byHost
	}
	return strings.Compare(k.prefix, other.prefix)
}
