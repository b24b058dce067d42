package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	// relayTTL is how long a relay is offered after its newest watch. Agents watch at least every ten seconds.
	relayTTL = 15 * time.Second
	// maxRelaysSameZone and maxRelaysOtherZones bound the relays that one response offers.
	maxRelaysSameZone   = 2
	maxRelaysOtherZones = 2
)

// relayTable holds the processes that offer to relay calls for others. They say so in their watches, so the table is not
// replicated: a new owner of the configuration learns of them within the time of one watch.
type relayTable struct {
	relays map[string]relayRecord // by address
}

type relayRecord struct {
	protocol.Relay
	lastContact time.Duration
}

func newRelayTable() relayTable { return relayTable{relays: map[string]relayRecord{}} }

// record adds or refreshes the relay that a watch offers, if it offers one.
func (t *relayTable) record(now time.Duration, request *protocol.WatchRequest) {
	if request.Relay != "" {
		t.relays[request.Relay] = relayRecord{protocol.Relay{Address: request.Relay, Zone: request.Zone}, now}
	}
}

// pick returns relays for a caller, those of its own zone first, and never the caller itself. Rendezvous hashing of node
// and address spreads the callers over the relays. It also forgets relays that have been unresponsive for relayTTL.
func (t *relayTable) pick(now time.Duration, request *protocol.WatchRequest) []protocol.Relay {
	type ranked struct {
		relay protocol.Relay
		rank  uint64
	}
	var near, far []ranked
	for address, known := range t.relays {
		switch {
		case now-known.lastContact > relayTTL:
			delete(t.relays, address)
		case address == request.Relay:
		case known.Zone == request.Zone:
			near = append(near, ranked{known.Relay, rankOf(request.Node, address)})
		default:
			far = append(far, ranked{known.Relay, rankOf(request.Node, address)})
		}
	}
	var picked []protocol.Relay
	take := func(from []ranked, limit int) {
		slices.SortFunc(from, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
		for _, each := range from[:min(limit, len(from))] {
			picked = append(picked, each.relay)
		}
	}
	take(near, maxRelaysSameZone)
	take(far, maxRelaysOtherZones)
	return picked
}

// rankOf is the hash by which pick orders relays for one caller.
func rankOf(node, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	return hash.Sum64()
}
