package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The timing of the simulated members.
const (
	simHeartbeatInterval = 20 * time.Millisecond
	simElectionTimeout   = 100 * time.Millisecond
	simTickInterval      = 10 * time.Millisecond
)

// event is a function that runs at a moment of virtual time.
type event struct {
	at    time.Duration
	order uint64 // of events at the same moment: that in which they were added
	run   func()
}

// eventQueue is a heap of events by time and order.
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

// conditions are the faults that network and disks have at random.
type conditions struct {
	loss, duplicate float64 // probabilities for a message
	maxDelay        time.Duration
	delayed         float64 // probability that a message takes ten times as long
	maxSync         time.Duration
	syncStall       float64 // probability that a sync takes up to a second longer
}

// calmConditions are a network and disks without faults.
var calmConditions = conditions{maxDelay: 2 * time.Millisecond, maxSync: 4 * time.Millisecond}

// world simulates a complete group: machines with disks, a network, and virtual time. Everything in it is determined by its
// seed. It carries out the Nodes' output as the package comment demands, with a network that loses, duplicates and
// reorders, and processes that crash, freeze and lose their disks; invariantChecker observes all of it. A nemesis brings
// the faults.
type world struct {
	random      *rand.Rand
	now         time.Duration
	queue       eventQueue
	order       uint64
	machines    []*machine
	partitioned [][]bool // partitioned[a][b]: no message from a arrives at b
	conditions  conditions
	invariants  *invariantChecker
	nextID      MemberID
	newNode     func(Config, Restored, time.Duration) *Node // New, or a variant that a test checks
}

// newWorld starts a group of some voters, and some spare machines with empty disks.
func newWorld(seed uint64, voters, spares int) *world {
	w := &world{
		random:     rand.New(rand.NewPCG(seed, 7)),
		conditions: calmConditions,
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

// newID returns an identity that no disk has had.
func (w *world) newID() MemberID {
	w.nextID++
	return w.nextID
}

// after schedules a function.
func (w *world) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + delay, order: w.order, run: run})
}

// randomUpTo returns a random duration from 0 to limit.
func (w *world) randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit) + 1))
}

// chance reports true with a probability.
func (w *world) chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// run runs events until a moment, or until an invariant is violated.
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

// send transmits a message, with the faults of the present conditions.
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

// machineOf returns the machine whose disk has an identity, nil if it was lost.
func (w *world) machineOf(id MemberID) *machine {
	for _, machine := range w.machines {
		if machine.id == id {
			return machine
		}
	}
	return nil
}

// newestLeader returns the leader of the highest term among running machines, nil if there is none.
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

// readyLeader returns the newest leader if it is ready, else nil.
func (w *world) readyLeader() *machine {
	leader := w.newestLeader()
	if leader == nil || !leader.node.Status().Ready {
		return nil
	}
	return leader
}

// heal ends all faults and starts all machines that are down.
func (w *world) heal() {
	w.conditions = calmConditions
	for from := range w.partitioned {
		clear(w.partitioned[from])
	}
	for _, machine := range w.machines {
		machine.thaw()
		machine.start()
		machine.node.SetCampaignAllowed(true)
	}
}
