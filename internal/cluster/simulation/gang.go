package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// scheduleDelivery counts a member of a gang as present; once all of a run are there, they work.
func (p *GroundTruth) joinGang(e *execution) {
	group, run := e.step, e.record.Number
	group.members[run] = append(group.members[run], e)
	present := group.members[run]
	if len(present) < group.spec.Count {
		e.gangTimer = p.World.After(p.History.Bounds.Gang, func() { e.runner.endRun(e, protocol.EndAlone) })
		return
	}
	far := 1.0
	if group.spec.RackLocal && !oneRack(present) {
		far = p.History.Bounds.Far
	}
	slowest, hangs := present[0].runner.speed(), false
	for _, member := range present {
		slowest = min(slowest, member.runner.speed())
		hangs = hangs || member.isHung
	}
	for _, member := range present {
		member.isHung = hangs
	}
	for _, member := range slices.Clone(present) {
		member.beginWork(far * member.runner.speed() / slowest)
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

// completeGang ends all members of a run done, together.
func (p *GroundTruth) completeGang(group *stepTruth, run uint64) {
	members := group.members[run]
	delete(group.members, run)
	for _, member := range members {
		member.runner.endRun(member, protocol.EndDone)
	}
}

// leaveGang takes a member out whose run is over; if it worked, or the others waited for it, they end broken.
func (p *GroundTruth) leaveGang(e *execution) {
	group, run := e.step, e.record.Number
	members, there := group.members[run]
	if !there {
		return
	}
	position := slices.Index(members, e)
	if position < 0 {
		return
	}
	worked := e.isWorking
	members = slices.Delete(slices.Clone(members), position, position+1)
	if !worked {
		group.members[run] = members
		return
	}
	delete(group.members, run)
	const longestNews = 20 * time.Millisecond
	for _, member := range members {
		member.isHung = true
		member.endTimer.Stop()
		p.World.After(p.World.Between(0, longestNews), func() { member.runner.endRun(member, protocol.EndBroken) })
	}
}
