package protocol

// WatchRequest asks the owner of the configuration shard for a configuration newer than Version, and for owners of shards
// with another revision than Owners. Processes outside the control plane send it. The owner responds at once if it
// has either, and otherwise after WaitMs at the latest. Encoded by gob: the field names are the wire format.
type WatchRequest struct {
	Version uint64 // newest version of the configuration that the caller has; 0: none, or it wants the complete configuration
	Owners  uint64 // revision of the owners that the caller has; 0: none
	WaitMs  int64  // longest delay of the response
	Node    string // name of the caller's machine
	Changes bool   // the caller accepts the changes since Version (see configuration.Advance) in place of the whole document

	Compressed bool // the caller accepts WatchResponse.Configuration in compressed form

	OwnersOnly bool // the caller doesn't use the configuration: the owner sends none, and doesn't respond for a new version

	Zone  string // zone of the caller's machine
	Relay string // internal address at which the caller relays calls; empty: it relays none
}

// WatchResponse is the response of the owner of the configuration shard. The owner has confirmed its leadership after the
// request arrived, so the content of the response was current then. Encoded by gob: the field names are the wire format.
type WatchResponse struct {
	Version       uint64             // newest committed version of the configuration; 0: none yet
	Configuration []byte             // input of configuration.Advance; empty if the caller has Version, or uses no configuration
	Compressed    bool               // Configuration is compressed by package compress/flate
	OwnersAt      uint64             // revision of Members and Owners
	Members       []Member           // all control processes; empty if the caller has revision OwnersAt
	Owners        map[ShardID]string // internal address of each known owner of a shard; empty like Members
	Relays        []Relay            // relays that the caller may use, in order of preference; empty: keep the earlier relays

	// HeldMs is a lower bound of the time from the arrival of the request to the moment at which the owner began to
	// confirm its leadership. The caller knows when it sent the request, so it can tell how old the response's contents
	// are at most.
	HeldMs int64
}

// Member describes one control process. Encoded by gob: the field names are the wire format.
type Member struct {
	ID      uint64 // Raft ID of the process
	Node    string // name of its machine
	Zone    string // zone of its machine
	Address string // its internal address, ip:port
}
