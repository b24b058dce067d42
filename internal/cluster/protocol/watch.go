package protocol

// WatchRequest asks the owner of the configuration shard for anything newer than Version and Owners. The response is
// sent at once if there is something newer, otherwise after WaitMs at the latest. Encoded by gob: the field names are
// the wire format.
type WatchRequest struct {
	Version uint64 // newest version of the configuration that the caller has; 0: send a snapshot
	Owners  uint64 // revision of the owners that the caller has; 0: none
	WaitMs  int64
	Node    string // name of the caller's machine
	Changes bool   // the caller accepts changes since Version (configuration.Advance) in place of a snapshot

	Compressed bool // the caller accepts a large Configuration compressed

	OwnersOnly bool // the caller doesn't use the configuration: a new version alone is no reason to respond

	Zone  string // of the caller
	Relay string // internal address at which the caller relays calls; empty: it does not
}

// WatchResponse has a snapshot or the changes, and the owners. The sender's leadership was confirmed after the request
// arrived. Encoded by gob: the field names are the wire format.
type WatchResponse struct {
	Version       uint64 // newest committed version of the configuration; 0: none yet
	Configuration []byte // input of configuration.Advance; empty if the caller already has Version
	Compressed    bool   // Configuration is compressed by package compress/flate
	OwnersAt      uint64 // revision of Members and Owners
	Members       []Member
	Owners        map[ShardID]string // internal address of each shard's owner, as far as known
	Relays        []Relay            // relays the caller may use, in order of preference; empty: unchanged
	HeldMs        int64              // lower bound of the time between the request's arrival and the start of that confirmation
}

// Member is one control process. Encoded by gob: the field names are the wire format.
type Member struct {
	ID      uint64
	Node    string // name of its machine
	Zone    string
	Address string // internal
}
