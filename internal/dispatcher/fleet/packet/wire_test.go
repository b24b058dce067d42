package packet

import (
	"encoding/hex"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ospreypond/internal/dispatcher/fleet"
	"ospreypond/internal/dispatcher/fleet/quota"
)

// The encoding of a packet stays the same byte for byte, as dispatchers of two releases form one fleet during an upgrade.
func TestWireFormat(t *testing.T) {
	got, err := newCodec(t, "f", key).Encode(&fleet.Packet{Kind: fleet.PingReq,
		From:    fleet.Record{Name: "d1", Addr: "10.0.0.1:7", Zone: "a", Epoch: 1_800_000_000_000, Incarnation: 3},
		ToEpoch: 1_700_000_000_000, Seq: 9, Probe: 8, Target: "d2", TargetAddr: "10.0.0.2:7", Digest: 5,
		Records: []fleet.Record{{Name: "d2", Addr: "10.0.0.2:7", Zone: "b", Epoch: 7, Incarnation: 1, State: fleet.Dead, SuspectedBy: 6, Age: 1500 * time.Millisecond}},
		Sums:    []uint64{1, 2}, Proofs: []quota.Proof{{Number: 4, Age: 1500 * time.Microsecond}}})
	require.NoError(t, err)
	assert.Equal(t, "0101668b02886264316a31302e302e302e313a3761611b000001a3185c5000030000001b0000018bcfe5680009086264326a31302e302e"+
		"302e323a370581886264326a31302e302e302e323a376162070102061905dc8201028182041905dcd93ab255bc2637ff3e5267ac13c9f1"+
		"b3", hex.EncodeToString(got))
}
