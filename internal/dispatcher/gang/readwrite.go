package gang

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Listed handles a list of all gangs in the register with their versions. It reads the records that have changed, and drops
// gangs that the register no longer has.
func (c *Core) Listed(now time.Time, versions map[string]Version) {
	c.now = now
	for _, name := range slices.Sorted(maps.Keys(versions)) {
		g := c.gangs[name]
		if g == nil {
			if len(c.gangs) >= c.cfg.MaxGangs {
				c.errs = append(c.errs, &LimitError{name, "gangs", c.cfg.MaxGangs, "remove gangs that are done from the register, or raise the limit"})
				continue
			}
			g = &gang{}
			c.gangs[name] = g
		}
		if g.writing == nil && (!g.isCurrent || g.version != versions[name]) {
			c.read(name, g)
		}
	}
	for name, g := range c.gangs {
		if _, exists := versions[name]; !exists && g.writing == nil && g.isCurrent && c.now.Sub(g.requestedAt) > c.cfg.StartTimeout {
			c.abandon(name, g)
			delete(c.gangs, name)
		}
	}
}

// read requests a gang's record. The core writes nothing for the gang until the answer has arrived.
func (c *Core) read(name string, g *gang) {
	g.needsRead, g.requestedAt = true, c.now
	c.out = append(c.out, Action{Kind: Read, Gang: name})
}

// Got handles the answer to a Read: the record and its version.
func (c *Core) Got(now time.Time, name string, version Version, r Record) {
	c.now = now
	g := c.gangs[name]
	if g == nil || g.writing != nil && !g.needsRead {
		return
	}
	if r.Name = name; r.Check() != nil {
		c.errs = append(c.errs, r.Check())
		c.abandon(name, g)
		g.record, g.version, g.isCurrent, g.needsRead, g.writing = r, version, false, false, nil
		return
	}
	if w := g.writing; w != nil && w.WriteID == r.WriteID { // the write in flight took effect and its answer was lost
		c.handleWritten(name, g, version)
		return
	}
	g.writing = nil
	c.adopt(name, g, version, r)
}

// adopt makes a record the current one. It stops the members that this dispatcher sent if the record now has another
// generation or owner, or a phase without members.
func (c *Core) adopt(name string, g *gang, version Version, r Record) {
	if g.record.Phase != r.Phase || g.record.Generation != r.Generation || !g.isCurrent {
		g.phaseStartedAt = c.now
	}
	if g.version != version {
		g.changedAt = c.now
	}
	g.record, g.version, g.isCurrent, g.needsRead = r, version, true, false
	if g.ownGeneration != 0 && (r.Generation != g.ownGeneration || r.Owner != c.cfg.Self || r.Phase == Waiting || r.Phase.Ended()) {
		c.abandon(name, g)
	}
}

// abandon stops those members of a gang that this dispatcher sent and that have not ended.
func (c *Core) abandon(name string, g *gang) {
	for i, m := range g.members {
		if !m.hasEnded() {
			c.out = append(c.out, Action{Kind: Stop, Gang: name, Member: i, Generation: g.ownGeneration})
		}
	}
	g.members, g.ownGeneration = nil, 0
}

// Wrote handles the outcome of a Write. version is the new version if the outcome is Written.
func (c *Core) Wrote(now time.Time, name string, o Outcome, version Version) {
	c.now = now
	g := c.gangs[name]
	if g == nil || g.writing == nil {
		return
	}
	switch o {
	case Written:
		c.handleWritten(name, g, version)
	case Conflict, Unknown:
		if o == Conflict {
			g.writing = nil
		}
		c.read(name, g) // if the outcome is Unknown, the record's WriteID shows whether the write took effect
	}
}

// handleWritten adopts a record that this dispatcher wrote. If the write started the gang, it sends the members.
func (c *Core) handleWritten(name string, g *gang, version Version) {
	w := *g.writing
	g.writing = nil
	c.adopt(name, g, version, w)
	if w.Phase == Starting {
		g.ownGeneration, g.members, g.checkpointAt = w.Generation, make([]member, len(w.Needs)), c.now
		for i, runner := range w.Placement {
			c.out = append(c.out, Action{Kind: Send, Gang: name, Member: i, Generation: w.Generation, Runner: runner, Checkpoint: w.Checkpoint})
		}
	}
}

// write takes a step of Table by a conditional write of the record. change, if not nil, sets further fields of the new record.
func (c *Core) write(name string, g *gang, cause Cause, change func(r *Record)) {
	r := g.record
	r.Needs, r.Placement = slices.Clone(r.Needs), slices.Clone(r.Placement)
	r.Phase, r.Cause, r.Owner = next(r.Phase, cause), cause, c.cfg.Self
	if change != nil {
		change(&r)
	}
	if r.Phase == Waiting {
		r.Placement = nil
	}
	c.writes++
	r.WriteID = fmt.Sprintf("%s/%d/%d", c.cfg.Self.Name, c.cfg.Self.Epoch, c.writes)
	g.writing, g.requestedAt = &r, c.now
	c.out = append(c.out, Action{Kind: Write, Gang: name, Record: &r, IfVersion: g.version})
}
