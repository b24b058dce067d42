package directory

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// view is what is known of the cluster: its members, the owner of each shard and the version of the configuration. It does no
// I/O and reads no clock; the Directory's mutex guards it.
type view struct {
	seeds       []string // internal addresses
	version     uint64   // of the configuration; 0: none
	ownersAt    uint64   // revision of members and owners
	members     []protocol.Member
	owners      map[protocol.ShardID]string
	confirmedAt time.Time // the version was current then
	addresses   []string  // members, then seeds that are not members
	start       string    // the address to call if a shard's owner isn't known
}

func newView(seeds []string) *view {
	v := &view{owners: map[protocol.ShardID]string{}}
	v.setSeeds(seeds)
	return v
}

// setSeeds replaces the seeds.
func (v *view) setSeeds(seeds []string) {
	v.seeds = slices.Clone(seeds)
	v.collectAddresses()
}

// collectAddresses updates the addresses, each once, after members or seeds changed.
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

// viewUpdate is what the response to a watch brought.
type viewUpdate struct {
	stale         bool   // older than the present version: it was ignored
	incomplete    bool   // newer, but without the document: the complete one has to be requested
	configuration []byte // a newer document; setVersion follows once it was accepted
	ownersChanged bool   // of any shard, or the members
}

// apply takes over the members and owners of a response, and returns what the response brought. If ownersOnly is true, the
// document is ignored.
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

// applyOwners takes over members and owners of another revision than the present one, and reports whether they were. A new
// owner of the configuration counts revisions from the start, so any other one counts as newer.
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

// setVersion records that a version was accepted.
func (v *view) setVersion(version uint64) { v.version = max(v.version, version) }

// confirm records that the version was current at that time.
func (v *view) confirm(at time.Time) {
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// setOwner records a shard's owner; an empty one is ignored.
func (v *view) setOwner(shard protocol.ShardID, owner string) {
	if owner != "" {
		v.owners[shard] = owner
	}
}

// removeOwner removes a shard's owner if it is this one.
func (v *view) removeOwner(shard protocol.ShardID, owner string) {
	if v.owners[shard] == owner {
		delete(v.owners, shard)
	}
}

// startAtPosition selects the address to start from, by a position modulo the number of addresses.
func (v *view) startAtPosition(position uint32) {
	if len(v.addresses) > 0 {
		v.start = v.addresses[int(position%uint32(len(v.addresses)))]
	}
}

// avoid moves the address to start from to the next one if it is this one.
func (v *view) avoid(address string) {
	if v.start == address {
		v.start = v.targetAfter(address)
	}
}

// firstTarget returns the address to call first for a shard: its owner, or the one to start from; "" if none is known.
func (v *view) firstTarget(shard protocol.ShardID) string {
	if owner := v.owners[shard]; owner != "" {
		return owner
	}
	if slices.Contains(v.addresses, v.start) {
		return v.start
	}
	return v.targetAfter("")
}

// targetAfter returns the address that follows another one, round robin, or the first if that is unknown; "" if none is known.
func (v *view) targetAfter(address string) string {
	if len(v.addresses) == 0 {
		return ""
	}
	index := slices.Index(v.addresses, address)
	return v.addresses[(index+1)%len(v.addresses)]
}
