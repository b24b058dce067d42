package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// joinGang counts a member of a gang as present. Once all members of its run are, they begin to work, as fast as the
// slowest of their runners; one that waits too long for that ends alone.
func (g *GroundTruth) joinGang(e *execution) {
	step, run := e.step, e.record.Number
	step.members[run] = append(step.members[run], e)
	present := step.members[run]
	if len(present) < step.spec.Count {
		e.gangTimer = g.World.After(g.History.Bounds.Gang, func() { e.runner.endRun(e, protocol.EndAlone) })
		return
	}
	slowdown := 1.0
	if step.spec.RackLocal && !inOneRack(present) {
		slowdown = g.History.Bounds.Far
	}
	slowest, isHung := present[0].runner.speed(), false
	for _, member := range present {
		slowest = min(slowest, member.runner.speed())
		isHung = isHung || member.isHung
	}
	for _, member := range present {
		member.isHung = isHung
	}
	for _, member := range slices.Clone(present) {
		member.beginWork(slowdown * member.runner.speed() / slowest)
	}
}

func inOneRack(members []*execution) bool {
	for _, member := range members {
		if member.runner.Rack != members[0].runner.Rack {
			return false
		}
	}
	return true
}

// completeGang ends all members of a run at once, done.
func (g *GroundTruth) completeGang(step *stepTruth, run uint64) {
	members := step.members[run]
	delete(step.members, run)
	for _, member := range members {
		member.runner.endRun(member, protocol.EndDone)
	}
}

// leaveGang removes a member whose run has ended. If it was at work, the other members end broken soon after.
func (g *GroundTruth) leaveGang(e *execution) {
	step, run := e.step, e.record.Number
	members, ok := step.members[run]
	if !ok {
		return
	}
	position := slices.Index(members, e)
	if position < 0 {
		return
	}
	members = slices.Delete(slices.Clone(members), position, position+1)
	if !e.isWorking {
		step.members[run] = members
		return
	}
	delete(step.members, run)
	const maxDetection = 20 * time.Millisecond
	for _, member := range members {
		member.isHung = true
		member.endTimer.Stop()
		g.World.After(g.World.Between(0, maxDetection), func() { member.runner.endRun(member, protocol.EndBroken) })
	}
}
