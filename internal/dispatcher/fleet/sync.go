package fleet

import "slices"

// compareDigest compares this view with that of the sender of an Ack by their digests. Where they differ it asks, not too often,
// for the records that do.
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

// replyToSync answers the bucket sums of another view with this view's records of the buckets that differ, in a bounded number of
// pages. With includeSums the first page carries this view's sums, so that the other member sends its records too.
func (c *Core) replyToSync(to string, p *Packet, includeSums bool) {
	if len(p.Sums) != buckets {
		return
	}
	// The living come before the others, and each list begins at a random record: where the pages don't take all records,
	// repeated comparisons send each of them in time.
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

// updateConverged notes whether the view has converged: nobody is suspected, and the views that were compared lately were equal.
func (c *Core) updateConverged() {
	isEqual := c.now-c.differedAt >= convergedIntervals*c.cfg.Interval && (c.now-c.agreedAt < 2*convergedIntervals*c.scaled(c.cfg.Interval) || len(c.living) == 0)
	c.setConverged(isEqual && len(c.suspects) == 0)
}

// setConverged notes whether the view has converged, and since when.
func (c *Core) setConverged(converged bool) {
	if c.converged != converged {
		c.converged, c.since = converged, c.now
	}
}
