package consensus

import (
	"hash/maphash"
	"runtime"
	"sync"
	"sync/atomic"
)

// bounds limit an exploration: all states of a group are visited that steps within them lead to.
type bounds struct {
	terms     uint64 // no member campaigns in a later term
	proposals int
	crashes   int // restarts that lose what was not synced
	// diskLosses is how many disks are lost, where the group tolerates it. The machine comes back under a new identity, which
	// the leader adds unless there is a successor.
	diskLosses int
	// successor begins with member 1 as leader and a learner, successorID, which has the complete log and replaces a voter
	// whose disk is lost.
	successor     bool
	replaces      MemberID // not None: the voter that the leader begins to replace by the successor at once, by a joint change
	removals      int      // changes that remove member 2, proposed at any moment, even while another is under way
	transfers     int      // leadership transfers, as by a member that is decommissioned
	syncs         syncMode
	checkRecovery bool // check for every state that the group can go on from it
	maxStates     int  // no more states than this are visited
}

// syncMode is when the writes of members are synced.
type syncMode uint8

const (
	syncAtOnce syncMode = iota // with the output that contains them
	syncLater                  // by a step of its own, or never
)

// explorer explores the states of a group breadth first, each once, and checks them. A state (groupState) is a complete
// group without time; explore_steps_test.go contains the steps from one state to the next, explore_fingerprint_test.go
// decides which states are the same, recovery_test.go whether a group can go on from a state.
type explorer struct {
	bounds         bounds
	seed           maphash.Seed
	mu             sync.Mutex
	seen           map[uint64]struct{}
	violating      *groupState
	recoveryChecks atomic.Uint64 // how many states were to be checked for recovery
}

// explore visits all states within bounds, breadth first. It returns the first one that violates an invariant, nil if
// none does, and how many were visited.
func explore(limits bounds) (violating *groupState, visited int) {
	x := &explorer{bounds: limits, seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	frontier := []*groupState{initialState(limits)}
	for len(frontier) > 0 && x.violating == nil && len(x.seen) < limits.maxStates {
		frontier = x.expand(frontier)
	}
	return x.violating, len(x.seen)
}

// expand returns the states that one step from the frontier leads to and that were not visited before, computed on all
// processors.
func (x *explorer) expand(frontier []*groupState) []*groupState {
	var following []*groupState
	var position atomic.Int64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for {
				index := int(position.Add(1)) - 1
				if index >= len(frontier) {
					return
				}
				fresh := x.filterUnseen(frontier[index].nextStates(x.bounds))
				x.checkRecovery(fresh)
				x.mu.Lock()
				following = append(following, fresh...)
				x.mu.Unlock()
			}
		})
	}
	group.Wait()
	return following
}

// checkRecovery checks that the group can go on from each of these states; with the race detector, from some of them.
func (x *explorer) checkRecovery(states []*groupState) {
	if !x.bounds.checkRecovery {
		return
	}
	for _, state := range states {
		if x.recoveryChecks.Add(1)%slowdown != 0 {
			continue
		}
		state.checkRecovery()
		if state.violation != "" {
			x.mu.Lock()
			x.violating = state
			x.mu.Unlock()
		}
	}
}

// filterUnseen returns the states that were not visited before, and marks them as visited. It returns none if one of them
// violates an invariant, which it records.
func (x *explorer) filterUnseen(states []*groupState) []*groupState {
	keys := make([]uint64, len(states))
	for position, state := range states {
		keys[position] = state.fingerprint(x.seed)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var fresh []*groupState
	for position, state := range states {
		if state.violation != "" {
			x.violating = state
			return nil
		}
		if _, known := x.seen[keys[position]]; known || len(x.seen) >= x.bounds.maxStates {
			continue
		}
		x.seen[keys[position]] = struct{}{}
		fresh = append(fresh, state)
	}
	return fresh
}
