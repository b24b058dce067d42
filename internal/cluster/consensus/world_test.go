package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The timing of the members of simulated worlds.
const (
	simHeartbeatInterval = 20 * time.Millisecond
	simElectionTimeout   = 100 * time.Millisecond
	simTickInterval      = 10 * time.Millisecond // between checks in runUntil; ticks are up to five of these apart
)

// event is a function that runs at a virtual time.
type event struct {
	at    time.Duration
	order uint64 // number of the event; events at the same time run in this order
	run   func()
}

// eventQueue is a heap of events, ordered by time and then by order.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	if q[a].at != q[b].at {
		return q[a].at < q[b].at
	}
	return q[a].order < q[b].order
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}

// conditions are the delays and the random faults of the network and the disks.
type conditions struct {
	loss, duplicate float64       // probabilities that a message is lost, and that it arrives twice
	maxDelay        time.Duration // maximum delay of a message, in addition to 100 µs
	delayed         float64       // probability that a message takes ten times as long
	maxSync         time.Duration // maximum time of a sync, in addition to 100 µs
	syncStall       float64       // probability that a sync takes up to a second longer
}

// faultFreeConditions are the conditions of a network and disks without faults.
var faultFreeConditions = conditions{maxDelay: 2 * time.Millisecond, maxSync: 4 * time.Millisecond}

// world simulates a complete group: machines with disks, a network, and virtual time. Its seed determines the complete run.
// The machines carry out the output of their Nodes as the package comment requires. The network loses, duplicates and reorders
// messages, and a nemesis lets processes crash, freeze and lose their disks. invariantChecker observes all members.
type world struct {
	random      *rand.Rand
	now         time.Duration
	queue       eventQueue
	order       uint64 // of the newest event
	machines    []*machine
	partitioned [][]bool // partitioned[a][b]: no message from a arrives at b
	conditions  conditions
	invariants  *invariantChecker
	nextID      MemberID
	newNode     func(Config, Restored, time.Duration) *Node // New, or a variant that a test supplies
}

// newWorld starts a group of voters, and spare machines with empty disks.
func newWorld(seed uint64, voters, spares int) *world {
	w := &world{
		random:     rand.New(rand.NewPCG(seed, 7)),
		conditions: faultFreeConditions,
		invariants: newInvariantChecker(),
		nextID:     100,
		newNode:    New,
	}
	var members []Member
	for index := range voters + spares {
		name := fmt.Sprintf("m%d", index)
		w.machines = append(w.machines, &machine{world: w, index: index, name: name, id: w.newID()})
		w.partitioned = append(w.partitioned, make([]bool, voters+spares))
		if index < voters {
			members = append(members, Member{ID: w.machines[index].id, Node: name})
		}
	}
	for index, machine := range w.machines {
		if index < voters {
			machine.disk.snapshot = &Snapshot{Members: members}
		}
		machine.start()
	}
	return w
}

// newID returns a member ID that was not used before.
func (w *world) newID() MemberID {
	w.nextID++
	return w.nextID
}

// after schedules a function to run once delay has passed.
func (w *world) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + delay, order: w.order, run: run})
}

// randomUpTo returns a random duration from 0 to limit.
func (w *world) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit) + 1))
}

// chance returns true with the given probability.
func (w *world) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// run runs events up to and including the time until, or until an invariant is violated.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.invariants.violation == "" {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = max(w.now, until)
}

// runUntil runs events until a condition is met, at most for timeout, and reports whether it was met.
func (w *world) runUntil(timeout time.Duration, met func() bool) bool {
	end := w.now + timeout
	for w.now < end {
		if met() {
			return true
		}
		w.run(w.now + simTickInterval)
	}
	return met()
}

// send transmits a message under the current conditions, unless its link is partitioned.
func (w *world) send(from *machine, message Message) {
	to := w.machineOf(message.To)
	if to == nil || w.partitioned[from.index][to.index] || w.chance(w.conditions.loss) {
		return
	}
	transmissions := 1
	if w.chance(w.conditions.duplicate) {
		transmissions = 2
	}
	for range transmissions {
		delay := 100*time.Microsecond + w.randomUpTo(w.conditions.maxDelay)
		if w.chance(w.conditions.delayed) {
			delay *= 10
		}
		w.after(delay, func() { to.receive(message) })
	}
}

// machineOf returns the machine with a member ID on its disk, or nil if that disk is lost.
func (w *world) machineOf(id MemberID) *machine {
	for _, machine := range w.machines {
		if machine.id == id {
			return machine
		}
	}
	return nil
}

// newestLeader returns the leader of the highest term among machines that are up and not frozen, or nil if there is none.
func (w *world) newestLeader() *machine {
	var newest *machine
	for _, machine := range w.machines {
		if !machine.up || machine.frozen || !machine.node.Status().IsLeader {
			continue
		}
		if newest == nil || machine.node.term > newest.node.term {
			newest = machine
		}
	}
	return newest
}

// readyLeader returns newestLeader if that is ready, else nil.
func (w *world) readyLeader() *machine {
	leader := w.newestLeader()
	if leader == nil || !leader.node.Status().Ready {
		return nil
	}
	return leader
}

// heal ends all faults and starts all machines that are down.
func (w *world) heal() {
	w.conditions = faultFreeConditions
	for from := range w.partitioned {
		clear(w.partitioned[from])
	}
	for _, machine := range w.machines {
		machine.thaw()
		machine.start()
		machine.node.SetCampaignAllowed(true)
	}
}
