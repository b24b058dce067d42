package simulation

import (
	"slices"
	"time"

	"ospreypond/internal/cluster/protocol"
)

// joinGang adds the execution of a gang's member that has just started. Once all members of the gang run have started, they
// begin to work, all at the speed of the slowest of their runners. If one member hangs, all hang. A member that has
// waited for Bounds.Gang ends alone.
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

// inOneRack reports whether all members run in the same rack.
func inOneRack(members []*execution) bool {
	for _, member := range members {
		if member.runner.Rack != members[0].runner.Rack {
			return false
		}
	}
	return true
}

// completeGang ends all members of a gang run at once, done.
func (g *GroundTruth) completeGang(step *stepTruth, run uint64) {
	members := step.members[run]
	delete(step.members, run)
	for _, member := range members {
		member.runner.endRun(member, protocol.EndDone)
	}
}

// leaveGang removes a member that has ended otherwise than done. If the gang had begun to work, the other members detect
// that within maxDetection and end broken; until then they make no progress.
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
