package directory

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// view is what is known of the system: who its members are, who owns which shard, and which version of the
// configuration is in force. It is pure; the Directory guards it.
type view struct {
	seeds       []string // internal addresses
	version     uint64   // of the configuration held; 0: none
	ownersAt    uint64   // revision of members and owners
	members     []protocol.Member
	owners      map[protocol.ShardID]string
	confirmedAt time.Time // what was in force then is known here
	addresses   []string  // members, then seeds that are no members
	start       string    // whom to ask where no owner is known
}

func newView(seeds []string) *view {
	v := &view{owners: map[protocol.ShardID]string{}}
	v.setSeeds(seeds)
	return v
}

func (v *view) setSeeds(seeds []string) {
	v.seeds = slices.Clone(seeds)
	v.gatherAddresses()
}

func (v *view) gatherAddresses() {
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

// news is what an answer to a watch brought.
type news struct {
	stale         bool   // older than what is held: to be ignored
	incomplete    bool   // newer, but without the document: a snapshot must be asked for
	configuration []byte // a newer document, not yet in force here
	owners        bool   // members or owners changed
}

// judge tells what an answer brings, and takes over members and owners. The configuration's version moves by adopt.
// With ownersOnly, the document is of no concern.
func (v *view) judge(answer *protocol.WatchResponse, ownersOnly bool) news {
	if answer.Version < v.version {
		return news{stale: true}
	}
	brought := news{owners: v.takeOwners(answer)}
	switch {
	case ownersOnly || answer.Version == v.version:
	case len(answer.Configuration) == 0:
		brought.incomplete = true
	default:
		brought.configuration = answer.Configuration
	}
	return brought
}

// takeOwners takes over members and owners of another revision than the one held. A new owner of the configuration
// may count its revisions anew, so they are compared for being the same and not for being higher.
func (v *view) takeOwners(answer *protocol.WatchResponse) bool {
	nothing := len(answer.Members) == 0 && len(answer.Owners) == 0
	if nothing || answer.OwnersAt == v.ownersAt {
		return false
	}
	v.ownersAt = answer.OwnersAt
	if len(answer.Members) > 0 {
		v.members = answer.Members
		v.gatherAddresses()
	}
	for shard, owner := range answer.Owners {
		v.learn(shard, owner)
	}
	return true
}

// adopt takes note that a version is in force here.
func (v *view) adopt(version uint64) { v.version = max(v.version, version) }

// confirm takes note that what was in force at that time is known.
func (v *view) confirm(at time.Time) {
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
}

// learn takes note of a shard's owner.
func (v *view) learn(shard protocol.ShardID, owner string) {
	if owner != "" {
		v.owners[shard] = owner
	}
}

// forget drops a shard's owner if it is this one.
func (v *view) forget(shard protocol.ShardID, owner string) {
	if v.owners[shard] == owner {
		delete(v.owners, shard)
	}
}

// startAt has the address at a place of all that are known, counted round, be the one to start from.
func (v *view) startAt(place uint32) {
	if len(v.addresses) > 0 {
		v.start = v.addresses[int(place%uint32(len(v.addresses)))]
	}
}

// doubt has other addresses than this one be asked first.
func (v *view) doubt(address string) {
	if v.start == address {
		v.start = v.after(address)
	}
}

// first returns whom to ask for a shard: its owner, or where to start; "" if nobody is known.
func (v *view) first(shard protocol.ShardID) string {
	if owner := v.owners[shard]; owner != "" {
		return owner
	}
	if slices.Contains(v.addresses, v.start) {
		return v.start
	}
	return v.after("")
}

// after returns the address that follows another among all that are known, or the first; "" if none is known.
func (v *view) after(address string) string {
	if len(v.addresses) == 0 {
		return ""
	}
	place := slices.Index(v.addresses, address)
	return v.addresses[(place+1)%len(v.addresses)]
}
