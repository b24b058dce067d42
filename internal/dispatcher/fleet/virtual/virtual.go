// Package virtual simulates a fleet: it runs many members, each with a real fleet.Core, in one goroutine and in virtual time.
// Links lose, duplicate, delay and reorder datagrams, and can be down in one direction or both. Members are killed, stopped,
// continued and restarted. The seed and the calls of a run determine all its events. A World is not safe for concurrent use.
package virtual

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ospreypond/internal/dispatcher/fleet"
)

// maxSocketQueue is the number of datagrams that the socket of a stopped process keeps. Later ones are lost.
const maxSocketQueue = 500

// Link is the state of the network from one member to another, in this direction only.
type Link struct {
	Loss, Duplicates, Late float64       // fractions of the datagrams, 0 to 1
	LateBy                 time.Duration // additional delay of late datagrams
	Down                   bool
}

// Options configure a world.
type Options struct {
	Seed uint64
	// Config is the configuration of every member. The world sets Seed always, Seeds if there are none, and Roster and
	// Quota.Own if Quota.Size is over 0.
	Config fleet.Config
	// Link returns the state of the link from one member to another at the time now. nil: all links are up.
	Link func(now time.Duration, from, to *Node) Link
	// Delay is the shortest time that a datagram takes, and Jitter the longest random time that is added to it.
	Delay, Jitter time.Duration
	// Size returns the size of a packet in bytes; nil: bytes are not counted.
	Size func(*fleet.Packet) int
	// Verdict, if set, is called with the verdict on each packet that was received.
	Verdict func(fleet.Verdict)
}

// Node is one member: its name, its address and, while it runs, its process.
type Node struct {
	Name, Addr, Zone string
	Number           int
	Core             *fleet.Core // nil while no process runs
	StartedAt        time.Duration
	Datagrams, Bytes int64 // sent by all processes of the node
	Changes          []fleet.Change
	// Skew is added to the world's time to give the time that the process reads.
	Skew    time.Duration
	starts  uint64        // number of processes started
	tickAt  time.Duration // when the next Tick is scheduled
	stopped bool
	queued  []*event // datagrams and refusals that arrived while the process was stopped
}

// IsRunning reports whether the node has a process that is not stopped.
func (n *Node) IsRunning() bool { return n.Core != nil && !n.stopped }

// World is a simulated fleet with its network.
type World struct {
	Nodes  []*Node
	Now    time.Duration
	opt    Options
	rng    *rand.Rand
	byAddr map[string]*Node
	events events
	order  uint64 // number of events scheduled
}

// event is a Tick, the arrival of a datagram or the arrival of a refusal, scheduled for a node.
type event struct {
	at      time.Duration
	order   uint64
	node    *Node         // the node at which it happens
	core    *fleet.Core   // of a Tick or a refusal: the process that it is for
	from    string        // of a datagram: the sender's address
	packet  *fleet.Packet // the datagram's packet, also in its refusal; nil: the event is a Tick
	refused bool          // the event is the refusal of the packet
	to      string        // of a refusal: the address that refused
}

// events is a heap ordered by time, then by the order of scheduling.
type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// New returns a world of n nodes in three zones. None of the nodes has a process yet.
func New(n int, opt Options) *World {
	w := &World{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 1)), byAddr: map[string]*Node{}}
	for i := range n {
		node := &Node{Name: fmt.Sprintf("d%d", i), Addr: fmt.Sprintf("10.0.%d.%d:7", i/250, i%250), Zone: string(rune('a' + i%3)), Number: i}
		w.Nodes = append(w.Nodes, node)
		w.byAddr[node.Addr] = node
	}
	return w
}

// Links sets the state of the network from now on; nil: all links are up.
func (w *World) Links(link func(now time.Duration, from, to *Node) Link) { w.opt.Link = link }

// Start starts a process of a node and replaces a running process. The epoch is derived from the time that the node reads.
func (w *World) Start(n *Node) error {
	n.starts++
	return w.StartWithEpoch(n, max(n.starts, 1+uint64(max(0, w.Now+n.Skew)/time.Millisecond)))
}

// StartDuplicate starts another process with n's name at another address, and returns its node.
func (w *World) StartDuplicate(n *Node) (*Node, error) {
	duplicate := &Node{Name: n.Name, Addr: n.Addr + "1", Zone: n.Zone, Number: n.Number}
	w.Nodes, w.byAddr[duplicate.Addr] = append(w.Nodes, duplicate), duplicate
	return duplicate, w.Start(duplicate)
}

// StartWithEpoch is Start with an epoch that the caller chooses.
func (w *World) StartWithEpoch(n *Node, epoch uint64) error {
	cfg := w.opt.Config
	cfg.Seed = w.rng.Uint64()
	if cfg.Seeds == nil {
		for _, s := range w.Nodes[:min(3, len(w.Nodes))] {
			cfg.Seeds = append(cfg.Seeds, s.Addr)
		}
	}
	if cfg.Quota.Size > 0 {
		cfg.Quota.Own, cfg.Roster = n.Number, make([]string, cfg.Quota.Size)
		for i := range cfg.Roster {
			cfg.Roster[i] = w.Nodes[i].Addr
		}
	}
	c, err := fleet.New(cfg, fleet.Record{Name: n.Name, Addr: n.Addr, Zone: n.Zone, Epoch: epoch}, w.Now+n.Skew)
	if err != nil {
		return err
	}
	n.Core, n.StartedAt, n.stopped, n.queued, n.Changes, n.tickAt = c, w.Now, false, nil, nil, 0
	w.scheduleTick(n)
	return nil
}

// Kill ends a node's process at once, as by SIGKILL.
func (w *World) Kill(n *Node) { n.Core, n.stopped, n.queued = nil, false, nil }

// Leave makes a node's process announce that it ends, and ends it.
func (w *World) Leave(n *Node) {
	n.Core.Leave(w.Now)
	w.send(n)
	w.Kill(n)
}

// Stop halts a node's process as SIGSTOP does: its socket stays bound and queues datagrams.
func (w *World) Stop(n *Node) { n.stopped = true }

// Continue resumes a stopped process. Its timer comes first, and then the datagrams that its socket kept.
func (w *World) Continue(n *Node) {
	if n.stopped = false; n.Core == nil {
		return
	}
	queued := n.queued
	n.queued, n.tickAt = nil, w.Now
	// The timer before all datagrams is the worst case: suspicions could expire before a refutation is read.
	w.push(&event{at: w.Now, node: n, core: n.Core})
	for _, e := range queued[:min(len(queued), maxSocketQueue)] {
		e.at = w.Now
		w.push(e)
	}
}

// Run advances time to until and handles all events up to then.
func (w *World) Run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(*event)
		w.Now = max(w.Now, e.at)
		w.handle(e)
	}
	w.Now = until
}

// For advances time by d.
func (w *World) For(d time.Duration) { w.Run(w.Now + d) }

// Until advances time in steps until ok returns true, for at most limit. It returns how long that took, and whether ok
// returned true.
func (w *World) Until(step, limit time.Duration, ok func() bool) (time.Duration, bool) {
	begin := w.Now
	for !ok() {
		if w.Now-begin >= limit {
			return w.Now - begin, false
		}
		w.For(step)
	}
	return w.Now - begin, true
}

// push schedules an event.
func (w *World) push(e *event) {
	w.order++
	e.order = w.order
	heap.Push(&w.events, e)
}

// scheduleTick schedules the Tick that n's process asks for, unless an earlier one is scheduled.
func (w *World) scheduleTick(n *Node) {
	if wait := n.Core.Wait(); wait < time.Hour {
		if at := w.Now + wait; n.tickAt <= w.Now || at < n.tickAt {
			n.tickAt = at
			w.push(&event{at: at, node: n, core: n.Core})
		}
	}
}

// handle passes an event to its node's process. If the node has no process, its machine refuses datagrams while the link
// back is up.
func (w *World) handle(e *event) {
	n := e.node
	switch {
	case n.Core == nil && e.packet != nil && !e.refused:
		if from := w.byAddr[e.from]; from.Core != nil && !w.link(n, from).Down { // machines are always up, so this one refuses
			w.push(&event{at: w.Now + w.opt.Delay, node: from, core: from.Core, to: n.Addr, packet: e.packet, refused: true})
		}
		return
	case n.Core == nil || e.core != nil && e.core != n.Core:
		return
	case n.stopped:
		if e.packet != nil {
			n.queued = append(n.queued, e)
		}
		return
	}
	now := w.Now + n.Skew
	if e.at == n.tickAt && e.core != nil {
		n.tickAt = 0
	}
	switch {
	case e.refused:
		n.Core.Refused(now, e.to, e.packet.Seq)
	case e.packet != nil:
		v := n.Core.Receive(now, e.from, e.packet)
		if w.opt.Verdict != nil {
			w.opt.Verdict(v)
		}
	default:
		n.Core.Tick(now)
	}
	w.send(n)
	w.scheduleTick(n)
}

// link returns the current state of the link between two nodes.
func (w *World) link(from, to *Node) Link {
	if w.opt.Link == nil {
		return Link{}
	}
	return w.opt.Link(w.Now, from, to)
}

// send takes the datagrams of n's core and schedules the datagrams that the network delivers.
func (w *World) send(n *Node) {
	out, changes := n.Core.Take()
	n.Changes = append(n.Changes, changes...)
	for _, d := range out {
		n.Datagrams++
		if w.opt.Size != nil {
			n.Bytes += int64(w.opt.Size(d.Packet))
		}
		to := w.byAddr[d.To]
		if to == nil {
			continue
		}
		l := w.link(n, to)
		deliveries := 1
		if w.rng.Float64() < l.Duplicates {
			deliveries = 2
		}
		for range deliveries {
			if l.Down || w.rng.Float64() < l.Loss {
				continue
			}
			at := w.Now + w.opt.Delay
			if w.opt.Jitter > 0 {
				at += time.Duration(w.rng.Int64N(int64(w.opt.Jitter)))
			}
			if w.rng.Float64() < l.Late {
				at += l.LateBy
			}
			w.push(&event{at: at, node: to, from: n.Addr, packet: clonePacket(d.Packet)})
		}
	}
}

// clonePacket returns a copy of a packet that shares no memory with it, as if it had been encoded and decoded.
func clonePacket(p *fleet.Packet) *fleet.Packet {
	c := *p
	c.Records, c.Sums, c.Proofs = slices.Clone(p.Records), slices.Clone(p.Sums), slices.Clone(p.Proofs)
	return &c
}

// Running returns the nodes with processes that run and are not stopped.
func (w *World) Running() (out []*Node) {
	for _, n := range w.Nodes {
		if n.IsRunning() {
			out = append(out, n)
		}
	}
	return out
}

// Agree reports whether the given nodes have equal views with exactly these nodes living. Without arguments it checks all
// running nodes.
func (w *World) Agree(nodes ...*Node) bool {
	if nodes == nil {
		nodes = w.Running()
	}
	want := map[string]bool{}
	for _, n := range nodes {
		want[n.Name] = true
	}
	for _, n := range nodes {
		if n.Core.Living() != len(nodes) || n.Core.Digest() != nodes[0].Core.Digest() {
			return false
		}
	}
	for _, m := range nodes[0].Core.Snapshot().Members {
		if m.State.Living() != want[m.Name] {
			return false
		}
	}
	return true
}

// Starts returns how many processes the node has had.
func (n *Node) Starts() int { return int(n.starts) }
