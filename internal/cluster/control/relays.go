package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

const (
	// relayFor is how long a relay is named after its newest watch: agents watch every ten seconds at least.
	relayFor = 15 * time.Second
	// relaysNear and relaysFar are how many relays of a caller's own zone and of others it is named.
	relaysNear = 2
	relaysFar  = 2
)

// relayTable is the processes that relay calls, as their watches tell. It is not replicated: a new owner of the
// configuration hears of them within one watch.
type relayTable struct {
	heard map[string]relayRecord // by address
}

type relayRecord struct {
	protocol.Relay
	at time.Duration
}

func newRelayTable() relayTable { return relayTable{heard: map[string]relayRecord{}} }

// hear takes what a watch tells of a relay.
func (t *relayTable) hear(now time.Duration, request *protocol.WatchRequest) {
	if request.Relay != "" {
		t.heard[request.Relay] = relayRecord{protocol.Relay{Address: request.Relay, Zone: request.Zone}, now}
	}
}

// pick returns some relays for a caller, those of its zone first. Callers are spread over them by their names.
func (t *relayTable) pick(now time.Duration, request *protocol.WatchRequest) []protocol.Relay {
	type ranked struct {
		relay protocol.Relay
		rank  uint64
	}
	var near, far []ranked
	for address, known := range t.heard {
		switch {
		case now-known.at > relayFor:
			delete(t.heard, address)
		case address == request.Relay:
		case known.Zone == request.Zone:
			near = append(near, ranked{known.Relay, rankOf(request.Node, address)})
		default:
			far = append(far, ranked{known.Relay, rankOf(request.Node, address)})
		}
	}
	var picked []protocol.Relay
	take := func(from []ranked, most int) {
		slices.SortFunc(from, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
		for _, each := range from[:min(most, len(from))] {
			picked = append(picked, each.relay)
		}
	}
	take(near, relaysNear)
	take(far, relaysFar)
	return picked
}

// rankOf orders relays differently for each caller.
func rankOf(node, address string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(node))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(address))
	return hash.Sum64()
}
