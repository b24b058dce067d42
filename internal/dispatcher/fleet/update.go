package fleet

import (
	"cmp"
	"math"
	"slices"
)

// update is a record that is being gossiped: it rides on packets until it was transmitted often enough.
type update struct {
	record    Record
	transmits int
}

// broadcast queues a record to be piggybacked on the next packets, in place of an earlier one on the same member. Where the
// queue is full, the update with the most transmissions is dropped; comparisons of views spread what it said.
func (c *Core) broadcast(r Record) {
	if c.updates[r.Name] == nil && len(c.updates) >= maxUpdates {
		var oldest *update
		for _, u := range c.updates {
			if u.record.Name != c.self.Name && (oldest == nil || u.transmits > oldest.transmits || u.transmits == oldest.transmits && u.record.Name < oldest.record.Name) {
				oldest = u
			}
		}
		delete(c.updates, oldest.record.Name)
	}
	c.updates[r.Name] = &update{record: r}
}

// piggyback adds updates to p up to its size limit, those with the fewest transmissions first. Before all others comes what the
// receiver has to refute, if this view has it as suspect or dead (Lifeguard's buddy system).
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
