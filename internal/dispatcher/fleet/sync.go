package fleet

import "slices"

// compareDigest compares the digest in an Ack with this view's. If they differ, it sends a Sync, at most one each quarter of an
// interval.
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

// replyToSync compares the bucket sums in p with this view's, and sends this view's records of the buckets that differ in a
// bounded number of Gossip packets (pages). With includeSums the first page carries this view's sums, so that the other
// member sends its records of these buckets too.
func (c *Core) replyToSync(to string, p *Packet, includeSums bool) {
	if len(p.Sums) != buckets {
		return
	}
	// Living members come first. Buckets and the records within each begin at a random position, so that repeated replies send
	// every record even if a single one has no room for all.
	records := c.differing(p, true, nil)
	records = c.differing(p, false, records)
	for sent := 0; sent < maxPagesPerReply && c.pagesSent < maxPagesPerInterval; sent++ {
		page := &Packet{Kind: Gossip, ToEpoch: p.From.Epoch}
		bytesLeft := c.cfg.MaxRecordBytes
		if sent == 0 && includeSums {
			page.Sums = slices.Clone(c.sums[:])
			bytesLeft -= maxSumSize * buckets
		}
		for len(records) > 0 && bytesLeft >= records[0].maxSize() {
			bytesLeft -= records[0].maxSize()
			page.Records, records = append(page.Records, records[0]), records[1:]
		}
		if len(page.Records)+len(page.Sums) == 0 {
			return
		}
		c.pagesSent++
		c.send(to, page)
	}
}

// differing appends to records this view's records from the buckets whose sum in p differs from this view's sum: the records
// of the living members, or of the members not living. It adds no further bucket once there are maxSyncRecords.
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

// updateConverged updates whether the view has converged. It has if no member is suspected, no other view differed for
// convergedIntervals, and another view was equal within twice that time or there is no other member.
func (c *Core) updateConverged() {
	isEqual := c.now-c.differedAt >= convergedIntervals*c.cfg.Interval && (c.now-c.agreedAt < 2*convergedIntervals*c.scaled(c.cfg.Interval) || len(c.living) == 0)
	c.setConverged(isEqual && len(c.suspects) == 0)
}

// setConverged records whether the view has converged, and since when.
func (c *Core) setConverged(converged bool) {
	if c.converged != converged {
		c.converged, c.since = converged, c.now
	}
}
