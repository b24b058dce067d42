package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	// relayTTL is how long a relay is offered after its newest watch. It must be longer than the time between two watches of
	// an agent, which is at most ten seconds.
	relayTTL = 15 * time.Second
	// maxRelaysSameZone and maxRelaysOtherZones limit the relays that one response offers, by their zone.
	maxRelaysSameZone   = 2
	maxRelaysOtherZones = 2
)

// relayTable has the processes that offer to relay calls for others. The table is not replicated: each watch of a relay
// repeats the offer, so a new owner of the configuration knows all relays after the time of one watch.
type relayTable struct {
	relays map[string]relayRecord // by address
}

// relayRecord is one relay and the time of its newest watch.
type relayRecord struct {
	protocol.Relay
	lastContact time.Duration // engine's time
}

func newRelayTable() relayTable { return relayTable{relays: map[string]relayRecord{}} }

// record adds the relay that a watch offers, if it offers one, or updates its last contact.
func (t *relayTable) record(now time.Duration, request *protocol.WatchRequest) {
	if request.Relay != "" {
		t.relays[request.Relay] = relayRecord{protocol.Relay{Address: request.Relay, Zone: request.Zone}, now}
	}
}

// pick returns relays for a caller: first some of the caller's zone, then some of other zones, and never the caller itself.
// Within a zone, rendezvous hashing of the caller's node and the relay's address spreads the callers over the relays and
// keeps the choice stable. It also deletes a relay if its last contact is more than relayTTL ago.
func (t *relayTable) pick(now time.Duration, request *protocol.WatchRequest) []protocol.Relay {
	type ranked struct {
		relay protocol.Relay
		rank  uint64
	}
	var sameZone, otherZones []ranked
	for address, known := range t.relays {
		switch {
		case now-known.lastContact > relayTTL:
			delete(t.relays, address)
		case address == request.Relay:
		case known.Zone == request.Zone:
			sameZone = append(sameZone, ranked{known.Relay, rankOf(request.Node, address)})
		default:
			otherZones = append(otherZones, ranked{known.Relay, rankOf(request.Node, address)})
		}
	}
	var picked []protocol.Relay
	take := func(from []ranked, limit int) {
		slices.SortFunc(from, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
		for _, each := range from[:min(limit, len(from))] {
			picked = append(picked, each.relay)
		}
	}
	take(sameZone, maxRelaysSameZone)
	take(otherZones, maxRelaysOtherZones)
	return picked
}

// rankOf returns the hash of a caller's node and a relay's address. pick orders the relays by this hash.
func rankOf(node, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	return hash.Sum64()
}
