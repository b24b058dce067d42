package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// arrive counts a member of a gang as present; once all of a run are there, they work.
func (p *Plant) arrive(e *execution) {
	group, run := e.group, e.record.Run
	group.members[run] = append(group.members[run], e)
	present := group.members[run]
	if len(present) < group.step.Count {
		e.waiting = p.World.After(p.Ledger.Bounds.Gang, func() { e.runner.end(e, protocol.EndAlone) })
		return
	}
	far := 1.0
	if group.step.RackLocal && !oneRack(present) {
		far = p.Ledger.Bounds.Far
	}
	slowest, hangs := present[0].runner.speed(), false
	for _, member := range present {
		slowest = min(slowest, member.runner.speed())
		hangs = hangs || member.hangs
	}
	for _, member := range present {
		member.hangs = hangs
	}
	for _, member := range slices.Clone(present) {
		member.begin(far * member.runner.speed() / slowest)
	}
}

func oneRack(members []*execution) bool {
	for _, member := range members {
		if member.runner.Rack != members[0].runner.Rack {
			return false
		}
	}
	return true
}

// gangDone ends all members of a run done, together.
func (p *Plant) gangDone(group *groupTruth, run uint64) {
	members := group.members[run]
	delete(group.members, run)
	for _, member := range members {
		member.runner.end(member, protocol.EndDone)
	}
}

// leaveGang takes a member out whose run is over; if it worked, or the others waited for it, they end broken.
func (p *Plant) leaveGang(e *execution) {
	group, run := e.group, e.record.Run
	members, there := group.members[run]
	if !there {
		return
	}
	position := slices.Index(members, e)
	if position < 0 {
		return
	}
	worked := e.working
	members = slices.Delete(slices.Clone(members), position, position+1)
	if !worked {
		group.members[run] = members
		return
	}
	delete(group.members, run)
	const longestNews = 20 * time.Millisecond
	for _, member := range members {
		member.hangs = true
		member.timer.Stop()
		p.World.After(p.World.Between(0, longestNews), func() { member.runner.end(member, protocol.EndBroken) })
	}
}
