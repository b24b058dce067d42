package directory

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// view is a Directory's information about the cluster: the members, the owner of each shard and the version of the
// configuration. It does no I/O and reads no clock. The Directory's mutex guards it. Invariant: version and confirmedAt
// never decrease.
type view struct {
	seeds       []string // internal addresses of control processes, from the settings
	version     uint64   // newest accepted version of the configuration; 0: none
	ownersAt    uint64   // revision of members and owners, as the owner of the configuration counts them; 0: none
	members     []protocol.Member
	owners      map[protocol.ShardID]string // internal addresses of the known owners
	confirmedAt time.Time                   // the version was certainly current at this time or later; zero: never confirmed
	addresses   []string                    // internal addresses of members, then of seeds that are not members
	start       string                      // the address to call first for a shard whose owner isn't known
}

func newView(seeds []string) *view {
	v := &view{owners: map[protocol.ShardID]string{}}
	v.setSeeds(seeds)
	return v
}

// setSeeds replaces the seeds and updates the addresses.
func (v *view) setSeeds(seeds []string) {
	v.seeds = slices.Clone(seeds)
	v.collectAddresses()
}

// collectAddresses sets the addresses after members or seeds changed. Each address is listed once.
func (v *view) collectAddresses() {
	addresses := make([]string, 0, len(v.members)+len(v.seeds))
	for _, member := range v.members {
		if member.Address != "" && !slices.Contains(addresses, member.Address) {
			addresses = append(addresses, member.Address)
		}
	}
	for _, seed := range v.seeds {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	v.addresses = addresses
}

// viewUpdate describes the news in the response to a watch, compared with the view.
type viewUpdate struct {
	stale         bool   // the response has an older version than the view: it was ignored
	incomplete    bool   // the response has a newer version without a document: the complete document has to be requested
	configuration []byte // the newer document, or nil; the caller calls setVersion once it is accepted
	ownersChanged bool   // the owner of a shard or the members changed
}

// apply adopts the members and owners of a response unless it is stale, and returns the news in it. It doesn't change the
// version. If ownersOnly is true, it ignores the response's document, and a missing document doesn't make the update
// incomplete.
func (v *view) apply(response *protocol.WatchResponse, ownersOnly bool) viewUpdate {
	if response.Version < v.version {
		return viewUpdate{stale: true}
	}
	update := viewUpdate{ownersChanged: v.applyOwners(response)}
	switch {
	case ownersOnly || response.Version == v.version:
	case len(response.Configuration) == 0:
		update.incomplete = true
	default:
		update.configuration = response.Configuration
	}
	return update
}

// applyOwners adopts the members and owners of a response if their revision differs from the view's, and reports whether it
// did. A new owner of the configuration counts revisions from the start again. So every other revision, also a lower one,
// is taken as newer.
func (v *view) applyOwners(response *protocol.WatchResponse) bool {
	isEmpty := len(response.Members) == 0 && len(response.Owners) == 0
	if isEmpty || response.OwnersAt == v.ownersAt {
		return false
	}
	v.ownersAt = response.OwnersAt
	if len(response.Members) > 0 {
		v.members = response.Members
		v.collectAddresses()
	}
	for shard, owner := range response.Owners {
		v.setOwner(shard, owner)
	}
	return true
}

// setVersion records that a version was accepted. It ignores a version below the current one.
func (v *view) setVersion(version uint64) { v.version = max(v.version, version) }

// confirm records that the version was current at the given time. It ignores a time before confirmedAt.
func (v *view) confirm(at time.Time) {
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// setOwner records a shard's owner. It ignores an empty address.
func (v *view) setOwner(shard protocol.ShardID, owner string) {
	if owner != "" {
		v.owners[shard] = owner
	}
}

// removeOwner removes a shard's recorded owner if it is the given one.
func (v *view) removeOwner(shard protocol.ShardID, owner string) {
	if v.owners[shard] == owner {
		delete(v.owners, shard)
	}
}

// startAtPosition sets start to the address at the given position, modulo the number of addresses.
func (v *view) startAtPosition(position uint32) {
	if len(v.addresses) > 0 {
		v.start = v.addresses[int(position%uint32(len(v.addresses)))]
	}
}

// avoid sets start to the next address if start is the given address.
func (v *view) avoid(address string) {
	if v.start == address {
		v.start = v.targetAfter(address)
	}
}

// firstTarget returns the address to call first for a shard: its owner if known, else start if it is still listed, else the
// first address. It returns "" if no address is known.
func (v *view) firstTarget(shard protocol.ShardID) string {
	if owner := v.owners[shard]; owner != "" {
		return owner
	}
	if slices.Contains(v.addresses, v.start) {
		return v.start
	}
	return v.targetAfter("")
}

// targetAfter returns the address that follows the given one in the list, from the last to the first again. If the given
// address isn't listed, it returns the first one. It returns "" if no address is known.
func (v *view) targetAfter(address string) string {
	if len(v.addresses) == 0 {
		return ""
	}
	index := slices.Index(v.addresses, address)
	return v.addresses[(index+1)%len(v.addresses)]
}
