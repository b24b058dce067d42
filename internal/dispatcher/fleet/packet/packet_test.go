package packet

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ospreypond/internal/dispatcher/fleet"
	"ospreypond/internal/dispatcher/fleet/quota"
)

// newCodec returns a codec and fails the test if there is an error.
func newCodec(t require.TestingT, name, key string) *Codec {
	c, err := New(name, []byte(key))
	require.NoError(t, err)
	return c
}

const key = "sixteen bytes or more"

// drawPacket draws a valid packet.
func drawPacket(t *rapid.T) *fleet.Packet {
	name := rapid.StringMatching(`[a-z0-9-]{1,16}`)
	record := rapid.Custom(func(t *rapid.T) fleet.Record {
		return fleet.Record{Name: name.Draw(t, "name"), Addr: "10.200.200.200:65535", Zone: name.Draw(t, "zone"),
			Epoch: rapid.Uint64().Draw(t, "life"), Incarnation: rapid.Uint32().Draw(t, "inc"), State: fleet.State(rapid.IntRange(0, 3).Draw(t, "state")),
			SuspectedBy: rapid.Uint32().Draw(t, "by"), Age: time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "age")) * time.Millisecond}
	})
	return &fleet.Packet{Kind: fleet.Kind(rapid.IntRange(1, 6).Draw(t, "kind")), From: record.Draw(t, "from"),
		ToEpoch: rapid.Uint64().Draw(t, "to"), Seq: rapid.Uint64().Draw(t, "seq"), Probe: rapid.Uint64().Draw(t, "probe"),
		Digest: rapid.Uint64().Draw(t, "digest"), Records: rapid.SliceOfN(record, 0, 9).Draw(t, "records"),
		Sums: rapid.SliceOfN(rapid.Uint64(), 0, 32).Draw(t, "sums"), Proofs: []quota.Proof{{Number: 7, Age: 3 * time.Microsecond}}}
}

// Decode returns the packet that was encoded, Seq reads the sequence number from the first 120 bytes, and after a change of
// any byte Decode returns an error.
func TestRoundTrip(t *testing.T) {
	c := newCodec(t, "f", key)
	rapid.Check(t, func(t *rapid.T) {
		p := drawPacket(t)
		d, err := c.Encode(p)
		require.NoError(t, err)
		got, err := c.Decode(d)
		require.NoError(t, err)
		if len(p.Records) == 0 {
			p.Records, got.Records = nil, nil
		}
		if len(p.Sums) == 0 {
			p.Sums, got.Sums = nil, nil
		}
		assert.Equal(t, p, got)
		seq, ok := c.Seq(d[:min(len(d), 120)])
		assert.True(t, ok)
		assert.Equal(t, p.Seq, seq)
		i := rapid.IntRange(0, len(d)-1).Draw(t, "byte")
		d[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		_, err = c.Decode(d)
		assert.Error(t, err)
	})
}

// Decode returns an *Error with the right reason for each kind of datagram that it must drop. Encode rejects packets that are
// too long, and New rejects names and keys of a wrong length.
func TestInvalidDatagramsAreRejected(t *testing.T) {
	c := newCodec(t, "fleet-a", key)
	good, err := c.Encode(&fleet.Packet{Kind: fleet.Ping, From: fleet.Record{Name: "d1", Addr: "a:1", Epoch: 1}})
	require.NoError(t, err)
	other, err := newCodec(t, "fleet-b", key).Encode(&fleet.Packet{Kind: fleet.Ping})
	require.NoError(t, err)
	forged, err := newCodec(t, "fleet-a", "another key of 16").Encode(&fleet.Packet{Kind: fleet.Ping})
	require.NoError(t, err)
	signed := func(body string) []byte { // a datagram with a valid HMAC; its body need not be a packet
		d := append([]byte{version, byte(len(c.name))}, c.name+body...)
		return append(d, c.mac(d)...)
	}
	next := append([]byte{version + 1}, good[1:]...)
	for want, d := range map[Reason][]byte{
		TooLong: []byte(strings.Repeat("x", MaxSize+1)), Version: next, Foreign: other, Forged: forged, Malformed: good[:17],
	} {
		_, err := c.Decode(d)
		var fault *Error
		require.ErrorAs(t, err, &fault, want)
		assert.Equal(t, want, fault.Reason)
	}
	for name, body := range map[string]string{"empty": "", "a map": "\xa0", "too few fields": "\x81\x01", "an array of indefinite length": "\x9f\x01\xff", "trailing bytes": string(good[9:len(good)-macSize]) + "\x00"} {
		_, err := c.Decode(signed(body))
		var fault *Error
		require.ErrorAs(t, err, &fault, name)
		assert.Equal(t, Malformed, fault.Reason, name)
	}
	_, err = c.Encode(&fleet.Packet{Kind: fleet.Gossip, Records: make([]fleet.Record, 300)})
	assert.ErrorContains(t, err, string(TooLong))
	for _, bad := range []struct{ name, key string }{{"", key}, {strings.Repeat("n", 65), key}, {"f", "short"}} {
		_, err := New(bad.name, []byte(bad.key))
		assert.Error(t, err)
	}
}

func FuzzDecode(f *testing.F) {
	c := newCodec(f, "f", key)
	d, _ := c.Encode(&fleet.Packet{Kind: fleet.Ping, From: fleet.Record{Name: "d1", Addr: "a:1", Epoch: 1}})
	f.Add(d)
	f.Fuzz(func(_ *testing.T, d []byte) {
		_, _ = c.Seq(d)
		head := append([]byte{version, 1, 'f'}, d...)
		_, _ = c.Decode(append(head, c.mac(head)...))
	})
}
