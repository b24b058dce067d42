package configuration

import "strings"

// queueKey identifies a queue: a host in lower case, and a path prefix.
type queueKey struct {
	host   string
	prefix string
}

// QueueKey returns the key of a route's queue: its host in lower case, and its path prefix.
func QueueKey(route *Route) string { return queueKeyOf(route).String() }

func queueKeyOf(route *Route) queueKey {
	return queueKey{host: strings.ToLower(route.Host), prefix: route.PathPrefix}
}

// parseQueueKey is the inverse of String: a host contains no slash, and a prefix starts with one.
func parseQueueKey(key string) queueKey {
	slash := strings.IndexByte(key, '/')
	if slash < 0 {
		return queueKey{host: key}
	}
	return queueKey{host: key[:slash], prefix: key[slash:]}
}

// String returns the form that QueueKey returns.
func (k queueKey) String() string { return k.host + k.prefix }

func (k queueKey) compare(other queueKey) int {
	if byHost := strings.Compare(k.host, other.host); byHost != 0 {
		return byHost
	}
	return strings.Compare(k.prefix, other.prefix)
}
