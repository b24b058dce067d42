package fleet

import (
	"slices"
	"time"
)

// Verdict says what became of a packet.
type Verdict uint8

// The verdicts.
const (
	Taken       Verdict = iota
	EarlierLife         // from a life of its sender that a later one has followed
	Misdirected         // for another life, or from this member's own name
	Senseless           // a kind that is not known, or fields that cannot be
	Over                // this member has ended
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"taken", "earlier life", "misdirected", "senseless", "over"}[v]
}

// Receive takes in a packet that came from an address.
func (c *Core) Receive(now time.Duration, from string, p *Packet) Verdict {
	c.advance(now)
	switch {
	case c.ended:
		return Over
	case p.Kind < Ping || p.Kind > News || p.From.Name == "" || p.From.Addr == "" || p.From.Life == 0 || len(p.Sums) > buckets:
		return Senseless
	case p.From.Name == c.self.Name:
		c.merge(p.From, false)
		return Misdirected
	case p.ToLife != 0 && p.ToLife != c.self.Life && p.Kind != Ping:
		return Misdirected
	}
	if m := c.members[p.From.Name]; m != nil && p.From.Life < m.Life {
		c.send(from, &Packet{Kind: News, Records: []Record{c.aged(m)}}) // it may not know
		return EarlierLife
	}
	c.merge(p.From, false)
	for i := range p.Records {
		c.merge(p.Records[i], p.Kind == News)
	}
	if c.ended {
		return Taken
	}
	if p.ToLife == c.self.Life {
		c.proven = true
	}
	switch p.Kind {
	case Ping:
		c.answer(from, p)
	case PingReq:
		life := uint64(0)
		if m := c.members[p.Target]; m != nil {
			life = m.Life
		}
		id := c.ping(p.TargetAddr, life, 0)
		c.relays[id] = relay{to: from, probe: p.Probe, nackAt: c.now + c.cfg.Interval/steps, endAt: c.now + 2*c.cfg.Interval}
	case Ack:
		c.acked(from, p)
	case Nack:
		if pr := c.probe; pr != nil && pr.id == p.Probe {
			pr.nacked++
		}
	case Sync:
		c.compare(from, p, true)
	case News:
		if len(p.Sums) > 0 {
			c.compare(from, p, false)
		}
	}
	c.look()
	return Taken
}

// answer answers a probe.
func (c *Core) answer(to string, p *Packet) {
	a := &Packet{Kind: Ack, ToLife: p.From.Life, Probe: p.Probe}
	if c.shares != nil {
		a.Proofs = c.shares.Proofs(c.now, proofsMost)
	}
	c.send(to, a)
}

// acked takes in the answer to a probe.
func (c *Core) acked(from string, p *Packet) {
	if r, ok := c.relays[p.Probe]; ok {
		c.send(r.to, &Packet{Kind: Ack, Probe: r.probe})
		delete(c.relays, p.Probe)
	}
	if pr := c.probe; pr != nil && pr.id == p.Probe && !pr.answered {
		pr.answered = true
		if pr.asked == 0 {
			c.blame(-1)
		}
	}
	if s, ok := c.probes[p.Probe]; ok && s.to == from {
		if c.shares != nil {
			c.shares.Merge(c.now, s.at, p.Proofs)
		}
		c.differs(from, p)
	}
}

// differs compares views by their digests, and asks for what differs.
func (c *Core) differs(from string, p *Packet) {
	if p.Digest == c.Digest() {
		c.agreed = c.now
		return
	}
	c.differed = c.now
	if c.now >= c.syncAt {
		c.syncAt = c.now + c.cfg.Interval/4
		c.send(from, &Packet{Kind: Sync, ToLife: p.From.Life, Sums: slices.Clone(c.sums[:])})
	}
}

// compare answers the sums of another's view with what this one holds where they differ; ask says to return this view's
// sums, so that the other one tells too.
func (c *Core) compare(to string, p *Packet, ask bool) {
	if len(p.Sums) != buckets {
		return
	}
	// The living come before the others, and each list begins at a random record: where the pages don't take all records,
	// repeated comparisons send each of them in time.
	tell := c.differing(p, true, nil)
	tell = c.differing(p, false, tell)
	for sent := 0; sent < pagesMost && c.pages < pagesBudget; sent++ {
		page := &Packet{Kind: News, ToLife: p.From.Life}
		room := c.cfg.Room
		if sent == 0 && ask {
			page.Sums = slices.Clone(c.sums[:])
			room -= 9 * buckets
		}
		for len(tell) > 0 && room >= tell[0].room() {
			room -= tell[0].room()
			page.Records, tell = append(page.Records, tell[0]), tell[1:]
		}
		if len(page.Records)+len(page.Sums) == 0 {
			return
		}
		c.pages++
		c.send(to, page)
	}
}

// differing appends the records of the living members, or of the others, in the buckets whose sum in p is not this view's.
func (c *Core) differing(p *Packet, living bool, records []Record) []Record {
	first := c.rng.IntN(buckets)
	for i := range buckets {
		b := (first + i) % buckets
		bucket := c.parts[b]
		if p.Sums[b] == c.sums[b] || len(bucket) == 0 || len(records) >= recordsMost {
			continue
		}
		start := c.rng.IntN(len(bucket))
		for j := range bucket {
			if m := bucket[(start+j)%len(bucket)]; m.State.Living() == living && m.Name != p.From.Name {
				records = append(records, c.aged(m))
			}
		}
	}
	return records
}

// look tells whether the view is settled.
func (c *Core) look() {
	settled := c.now-c.differed >= quiet*c.cfg.Interval && (c.now-c.agreed < 2*quiet*c.scaled(c.cfg.Interval) || len(c.living) == 0)
	c.settle(settled && len(c.doubted) == 0)
}

func (c *Core) settle(is bool) {
	if c.settled != is {
		c.settled, c.since = is, c.now
	}
}
