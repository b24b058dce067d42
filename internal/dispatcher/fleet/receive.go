package fleet

import (
	"slices"
	"time"
)

// Verdict says what became of a packet.
type Verdict uint8

// The verdicts.
const (
	Accepted    Verdict = iota
	StaleEpoch          // from a life of its sender that a later one has followed
	Misdirected         // for another life, or from this member's own name
	Malformed           // a kind that is not known, or fields that cannot be
	Ended               // this member has ended
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"taken", "earlier life", "misdirected", "senseless", "over"}[v]
}

// Receive takes in a packet that came from an address.
func (c *Core) Receive(now time.Duration, from string, p *Packet) Verdict {
	c.advance(now)
	switch {
	case c.hasEnded:
		return Ended
	case p.Kind < Ping || p.Kind > Gossip || p.From.Name == "" || p.From.Addr == "" || p.From.Epoch == 0 || len(p.Sums) > buckets:
		return Malformed
	case p.From.Name == c.self.Name:
		c.merge(p.From, false)
		return Misdirected
	case p.ToEpoch != 0 && p.ToEpoch != c.self.Epoch && p.Kind != Ping:
		return Misdirected
	}
	if m := c.members[p.From.Name]; m != nil && p.From.Epoch < m.Epoch {
		c.send(from, &Packet{Kind: Gossip, Records: []Record{c.recordOf(m)}}) // it may not know
		return StaleEpoch
	}
	c.merge(p.From, false)
	for i := range p.Records {
		c.merge(p.Records[i], p.Kind == Gossip)
	}
	if c.hasEnded {
		return Accepted
	}
	if p.ToEpoch == c.self.Epoch {
		c.isAcknowledged = true
	}
	switch p.Kind {
	case Ping:
		c.ack(from, p)
	case PingReq:
		life := uint64(0)
		if m := c.members[p.Target]; m != nil {
			life = m.Epoch
		}
		id := c.ping(p.TargetAddr, life, 0)
		c.relays[id] = relay{to: from, probe: p.Probe, nackAt: c.now + c.cfg.Interval/probeSteps, endAt: c.now + 2*c.cfg.Interval}
	case Ack:
		c.handleAck(from, p)
	case Nack:
		if pr := c.probe; pr != nil && pr.id == p.Probe {
			pr.nacks++
		}
	case Sync:
		c.answerSync(from, p, true)
	case Gossip:
		if len(p.Sums) > 0 {
			c.answerSync(from, p, false)
		}
	}
	c.updateConverged()
	return Accepted
}

// ack answers a probe.
func (c *Core) ack(to string, p *Packet) {
	a := &Packet{Kind: Ack, ToEpoch: p.From.Epoch, Probe: p.Probe}
	if c.tracker != nil {
		a.Proofs = c.tracker.Proofs(c.now, maxProofs)
	}
	c.send(to, a)
}

// handleAck takes in the answer to a probe.
func (c *Core) handleAck(from string, p *Packet) {
	if r, ok := c.relays[p.Probe]; ok {
		c.send(r.to, &Packet{Kind: Ack, Probe: r.probe})
		delete(c.relays, p.Probe)
	}
	if pr := c.probe; pr != nil && pr.id == p.Probe && !pr.answered {
		pr.answered = true
		if pr.indirect == 0 {
			c.adjustHealth(-1)
		}
	}
	if s, ok := c.probes[p.Probe]; ok && s.to == from {
		if c.tracker != nil {
			c.tracker.Merge(c.now, s.at, p.Proofs)
		}
		c.compareDigest(from, p)
	}
}

// compareDigest compares views by their digests, and asks for what differs.
func (c *Core) compareDigest(from string, p *Packet) {
	if p.Digest == c.Digest() {
		c.agreedAt = c.now
		return
	}
	c.differedAt = c.now
	if c.now >= c.syncAt {
		c.syncAt = c.now + c.cfg.Interval/4
		c.send(from, &Packet{Kind: Sync, ToEpoch: p.From.Epoch, Sums: slices.Clone(c.sums[:])})
	}
}

// answerSync answers the sums of another's view with what this one holds where they differ; ask says to return this view's
// sums, so that the other one tells too.
func (c *Core) answerSync(to string, p *Packet, ask bool) {
	if len(p.Sums) != buckets {
		return
	}
	// The living come before the others, and each list begins at a random record: where the pages don't take all records,
	// repeated comparisons send each of them in time.
	tell := c.differing(p, true, nil)
	tell = c.differing(p, false, tell)
	for sent := 0; sent < maxPagesPerReply && c.pagesSent < maxPagesPerInterval; sent++ {
		page := &Packet{Kind: Gossip, ToEpoch: p.From.Epoch}
		room := c.cfg.MaxRecordBytes
		if sent == 0 && ask {
			page.Sums = slices.Clone(c.sums[:])
			room -= 9 * buckets
		}
		for len(tell) > 0 && room >= tell[0].maxSize() {
			room -= tell[0].maxSize()
			page.Records, tell = append(page.Records, tell[0]), tell[1:]
		}
		if len(page.Records)+len(page.Sums) == 0 {
			return
		}
		c.pagesSent++
		c.send(to, page)
	}
}

// differing appends the records of the living members, or of the others, in the buckets whose sum in p is not this view's.
func (c *Core) differing(p *Packet, living bool, records []Record) []Record {
	first := c.rng.IntN(buckets)
	for i := range buckets {
		b := (first + i) % buckets
		bucket := c.byBucket[b]
		if p.Sums[b] == c.sums[b] || len(bucket) == 0 || len(records) >= maxSyncRecords {
			continue
		}
		start := c.rng.IntN(len(bucket))
		for j := range bucket {
			if m := bucket[(start+j)%len(bucket)]; m.State.Living() == living && m.Name != p.From.Name {
				records = append(records, c.recordOf(m))
			}
		}
	}
	return records
}

// updateConverged tells whether the view is settled.
func (c *Core) updateConverged() {
	settled := c.now-c.differedAt >= convergedIntervals*c.cfg.Interval && (c.now-c.agreedAt < 2*convergedIntervals*c.scaled(c.cfg.Interval) || len(c.living) == 0)
	c.setConverged(settled && len(c.suspects) == 0)
}

func (c *Core) setConverged(is bool) {
	if c.converged != is {
		c.converged, c.since = is, c.now
	}
}
