package cluster

import (
	"time"

	"ospreypond/internal/consensus"
)

// diskRecord is one record of a control process's log.
type diskRecord struct {
	identity *identity
	group    uint32
	hard     *consensus.HardState
	snapshot *consensus.Snapshot
	entries  []consensus.Entry
}

// identity is who a process is as long as its disk lasts.
type identity struct {
	id    consensus.MemberID
	first []consensus.Member // first members of all groups; empty: this process joins
}

// heldGroup is what the disk holds of a group.
type heldGroup struct {
	hard     consensus.HardState
	snapshot *consensus.Snapshot
	entries  []consensus.Entry
}

// add takes a record over.
func (h *heldGroup) add(record *diskRecord) {
	if record.hard != nil {
		h.hard = *record.hard
	}
	if record.snapshot != nil {
		h.snapshot = record.snapshot
		h.entries = nil
	}
	if len(record.entries) == 0 {
		return
	}
	keep := len(h.entries)
	for keep > 0 && h.entries[keep-1].Index >= record.entries[0].Index {
		keep--
	}
	h.entries = append(h.entries[:keep:keep], record.entries...)
}

// readDisk folds a disk's records.
func readDisk(records []any) (*identity, map[uint32]*heldGroup) {
	var who *identity
	groups := map[uint32]*heldGroup{}
	for _, r := range records {
		record := r.(diskRecord)
		if record.identity != nil {
			who = record.identity
			continue
		}
		held := groups[record.group]
		if held == nil {
			held = &heldGroup{}
			groups[record.group] = held
		}
		held.add(&record)
	}
	return who, groups
}

func (h *heldGroup) restored(first []consensus.Member) consensus.Restored {
	restored := consensus.Restored{}
	if h != nil {
		restored.HardState, restored.Entries = h.hard, h.entries
		if h.snapshot != nil {
			bare := *h.snapshot
			bare.Data = nil
			restored.Snapshot = &bare
		}
	}
	if restored.Snapshot == nil && len(first) > 0 {
		restored.Snapshot = &consensus.Snapshot{Members: first}
	}
	return restored
}

const (
	rewriteAfter = 100 * time.Millisecond // a write that failed is tried again
	sickAfter    = 500 * time.Millisecond // a write that takes longer makes the disk a sick one
)

// submit begins to write what waits, if no write is out.
func (p *process) submit() {
	if p.writing || len(p.batch) == 0 && len(p.deferred) == 0 {
		return
	}
	if len(p.batch) == 0 {
		messages := p.deferred
		p.deferred = nil
		p.post(messages)
		return
	}
	p.writing = true
	p.writeBegan = p.now
	batch, messages := p.batch, p.deferred
	p.batch, p.deferred = nil, nil
	records := make([]any, len(batch))
	for i := range batch {
		records[i] = batch[i]
	}
	p.write(records, func() {
		p.writing = false
		for i := range batch {
			p.persisted(&batch[i])
		}
		p.post(messages)
	})
}

// write writes records, again and again until the disk takes them.
func (p *process) write(records []any, done func()) {
	p.machine.Disk.Write(p.machine, records, func(ok bool) {
		p.turn(func() {
			if ok {
				p.setSick(false)
				done()
				return
			}
			p.setSick(true)
			p.machine.After(rewriteAfter, func() { p.write(records, done) })
		})
	})
}

func (p *process) persisted(record *diskRecord) {
	g := p.groups[record.group]
	switch {
	case len(record.entries) > 0:
		last := &record.entries[len(record.entries)-1]
		g.node.Persisted(p.now, last.Index, last.Term)
	case record.snapshot != nil:
		g.node.Persisted(p.now, record.snapshot.Index, record.snapshot.Term)
	}
}

// setSick makes a process whose disk is sick give away what it leads, and stand for nothing.
func (p *process) setSick(sick bool) {
	if p.sick == sick {
		return
	}
	p.sick = sick
	for _, g := range p.groups {
		g.node.SetCampaign(!sick && !p.resigning)
	}
}

// giveAway gives leaderships to other voters.
func (p *process) giveAway() {
	for _, g := range p.groups {
		status := g.node.Status()
		if !status.IsLeader || status.Transferee != consensus.None {
			continue
		}
		if heir := g.heir(status.Members); heir != consensus.None {
			g.node.Transfer(p.now, heir)
		}
	}
}

// heir is the voter that is least behind among those that were heard lately.
func (g *group) heir(members []consensus.Member) consensus.MemberID {
	best, least := consensus.None, uint64(0)
	for _, member := range members {
		if member.Learner || member.ID == g.process.id {
			continue
		}
		behind, heard, known := g.node.Lagging(member.ID)
		if !known || g.process.now-heard > time.Second {
			continue
		}
		if best == consensus.None || behind < least {
			best, least = member.ID, behind
		}
	}
	return best
}

// keepSnapshot replaces what the disk holds of a group by a snapshot and the entries after it. It does nothing while a
// write is out.
func (p *process) keepSnapshot(id uint32, snapshot *consensus.Snapshot) bool {
	disk := p.machine.Disk
	if p.writing || disk.Full || disk.Stalled {
		return false
	}
	held := &heldGroup{}
	var others []any
	for _, r := range disk.Records() {
		record := r.(diskRecord)
		if record.identity != nil || record.group != id {
			others = append(others, r)
			continue
		}
		held.add(&record)
	}
	last := len(held.entries)
	if last == 0 || held.entries[last-1].Index < snapshot.Index {
		return false
	}
	var after []consensus.Entry
	for _, entry := range held.entries {
		if entry.Index > snapshot.Index {
			after = append(after, entry)
		}
	}
	hard := held.hard
	disk.Replace(append(others, diskRecord{group: id, snapshot: snapshot, hard: &hard, entries: after}))
	return true
}
