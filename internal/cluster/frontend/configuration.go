package frontend

import (
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/directory"
	"ospreypond/internal/cluster/protocol"
)

// configurationApplier puts the versions of the configuration that the directory receives in force. The directory's
// goroutine alone uses it.
type configurationApplier struct {
	views    *Views
	logger   log.Logger
	document *configuration.Document
}

// apply is the directory's OnConfiguration. After an error, as when data can't be parsed or doesn't build on the version in
// force, the directory asks for the complete configuration.
func (a *configurationApplier) apply(version uint64, data []byte) error {
	document, err := configuration.Advance(a.document, data)
	if err != nil {
		return err
	}
	a.document = document
	a.views.Set(viewOf(document))
	_ = level.Debug(a.logger).Log("msg", "a configuration is in force", "version", version)
	return nil
}

// confirmedDirectory is a directory whose confirmations only count for a version that is in force here: one that could not
// be parsed isn't.
type confirmedDirectory struct {
	*directory.Directory
	views *Views
}

// Fresh reports whether what is in force here was confirmed at most maxAge ago.
func (d confirmedDirectory) Fresh(maxAge time.Duration) bool {
	return d.Directory.Fresh(maxAge) && d.isInForce()
}

// ConfirmedSince reports whether what is in force here was confirmed to be so at that time or later.
func (d confirmedDirectory) ConfirmedSince(at time.Time) bool {
	return d.Directory.ConfirmedSince(at) && d.isInForce()
}

// isInForce reports whether the version that the directory has confirmed, or a newer one, is in force here.
func (d confirmedDirectory) isInForce() bool {
	confirmed := d.Version()
	current := d.views.Current()
	return current != nil && current.Version >= confirmed
}

// viewOf returns a document as requests use it.
func viewOf(document *configuration.Document) *View {
	limits := document.Limits()
	return &View{
		Version: document.Version(),
		Table:   routeTable{document: document, table: document.Table()},
		Limits: Limits{
			MaxHeaderBytes: int(limits.MaxHeaderBytes),
			MaxBodyBytes:   limits.MaxBodyBytes,
			HeaderTimeout:  milliseconds(limits.HeaderTimeoutMs),
			IdleTimeout:    milliseconds(limits.IdleTimeoutMs),
		},
	}
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// routeTable is the Table of a document. It makes a Route at each lookup: a configuration may have many that are never
// requested.
type routeTable struct {
	document *configuration.Document
	table    *configuration.Table
}

// Lookup finds the route of a request.
func (t routeTable) Lookup(host, path string) (*Route, string, bool) {
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
	for _, service := range earlier {
		if shard := protocol.ShardOf(service); !slices.Contains(shards, shard) {
			shards = append(shards, shard)
		}
	}
	return shards
}
