package fleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"ospreypond/internal/dispatcher/fleet/quota"
)

// Kind says what a packet is for.
type Kind uint8

// The kinds of packets.
const (
	Ping    Kind = iota + 1 // are you there?
	PingReq                 // is Target there, whom I can't reach?
	Ack                     // yes, to a Ping or a PingReq of the same Probe
	Nack                    // to a PingReq: I got no answer either, but I am here
	Sync                    // these are the sums of my view's parts; tell me of those where yours differ
	Gossip                  // records alone
)

// Packet is what one member sends another. Every packet carries its sender as it sees itself, and news.
type Packet struct {
	Kind Kind
	From Record
	// ToEpoch is the life that the receiver is taken to be in; 0: not known.
	ToEpoch uint64
	// Seq numbers what one life sends, so that a refusal tells which datagram it is for.
	Seq uint64
	// Probe is what an Ack or Nack answers.
	Probe uint64
	// Target is whom a PingReq is about.
	Target, TargetAddr string
	Digest             uint64
	Records            []Record
	Sums               []uint64
	Proofs             []quota.Proof
}

// maxRecordOverhead is what a record takes beside its name, address and zone, at most.
const maxRecordOverhead = 30

func (r *Record) maxSize() int { return maxRecordOverhead + len(r.Name) + len(r.Addr) + len(r.Zone) }

// hashOf names a member in few bytes.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % buckets) }

// sumOf is what a living member adds to its part's sum. Incarnations are left out: they only say how often it was doubted.
func sumOf(r *Record) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], r.Epoch)
	d := xxhash.New()
	_, _ = d.WriteString(r.Name)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// send sends p to an address, with its sender, news and the view's digest.
func (c *Core) send(to string, p *Packet) {
	c.lastID++
	p.From, p.Seq, p.Digest = c.self, c.lastID, c.Digest()
	c.piggyback(p, to)
	c.out = append(c.out, Datagram{To: to, Packet: p})
}

// sent is a probe that was sent lately.
type sent struct {
	to    string
	epoch uint64 // of whom it was sent to; 0: not known
	at    time.Duration
}
