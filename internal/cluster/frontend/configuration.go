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

// configurationApplier applies the versions of the configuration that the directory receives: it makes a View of each and
// sets it as the current one. Only the directory's goroutine may use it.
type configurationApplier struct {
	views    *Views
	logger   log.Logger
	document *configuration.Document // newest version that was applied; nil: none
}

// apply is the directory's OnConfiguration. It returns an error if data can't be parsed, or has changes to another
// version than the newest that was applied. The directory then requests the complete configuration.
func (a *configurationApplier) apply(version uint64, data []byte) error {
	document, err := configuration.Advance(a.document, data)
	if err != nil {
		return err
	}
	a.document = document
	a.views.Set(viewOf(document))
	_ = level.Debug(a.logger).Log("msg", "configuration applied", "version", version)
	return nil
}

// confirmedDirectory is the Directory of a frontend. The directory's confirmations are about the newest version that it has
// received. They count here only once that version is the current view: a request must not be answered by an older view on
// the strength of a confirmation of a newer version.
type confirmedDirectory struct {
	*directory.Directory
	views *Views
}

// Fresh reports whether the current view was confirmed at most maxAge ago.
func (d confirmedDirectory) Fresh(maxAge time.Duration) bool {
	return d.Directory.Fresh(maxAge) && d.viewIsConfirmed()
}

// ConfirmedSince reports whether the current view was confirmed to be the newest version at that time or later.
func (d confirmedDirectory) ConfirmedSince(at time.Time) bool {
	return d.Directory.ConfirmedSince(at) && d.viewIsConfirmed()
}

// viewIsConfirmed reports whether the current view is of the version that the directory has confirmed, or of a newer one.
func (d confirmedDirectory) viewIsConfirmed() bool {
	confirmed := d.Version()
	current := d.views.Current()
	return current != nil && current.Version >= confirmed
}

// viewOf returns the view of a configuration document.
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

// milliseconds returns a duration of count ms.
func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// routeTable is the Table of a configuration document. It makes a Route at each lookup and not in advance, as a
// configuration may have many routes that are never requested.
type routeTable struct {
	document *configuration.Document
	table    *configuration.Table
}

// Lookup returns the route of a request; see Table.
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

// shardsOf returns the shard of a queue's current service, then the shards of its earlier services, without duplicates.
func shardsOf(present string, earlier []string) []protocol.ShardID {
	shards := append(make([]protocol.ShardID, 0, 1+len(earlier)), protocol.ShardOf(present))
	for _, service := range earlier {
		if shard := protocol.ShardOf(service); !slices.Contains(shards, shard) {
			shards = append(shards, shard)
		}
	}
	return shards
}
