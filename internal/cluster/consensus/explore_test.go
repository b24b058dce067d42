package consensus

import (
	"hash/maphash"
	"runtime"
	"sync"
	"sync/atomic"
)

// bounds limit an exploration. It visits all states of a group that steps within the bounds lead to.
type bounds struct {
	terms     uint64 // highest term that a member may enter by campaigning
	proposals int    // commands that leaders propose
	crashes   int    // restarts that lose unsynced writes
	// diskLosses is the number of disks that are lost at moments when the group tolerates it. The machine returns under a new
	// ID. The leader adds that to the group, unless there is a successor.
	diskLosses int
	// successor adds a learner, successorID, with the complete log. The learner replaces a voter after the loss of the
	// voter's disk. The exploration then begins with member 1 as leader.
	successor     bool
	replaces      MemberID // voter that the successor replaces by a joint change from the beginning; None: none
	removals      int      // changes that remove member 2, proposed at any moment, even while another change is under way
	transfers     int      // leadership transfers, as at the decommissioning of a member
	syncs         syncMode
	checkRecovery bool // check for every state that the group can recover from it
	maxStates     int  // the exploration ends when it has visited this many states
}

// syncMode is the moment at which the writes of members are synced.
type syncMode uint8

const (
	syncAtOnce syncMode = iota // in the step that outputs them
	syncLater                  // in a separate step, or never
)

// explorer visits the states of a group breadth first, each state once, and checks them. A state (groupState) is a complete
// group without time. explore_steps_test.go contains the steps from one state to the next, explore_fingerprint_test.go
// decides which states are equal, and recovery_test.go decides whether a group can recover from a state.
type explorer struct {
	bounds         bounds
	seed           maphash.Seed
	mu             sync.Mutex          // guards seen and violating
	seen           map[uint64]struct{} // fingerprints of the visited states
	violating      *groupState         // a state that violates an invariant; nil: none was found
	recoveryChecks atomic.Uint64       // number of states that were candidates for a recovery check
}

// explore visits all states within bounds, breadth first. It stops at a state that violates an invariant and returns it, or
// nil if there is none, with the number of visited states.
func explore(limits bounds) (violating *groupState, visited int) {
	x := &explorer{bounds: limits, seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	frontier := []*groupState{initialState(limits)}
	for len(frontier) > 0 && x.violating == nil && len(x.seen) < limits.maxStates {
		frontier = x.expand(frontier)
	}
	return x.violating, len(x.seen)
}

// expand returns the unvisited states that are one step away from the frontier. It uses all processors.
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

// checkRecovery checks that the group can recover from each of these states. With the race detector it checks only every
// slowdown-th state.
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

// filterUnseen returns the states that were not visited before, and marks them as visited. If a state violates an invariant,
// it records that state and returns none.
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
