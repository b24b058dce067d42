package fleet

import (
	"cmp"
	"math"
	"slices"
)

// update is a record in the gossip queue. It is piggybacked on packets until it has been transmitted often enough, see
// piggyback.
type update struct {
	record    Record
	transmits int
}

// broadcast queues a record to be piggybacked on the next packets, in place of a queued one about the same member. If the
// queue is full, the update with the most transmissions is dropped, but never one about this member itself. A dropped
// record is spread when views are synchronized.
func (c *Core) broadcast(r Record) {
	if c.updates[r.Name] == nil && len(c.updates) >= maxUpdates {
		var mostSent *update
		for _, u := range c.updates {
			if u.record.Name != c.self.Name && (mostSent == nil || u.transmits > mostSent.transmits || u.transmits == mostSent.transmits && u.record.Name < mostSent.record.Name) {
				mostSent = u
			}
		}
		delete(c.updates, mostSent.record.Name)
	}
	c.updates[r.Name] = &update{record: r}
}

// piggyback adds updates to p up to Config.MaxRecordBytes, those with the fewest transmissions first. If the receiver is
// suspect or dead in this view, its record comes before all updates, so that it can refute it (Lifeguard's buddy system). An
// update is removed from the queue after retransmitMult * ceil(log2(living members + 1)) transmissions.
func (c *Core) piggyback(p *Packet, to string) {
	bytesLeft := c.cfg.MaxRecordBytes - len(p.Proofs)*maxProofSize - len(p.Sums)*maxSumSize
	for i := range p.Records {
		bytesLeft -= p.Records[i].maxSize()
	}
	if m := c.memberAt(to); m != nil && (m.State == Suspect || m.State == Dead) {
		p.Records, bytesLeft = append(p.Records, c.recordOf(m)), bytesLeft-m.maxSize()
	}
	if len(c.updates) == 0 {
		return
	}
	queue := make([]*update, 0, len(c.updates))
	for _, u := range c.updates {
		queue = append(queue, u)
	}
	slices.SortFunc(queue, func(a, b *update) int {
		return cmp.Or(a.transmits-b.transmits, cmp.Compare(a.record.Name, b.record.Name))
	})
	maxTransmits := retransmitMult * int(math.Ceil(math.Log2(float64(len(c.living)+2))))
	for _, u := range queue {
		if bytesLeft -= u.record.maxSize(); bytesLeft < 0 {
			break
		}
		if m := c.members[u.record.Name]; m != nil {
			u.record.Age = c.recordOf(m).Age
		}
		p.Records = append(p.Records, u.record)
		if u.transmits++; u.transmits >= maxTransmits {
			delete(c.updates, u.record.Name)
		}
	}
}
