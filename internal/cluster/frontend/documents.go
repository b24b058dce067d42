package frontend

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/protocol"
)

// documents turns what the directory hands over into views.
type documents struct {
	views    *Views
	logger   log.Logger
	document *configuration.Document
}

// take puts a version in force. If it can't be read, or doesn't lead on from the one in force, the directory brings
// the whole.
func (d *documents) take(version uint64, data []byte) error {
	document, err := configuration.Advance(d.document, data)
	if err != nil {
		return err
	}
	d.document = document
	d.views.Set(viewOf(document))
	level.Debug(d.logger).Log("msg", "a configuration is in force", "version", version)
	return nil
}

// confirmed is a directory whose confirmations count only for a version that is in force here: one that could not be
// read isn't.
type confirmed struct {
	*directory.Directory
	views *Views
}

// Fresh tells whether what is in force here was confirmed within the last while.
func (c confirmed) Fresh(within time.Duration) bool {
	return c.Directory.Fresh(within) && c.inForce()
}

// ConfirmedSince tells whether what is in force here was confirmed for some moment not before that time.
func (c confirmed) ConfirmedSince(at time.Time) bool {
	return c.Directory.ConfirmedSince(at) && c.inForce()
}

// inForce tells whether the version that the directory has confirmed is in force here, or a newer one.
func (c confirmed) inForce() bool {
	known := c.Directory.Version()
	current := c.views.Current()
	return current != nil && current.Version >= known
}

// viewOf returns a document as requests use it.
func viewOf(document *configuration.Document) *View {
	limits := document.Limits()
	return &View{
		Version: document.Version(),
		Table:   documentTable{document: document, table: document.Table()},
		Limits: Limits{
			MaxHeaderBytes: int(limits.MaxHeaderBytes),
			MaxBodyBytes:   limits.MaxBodyBytes,
			HeaderTimeout:  milliseconds(limits.HeaderTimeoutMs),
			IdleTimeout:    milliseconds(limits.IdleTimeoutMs),
		},
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// documentTable makes a Route at each look-up: a configuration may have many that are never asked for.
type documentTable struct {
	document *configuration.Document
	table    *configuration.Table
}

// Lookup finds the route of a request.
func (t documentTable) Lookup(host, path string) (*Route, string, bool) {
	found, rest, ok := t.table.Lookup(host, path)
	if !ok {
		return nil, "", false
	}
	key := configuration.QueueKey(found)
	return &Route{
		Queue: protocol.Queue{
			Key:             key,
			Service:         found.Service,
			Priority:        int(found.Priority),
			MaxAttempts:     int(found.MaxAttempts),
			Extension:       found.Extension,
			TargetLatencyMs: found.TargetLatencyMs,
		},
		Timeout: milliseconds(found.TimeoutMs),
		Shards:  shardsOf(found.Service, t.document.EarlierServices(key)),
	}, rest, true
}

// shardsOf returns the shard of the present service and those of the earlier ones, each once.
func shardsOf(present string, earlier []string) []protocol.ShardID {
	shards := append(make([]protocol.ShardID, 0, 1+len(earlier)), protocol.ShardOf(present))
next:
	for _, service := range earlier {
		shard := protocol.ShardOf(service)
		for _, known := range shards {
			if known == shard {
				continue next
			}
		}
		shards = append(shards, shard)
	}
	return shards
}
