package fleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"ospreypond/internal/dispatcher/fleet/quota"
)

// Kind is the kind of a packet.
type Kind uint8

// The kinds of packets.
const (
	Ping    Kind = iota + 1 // a probe
	PingReq                 // SWIM's indirect probe: a request to probe Target, which did not answer the sender
	Ack                     // the answer to a Ping or a PingReq of the same Probe
	Nack                    // Lifeguard's answer to a PingReq: Target did not answer either, but the helper works
	Sync                    // the sums of the sender's buckets, a request for the records of those that differ
	Gossip                  // records alone
)

// Packet is what one member sends another. Every packet carries the record of its sender and as many updates as fit.
type Packet struct {
	Kind Kind
	From Record
	// ToEpoch is the epoch that the sender takes the receiver to be in; 0: not known.
	ToEpoch uint64
	// Seq numbers the packets of one process, so that a refusal can be matched with the datagram it is for.
	Seq uint64
	// Probe identifies a probe: Acks and Nacks repeat that of their Ping or PingReq.
	Probe uint64
	// Target and TargetAddr are the member that a PingReq is about.
	Target, TargetAddr string
	Digest             uint64        // of the sender's view
	Records            []Record      // of the sender's view
	Sums               []uint64      // of the sender's buckets, in a Sync and in the first page that answers it
	Proofs             []quota.Proof // in an Ack
}

// Upper bounds of encoded sizes in bytes, by which packets are filled.
const (
	maxRecordOverhead = 30 // of a record beside its name, address and zone
	maxProofSize      = 10
	maxSumSize        = 9
)

// maxSize returns an upper bound of the encoded size in bytes.
func (r *Record) maxSize() int { return maxRecordOverhead + len(r.Name) + len(r.Addr) + len(r.Zone) }

// hashOf identifies a member in few bytes.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// bucketOf returns the bucket of a member.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % buckets) }

// sumOf is what a living member adds to its bucket's sum. Incarnations are left out: they only count its suspicions.
func sumOf(r *Record) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], r.Epoch)
	d := xxhash.New()
	_, _ = d.WriteString(r.Name)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// send queues p for an address, completed by its sender, updates and the view's digest.
func (c *Core) send(to string, p *Packet) {
	c.lastID++
	p.From, p.Seq, p.Digest = c.self, c.lastID, c.Digest()
	c.piggyback(p, to)
	c.out = append(c.out, Datagram{To: to, Packet: p})
}

// sent is a probe that was sent lately, which an answer or a refusal may still be for.
type sent struct {
	to    string
	epoch uint64 // of the receiver; 0: not known
	at    time.Duration
}
