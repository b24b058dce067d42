package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The timing of the simulated group.
const (
	simHeartbeat = 20 * time.Millisecond
	simElection  = 100 * time.Millisecond
	simTick      = 10 * time.Millisecond
)

// event is something that happens at a moment of virtual time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// eventQueue is a heap of events by time, in the order they were added within one moment.
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

// conditions are how bad network and disks are.
type conditions struct {
	loss, duplicate float64
	maxDelay        time.Duration
	slowPackets     float64 // share that takes up to ten times as long
	maxSync         time.Duration
	stall           float64 // share of syncs that take up to a second
}

var calm = conditions{maxDelay: 2 * time.Millisecond, maxSync: 4 * time.Millisecond}

// world is a whole group in virtual time; everything in it follows from its seed.
type world struct {
	random     *rand.Rand
	now        time.Duration
	queue      eventQueue
	order      uint64
	machines   []*machine
	cut        [][]bool // cut[a][b]: nothing goes from a to b
	conditions conditions
	truth      *truth
	nextID     MemberID
	newNode    func(Config, Restored, time.Duration) *Node
}

// newWorld starts a group of so many first members, and so many machines with empty disks.
func newWorld(seed uint64, voters, spares int) *world {
	w := &world{
		random:     rand.New(rand.NewPCG(seed, 7)),
		conditions: calm,
		truth:      newTruth(),
		nextID:     100,
		newNode:    New,
	}
	var members []Member
	for index := range voters + spares {
		name := fmt.Sprintf("m%d", index)
		w.machines = append(w.machines, &machine{world: w, index: index, name: name, id: w.freshID()})
		w.cut = append(w.cut, make([]bool, voters+spares))
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

// freshID draws an identity.
func (w *world) freshID() MemberID {
	w.nextID++
	return w.nextID
}

// after runs something later.
func (w *world) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: w.now + delay, order: w.order, run: run})
}

// upTo gives a random time up to a limit.
func (w *world) upTo(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit) + 1))
}

// chance is true in that share of the cases.
func (w *world) chance(share float64) bool {
	return share > 0 && w.random.Float64() < share
}

// run lets time pass until a moment, or until a rule is broken.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.truth.broken == "" {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = max(w.now, until)
}

// runUntil lets time pass until something is so, at most for a limit, and tells whether it came to be so.
func (w *world) runUntil(limit time.Duration, so func() bool) bool {
	end := w.now + limit
	for w.now < end {
		if so() {
			return true
		}
		w.run(w.now + simTick)
	}
	return so()
}

// send puts a message on its way, with the troubles of the present.
func (w *world) send(from *machine, message Message) {
	to := w.holder(message.To)
	if to == nil || w.cut[from.index][to.index] || w.chance(w.conditions.loss) {
		return
	}
	copies := 1
	if w.chance(w.conditions.duplicate) {
		copies = 2
	}
	for range copies {
		delay := 100*time.Microsecond + w.upTo(w.conditions.maxDelay)
		if w.chance(w.conditions.slowPackets) {
			delay *= 10
		}
		w.after(delay, func() { to.receive(message) })
	}
}

// holder is the machine whose disk has an identity.
func (w *world) holder(id MemberID) *machine {
	for _, machine := range w.machines {
		if machine.id == id {
			return machine
		}
	}
	return nil
}

// newestLeader is the leader of the highest term among running machines.
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

// readyLeader is the newest leader if it is ready.
func (w *world) readyLeader() *machine {
	leader := w.newestLeader()
	if leader == nil || !leader.node.Status().Ready {
		return nil
	}
	return leader
}

// heal ends all troubles and starts what is down.
func (w *world) heal() {
	w.conditions = calm
	for from := range w.cut {
		clear(w.cut[from])
	}
	for _, machine := range w.machines {
		machine.thaw()
		machine.start()
		machine.node.SetCampaignAllowed(true)
	}
}
