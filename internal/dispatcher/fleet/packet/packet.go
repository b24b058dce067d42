// Package packet encodes the fleet's packets as UDP datagrams and decodes them. A datagram has these parts, in this order:
//
//	1 byte    version, 1; another version of the format has another first byte
//	1 byte    n, the length of the fleet's name
//	n bytes   the fleet's name
//	...       the packet in CBOR (RFC 8949): an array of the 11 fields of wirePacket
//	16 bytes  the first 16 bytes of an HMAC-SHA256, with the fleet's key, over all bytes before
//
// Structs are CBOR arrays of fixed length, so that a datagram with a missing or an additional field is rejected. The fields
// are, in this order:
//
//	packet  kind, sender (a record), epoch of the receiver, sequence number, probe, target's name, target's address, digest of the
//	        view, records, bucket sums, proofs of death
//	record  name, address, zone, epoch, incarnation, state, hash of the suspecting member, age in milliseconds
//	proof   number, age in microseconds
//
// CBOR was chosen over msgpack and protobuf. All three are small enough: a record takes 60 to 70 bytes in each format,
// mostly for names. A CBOR decoder can be configured to reject unexpected input (indefinite lengths, other types, too many
// elements, trailing bytes). A msgpack decoder accepts numbers of any width and kind for any field and doesn't bound
// arrays. Protobuf keeps unknown fields by design and needs a generator at build time.
package packet

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ospreypond/internal/dispatcher/fleet"
	"ospreypond/internal/dispatcher/fleet/quota"
)

const (
	version = 1
	macSize = 16 // bytes
	// MaxSize is the size of the largest datagram, in bytes. Usual networks carry it without fragmentation.
	MaxSize = 1400
)

// Reason is the reason for dropping a datagram, in the words of logs and counters.
type Reason string

// The reasons.
const (
	TooLong   Reason = "too long"
	Version   Reason = "other version"
	Foreign   Reason = "other fleet"
	Forged    Reason = "digest does not match"
	Malformed Reason = "malformed"
)

// Error is the error for a datagram that is dropped, or that would be too long to send.
type Error struct {
	Reason Reason
	Err    error // the decoder's; may be nil
}

// Error returns the reason and, if there is one, its cause.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("datagram dropped: %s: %v", e.Reason, e.Err)
	}
	return "datagram dropped: " + string(e.Reason)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Codec encodes and decodes the datagrams of one fleet. It is safe for concurrent use.
type Codec struct {
	name string
	key  []byte
	enc  cbor.EncMode
	dec  cbor.DecMode
}

// New returns the codec of the fleet with this name. All its members must have the same key. If the name or the key has a
// wrong length, the error is a *fleet.ConfigError.
func New(name string, key []byte) (*Codec, error) {
	if name == "" || len(name) > 64 {
		return nil, &fleet.ConfigError{Field: "Name", Value: fmt.Sprintf("%d bytes long", len(name)), Want: "1 to 64 are allowed"}
	}
	if len(key) < 16 {
		return nil, &fleet.ConfigError{Field: "Key", Value: fmt.Sprintf("%d bytes long", len(key)), Want: "at least 16 are needed"}
	}
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	dec, err := cbor.DecOptions{MaxArrayElements: 512, MaxNestedLevels: 5, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, UTF8: cbor.UTF8RejectInvalid,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		return nil, err
	}
	return &Codec{name: name, key: key, enc: enc, dec: dec}, nil
}

// The types of the wire format. They are encoded as CBOR arrays, so the order of their fields matters and the names do not.
// They are separate from the types of package fleet, so that a change of those doesn't change the wire format.
type (
	wirePacket struct {
		_       struct{} `cbor:",toarray"`
		Kind    uint8
		From    wireRecord
		ToEpoch uint64
		Seq     uint64
		Probe   uint64
		Target  string
		At      string
		Digest  uint64
		Records []wireRecord
		Sums    []uint64
		Proofs  []wireProof
	}
	wireRecord struct {
		_           struct{} `cbor:",toarray"`
		Name        string
		Addr        string
		Zone        string
		Epoch       uint64
		Incarnation uint32
		State       uint8
		By          uint32
		AgeMs       uint64
	}
	wireProof struct {
		_      struct{} `cbor:",toarray"`
		Number uint32
		AgeUs  uint64
	}
)

// Encode returns p as a datagram, or an *Error with the reason TooLong if it would be longer than MaxSize.
func (c *Codec) Encode(p *fleet.Packet) ([]byte, error) {
	w := wirePacket{Kind: uint8(p.Kind), From: toWire(&p.From), ToEpoch: p.ToEpoch, Seq: p.Seq, Probe: p.Probe,
		Target: p.Target, At: p.TargetAddr, Digest: p.Digest, Sums: p.Sums}
	for i := range p.Records {
		w.Records = append(w.Records, toWire(&p.Records[i]))
	}
	for _, f := range p.Proofs { // rounded up: a proof must not appear newer than it is
		w.Proofs = append(w.Proofs, wireProof{Number: uint32(f.Number), AgeUs: uint64((f.Age + time.Microsecond - 1) / time.Microsecond)})
	}
	body, err := c.enc.Marshal(&w)
	if err != nil {
		return nil, err
	}
	d := append([]byte{version, byte(len(c.name))}, c.name...)
	d = append(d, body...)
	d = append(d, c.mac(d)...)
	if len(d) > MaxSize {
		return nil, &Error{Reason: TooLong, Err: fmt.Errorf("%d bytes, %d allowed", len(d), MaxSize)}
	}
	return d, nil
}

// Decode returns the packet in a datagram. It checks size, version, fleet and HMAC before it decodes the packet. The error is
// an *Error.
func (c *Codec) Decode(d []byte) (*fleet.Packet, error) {
	if len(d) > MaxSize {
		return nil, &Error{Reason: TooLong}
	}
	if len(d) < 2+macSize {
		return nil, &Error{Reason: Malformed, Err: fmt.Errorf("%d bytes", len(d))}
	}
	if d[0] != version {
		return nil, &Error{Reason: Version, Err: fmt.Errorf("%d, not %d", d[0], version)}
	}
	end := 2 + int(d[1])
	if end > len(d)-macSize || string(d[2:end]) != c.name {
		return nil, &Error{Reason: Foreign}
	}
	if !hmac.Equal(c.mac(d[:len(d)-macSize]), d[len(d)-macSize:]) {
		return nil, &Error{Reason: Forged}
	}
	var w wirePacket
	if err := c.dec.Unmarshal(d[end:len(d)-macSize], &w); err != nil {
		return nil, &Error{Reason: Malformed, Err: err}
	}
	p := &fleet.Packet{Kind: fleet.Kind(w.Kind), From: fromWire(&w.From), ToEpoch: w.ToEpoch, Seq: w.Seq, Probe: w.Probe,
		Target: w.Target, TargetAddr: w.At, Digest: w.Digest, Sums: w.Sums}
	for i := range w.Records {
		p.Records = append(p.Records, fromWire(&w.Records[i]))
	}
	for _, f := range w.Proofs {
		p.Proofs = append(p.Proofs, quota.Proof{Number: int(f.Number), Age: bounded(f.AgeUs, time.Microsecond)})
	}
	return p, nil
}

// Seq returns the Seq of a datagram that this codec encoded. d may be only its beginning, as a machine that refuses a
// datagram returns only its first bytes. The HMAC is therefore not checked; the caller matches the Seq with the datagrams
// that it sent. ok reports whether d is the beginning of such a datagram.
func (c *Codec) Seq(d []byte) (seq uint64, ok bool) {
	end := 2 + len(c.name)
	if len(d) <= end || d[0] != version || int(d[1]) != len(c.name) || string(d[2:end]) != c.name || d[end]>>5 != 4 {
		return 0, false
	}
	var (
		rest    = d[end+1:]
		kind    uint8
		from    cbor.RawMessage
		toEpoch uint64
		err     error
	)
	for _, v := range []any{&kind, &from, &toEpoch, &seq} {
		if rest, err = c.dec.UnmarshalFirst(rest, v); err != nil {
			return 0, false
		}
	}
	return seq, true
}

// mac returns the truncated HMAC over d.
func (c *Codec) mac(d []byte) []byte {
	h := hmac.New(sha256.New, c.key)
	h.Write(d)
	return h.Sum(nil)[:macSize]
}

func toWire(r *fleet.Record) wireRecord {
	return wireRecord{Name: r.Name, Addr: r.Addr, Zone: r.Zone, Epoch: r.Epoch, Incarnation: r.Incarnation,
		State: uint8(r.State), By: r.SuspectedBy, AgeMs: uint64(max(0, r.Age) / time.Millisecond)}
}

func fromWire(w *wireRecord) fleet.Record {
	return fleet.Record{Name: w.Name, Addr: w.Addr, Zone: w.Zone, Epoch: w.Epoch, Incarnation: w.Incarnation,
		State: fleet.State(w.State), SuspectedBy: w.By, Age: bounded(w.AgeMs, time.Millisecond)}
}

// bounded returns n units, but at most 1<<62 nanoseconds, so that adding a time to it doesn't overflow.
func bounded(n uint64, unit time.Duration) time.Duration {
	return time.Duration(min(n, uint64(1<<62)/uint64(unit))) * unit
}
