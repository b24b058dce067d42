package fleet

import "time"

// Verdict says whether Receive accepted a packet, or why it dropped it.
type Verdict uint8

// The verdicts.
const (
	Accepted    Verdict = iota
	StaleEpoch          // its sender is a process that a later one of the same name has replaced
	Misdirected         // it is for another epoch of this member, or from a process with this member's name
	Malformed           // its kind is not known, or a field has an impossible value
	Ended               // this member has left or is superseded
)

// String returns the name under which operators see the verdict in the counters of dropped datagrams. These names leave the
// process, so they stay as they are although the constants have other names.
func (v Verdict) String() string {
	return [...]string{"taken", "earlier life", "misdirected", "senseless", "over"}[v]
}

// Receive handles a packet from an address. Only an Accepted packet changes the view, with one exception: the sender's record
// in a packet from a process with this member's name is merged, so that the process with the lower epoch learns that it is
// superseded.
func (c *Core) Receive(now time.Duration, from string, p *Packet) Verdict {
	c.advance(now)
	switch {
	case c.hasEnded:
		return Ended
	case p.Kind < Ping || p.Kind > Gossip || p.From.Name == "" || p.From.Addr == "" || p.From.Epoch == 0 || len(p.Sums) > buckets:
		return Malformed
	case p.From.Name == c.self.Name:
		c.merge(p.From, gossiped)
		return Misdirected
	case p.ToEpoch != 0 && p.ToEpoch != c.self.Epoch && p.Kind != Ping:
		return Misdirected
	}
	if m := c.members[p.From.Name]; m != nil && p.From.Epoch < m.Epoch {
		c.send(from, &Packet{Kind: Gossip, Records: []Record{c.recordOf(m)}}) // the sender may not know of the later process
		return StaleEpoch
	}
	c.merge(p.From, gossiped)
	origin := gossiped
	if p.Kind == Gossip {
		origin = synchronized
	}
	for i := range p.Records {
		c.merge(p.Records[i], origin)
	}
	if c.hasEnded {
		return Accepted
	}
	if p.ToEpoch == c.self.Epoch {
		c.isAcknowledged = true
	}
	c.handleKind(from, p)
	c.updateConverged()
	return Accepted
}

// handleKind handles an accepted packet by its kind.
func (c *Core) handleKind(from string, p *Packet) {
	switch p.Kind {
	case Ping:
		c.ack(from, p)
	case PingReq:
		c.probeFor(from, p)
	case Ack:
		c.handleAck(from, p)
	case Nack:
		if pr := c.probe; pr != nil && pr.id == p.Probe {
			pr.nacks++
		}
	case Sync:
		c.replyToSync(from, p, true)
	case Gossip:
		if len(p.Sums) > 0 {
			c.replyToSync(from, p, false)
		}
	}
}

// ack answers a probe, with the valid proofs of death that this member has.
func (c *Core) ack(to string, p *Packet) {
	reply := &Packet{Kind: Ack, ToEpoch: p.From.Epoch, Probe: p.Probe}
	if c.tracker != nil {
		reply.Proofs = c.tracker.Proofs(c.now, maxProofs)
	}
	c.send(to, reply)
}

// handleAck handles the Ack of a probe that this member sent for itself or for another member. An answer before any
// indirect probe was requested lowers the local health score. Proofs and digest are used only if the probed address itself
// answered.
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
	if s, ok := c.sentProbes[p.Probe]; ok && s.to == from {
		if c.tracker != nil {
			c.tracker.Merge(c.now, s.at, p.Proofs)
		}
		c.compareDigest(from, p)
	}
}

// probeFor probes the target of a PingReq on behalf of its sender. A Nack is due after one step of a probe's timeout.
func (c *Core) probeFor(from string, p *Packet) {
	epoch := uint64(0)
	if m := c.members[p.Target]; m != nil {
		epoch = m.Epoch
	}
	id := c.ping(p.TargetAddr, epoch, 0)
	c.relays[id] = relay{to: from, probe: p.Probe, nackAt: c.now + c.cfg.Interval/probeSteps, endAt: c.now + 2*c.cfg.Interval}
}
