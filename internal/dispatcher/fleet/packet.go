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
	PingReq                 // SWIM's ping-req: asks the receiver to probe Target, which didn't answer the sender
	Ack                     // the answer to the Ping or PingReq with the same Probe
	Nack                    // Lifeguard's nack, the answer to a PingReq: Target hasn't answered yet, but the receiver of the PingReq works
	Sync                    // the sums of the sender's buckets, as a request for the records in the buckets that differ
	Gossip                  // records only; in the first reply to a Sync, sums as well
)

// Packet is a message from one member to another. Every packet carries the record of its sender and as many updates as fit.
type Packet struct {
	Kind Kind
	From Record
	// ToEpoch is the epoch of the receiver in the sender's view; 0 if the sender doesn't know it.
	ToEpoch uint64
	// Seq numbers the packets of one process, so that a refusal can be matched with the datagram that was refused.
	Seq uint64
	// Probe identifies a probe. Acks and Nacks repeat the Probe of the Ping or PingReq that they answer.
	Probe uint64
	// Target and TargetAddr are the name and the address of the member that a PingReq asks to probe.
	Target, TargetAddr string
	Digest             uint64        // of the sender's view
	Records            []Record      // from the sender's view: updates, or the reply to a Sync
	Sums               []uint64      // of the sender's buckets, in a Sync and in the first packet of the reply to it
	Proofs             []quota.Proof // the sender's valid proofs of death, in an Ack
}

// Upper bounds of encoded sizes, in bytes, for filling packets up to Config.MaxRecordBytes.
const (
	maxRecordOverhead = 30 // of a record without its name, address and zone
	maxProofSize      = 10 // of a proof
	maxSumSize        = 9  // of a bucket's sum
)

// maxSize returns an upper bound of the record's encoded size, in bytes.
func (r *Record) maxSize() int { return maxRecordOverhead + len(r.Name) + len(r.Addr) + len(r.Zone) }

// hashOf returns a hash of a member's name, which identifies the member in 4 bytes.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// bucketOf returns the index of the bucket of the member with this name.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % buckets) }

// sumOf returns the hash of a living member's name and epoch, which is added to its bucket's sum. Incarnations are left out, as
// they only count refutations: views that differ in them alone are equal.
func sumOf(r *Record) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], r.Epoch)
	d := xxhash.New()
	_, _ = d.WriteString(r.Name)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// send queues p for an address, after filling in its sender, its Seq, the view's digest and as many updates as fit.
func (c *Core) send(to string, p *Packet) {
	c.lastID++
	p.From, p.Seq, p.Digest = c.self, c.lastID, c.Digest()
	c.piggyback(p, to)
	c.out = append(c.out, Datagram{To: to, Packet: p})
}

// sent is a probe that was sent lately: an answer or a refusal for it may still arrive.
type sentProbe struct {
	to    string
	epoch uint64 // of the receiver; 0 if not known
	at    time.Duration
}
