package consensus

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// bounds are how far an exploration goes.
type bounds struct {
	terms     uint64 // no member stands beyond this term
	proposals int
	crashes   int // restarts that lose what was not synced
	// losses are disks lost, where the group stands it. The machine comes back under a new identity, which the leader takes
	// in if there is no successor
	losses int
	// successor begins with member 1 as leader and learner 4, which has everything and takes the place of a lost voter
	successor bool
	replaces  MemberID // the voter whose place the successor begins to take at once, in one change
	removals  int      // changes that remove member 2, tried at any moment, also while another is under way
	transfers int      // leaderships given away on purpose, as by a member that leaves
	late      bool     // syncs are steps of their own; otherwise they happen at once
	recovery  bool     // every state is checked for whether the group can go on
	states    int      // no more than this many are visited
}

// exploredMember is a member and its disk.
type exploredMember struct {
	node      *Node
	disk      disk
	writes    []write
	committed int // entries it has applied
	sums      keys
}

// keys are hashes of something as it is, and with the second and the third member in each other's place.
type keys struct {
	known          bool
	plain, swapped uint64
}

// flying is a message on its way.
type flying struct {
	Message
	sums keys
}

// explored is one state of a whole group, without time: any member may stand at any moment, and any message may come at
// any moment or never.
type explored struct {
	members   []exploredMember
	network   []flying
	committed []uint64   // terms of all committed entries
	leaders   []MemberID // by term
	proposals int
	crashes   int
	losses    int
	removals  int
	transfers int
	successor bool
	broken    string
	path      *taken
}

// taken is the last step of a path to a state.
type taken struct {
	before  *taken
	what    string
	who     MemberID
	message Message // what was delivered
}

// String tells the whole path.
func (t *taken) String() string {
	if t == nil {
		return ""
	}
	text := fmt.Sprintf("%v\n%s %d", t.before, t.what, t.who)
	if t.message.From != None {
		text += fmt.Sprintf(": %+v", t.message)
	}
	return text
}

const exploredTime = time.Second // stands still

// exploreConfig sends one entry at a time, so that every boundary between entries is met.
func exploreConfig(id MemberID) Config {
	return Config{ID: id, HeartbeatInterval: time.Hour, ElectionTimeout: time.Hour, MaxAppendBytes: 1, MaxInflight: 1}
}

// successorID is the learner that may replace a voter.
const successorID MemberID = 4

// firstState is a new group of three.
func firstState(limits bounds) *explored {
	first := &explored{leaders: make([]MemberID, limits.terms+1+recoveryTerms)}
	members := memberList(1, 2, 3)
	if limits.successor {
		members = append(members, learner(successorID))
	}
	for _, member := range members {
		stored := disk{snapshot: &Snapshot{Members: members}}
		first.members = append(first.members, exploredMember{disk: stored, node: startExplored(member.ID, stored)})
	}
	if limits.successor {
		first.successor = true
		first.members[0].node.campaign(true)
		first.settle()
	}
	if limits.replaces != None {
		position := slices.IndexFunc(members, func(member Member) bool { return member.ID == limits.replaces })
		first.breakOn(first.members[0].node.ProposeMembers(exploredTime, succeeded(members, position)))
		first.drain(0, limits.late)
	}
	return first
}

// succeeded is the membership in which the successor has the place of another member.
func succeeded(members []Member, position int) []Member {
	next := without(members, position)
	next[slices.IndexFunc(next, func(member Member) bool { return member.ID == successorID })].Learner = false
	return next
}

// startExplored starts a member from its disk.
func startExplored(id MemberID, stored disk) *Node {
	restored := Restored{HardState: stored.hardState, Snapshot: stored.snapshot, Entries: stored.entries}
	return New(exploreConfig(id), restored, exploredTime)
}

// copyNode copies a node so that neither touches the other.
func copyNode(node *Node) *Node {
	twin := *node
	twin.random = rand.New(rand.NewPCG(1, 1))
	twin.log.entries = slices.Clip(node.log.entries)
	twin.memberships = slices.Clone(node.memberships)
	twin.ballot.granted = slices.Clone(node.ballot.granted)
	twin.leadership.peers = nil
	for _, peer := range node.leadership.peers {
		other := *peer
		other.inflight = slices.Clone(peer.inflight)
		twin.leadership.peers = append(twin.leadership.peers, &other)
	}
	return &twin
}

// copied copies a state whose nodes have no output waiting, to change one of its members.
func (e *explored) copied(changes int) *explored {
	twin := *e
	twin.members = slices.Clone(e.members)
	member := &twin.members[changes]
	member.node = copyNode(member.node)
	member.writes = slices.Clip(member.writes)
	member.sums = keys{}
	twin.network = slices.Clone(e.network)
	twin.committed = slices.Clip(e.committed)
	twin.leaders = slices.Clone(e.leaders)
	return &twin
}

// breaks notes a broken rule.
func (e *explored) breaks(format string, args ...any) {
	if e.broken == "" {
		e.broken = fmt.Sprintf(format, args...)
	}
}

// breakOn notes an error where there must be none.
func (e *explored) breakOn(err error) {
	if err != nil {
		e.breaks("%v", err)
	}
}

// drain carries out what a member wants.
func (e *explored) drain(index int, late bool) {
	member := &e.members[index]
	for member.node.HasOutput() {
		output := member.node.Output()
		e.transmit(output.Immediate)
		if needsWrite(output) {
			member.writes = append(member.writes, write{output: output})
		}
		e.apply(member, output.Committed)
		e.checkLeader(member)
		if !late {
			e.sync(index)
		}
	}
}

// transmit puts messages into the network, each once. Heartbeats carry nothing that matters here.
func (e *explored) transmit(messages []Message) {
	for _, message := range messages {
		if message.Kind == MessageHeartbeat || e.find(message.To) < 0 {
			continue
		}
		e.network = append(e.network, flying{Message: message})
	}
}

// find gives the position of a member, negative if its disk is lost.
func (e *explored) find(id MemberID) int {
	return slices.IndexFunc(e.members, func(member exploredMember) bool { return member.node.config.ID == id })
}

// apply checks that all members apply the same.
func (e *explored) apply(member *exploredMember, entries []Entry) {
	for _, entry := range entries {
		if int(entry.Index) != member.committed+1 {
			e.breaks("member %d applies %d after %d", member.node.config.ID, entry.Index, member.committed)
			return
		}
		member.committed++
		if member.committed > len(e.committed) {
			e.committed = append(e.committed, entry.Term)
		}
		if e.committed[entry.Index-1] != entry.Term {
			e.breaks("two entries committed at %d", entry.Index)
		}
	}
}

// checkLeader checks that a term has one leader, who had all that was committed.
func (e *explored) checkLeader(member *exploredMember) {
	node := member.node
	if node.role != roleLeader {
		return
	}
	known := e.leaders[node.term]
	if known == node.config.ID {
		return
	}
	if known != None {
		e.breaks("term %d is led by %d and %d", node.term, known, node.config.ID)
	}
	e.leaders[node.term] = node.config.ID
	for index, term := range e.committed {
		superseded := slices.ContainsFunc(e.leaders[node.term+1:], func(id MemberID) bool { return id != None })
		if !superseded && !node.log.matches(uint64(index+1), term) {
			e.breaks("the leader of term %d lacks the committed entry %d", node.term, index+1)
		}
	}
}

// sync puts all writes of a member on its disk.
func (e *explored) sync(index int) {
	member := &e.members[index]
	writes := member.writes
	member.writes = nil
	for _, item := range writes {
		member.disk.apply(item)
		e.transmit(item.output.Deferred)
	}
	entries := member.disk.entries
	if len(entries) > 0 {
		last := entries[len(entries)-1]
		member.node.Persisted(exploredTime, last.Index, last.Term)
	}
}

// next gives all states that one step leads to.
func (e *explored) next(limits bounds) []*explored {
	var found []*explored
	step := func(name string, index int, do func(state *explored, member *exploredMember)) {
		state := e.copied(index)
		state.path = &taken{before: e.path, what: name, who: e.members[index].node.config.ID}
		do(state, &state.members[index])
		state.drain(index, limits.late)
		state.network = slices.DeleteFunc(state.network, state.dead)
		found = append(found, state)
	}
	for index := range e.members {
		e.memberSteps(index, limits, step)
	}
	for position, message := range e.network {
		index := e.find(message.To)
		if message.Kind == MessageTimeoutNow && message.Term >= limits.terms {
			continue
		}
		step("deliver to", index, func(state *explored, member *exploredMember) {
			state.path.message = message.Message
			state.network = slices.Delete(state.network, position, position+1)
			member.node.Step(message.Message, exploredTime)
		})
	}
	return found
}

// dead tells whether a message can make no difference any more: terms only grow, and nobody stands twice in one.
func (e *explored) dead(message flying) bool {
	index := e.find(message.To)
	if index < 0 {
		return true
	}
	node := e.members[index].node
	if message.Term != node.term {
		return message.Term < node.term
	}
	switch message.Kind {
	case MessageVoteResponse:
		return node.role != roleCandidate || message.Reject
	case MessageVote:
		return node.vote != None && node.vote != message.From
	case MessageAppendResponse:
		return node.role != roleLeader || !message.Reject && acknowledged(node, message.From, message.Index)
	case MessageAppend:
		return e.repeats(&message.Message, &e.members[index])
	case MessageTimeoutNow:
		return !node.mayStand() || node.role == roleLeader
	default:
		return false
	}
}

// acknowledged tells whether a leader knows already that a member has entries up to an index.
func acknowledged(leader *Node, id MemberID, index uint64) bool {
	peer := leader.peer(id)
	return peer != nil && peer.state == progressReplicate && peer.match >= index
}

// repeats tells whether an append of this term brings its receiver nothing, and its answer the sender nothing.
func (e *explored) repeats(message *Message, receiver *exploredMember) bool {
	node := receiver.node
	end := message.Index + uint64(len(message.Entries))
	if node.leader != message.From || node.verified < end || node.commit < message.Commit || len(receiver.writes) > 0 {
		return false
	}
	sender := e.find(message.From)
	if sender < 0 || e.members[sender].node.term != message.Term || e.members[sender].node.role != roleLeader {
		return true
	}
	return acknowledged(e.members[sender].node, message.To, end)
}

// memberSteps makes the steps that a member may take by itself.
func (e *explored) memberSteps(index int, limits bounds, step func(string, int, func(*explored, *exploredMember))) {
	member := &e.members[index]
	node := member.node
	firstOfAll := index == 0 || slices.ContainsFunc(e.members, func(other exploredMember) bool { return other.node.term > 0 })
	if node.role != roleLeader && node.term < limits.terms && node.mayStand() && firstOfAll {
		step("stand", index, func(_ *explored, member *exploredMember) { member.node.campaign(true) })
	}
	if node.role == roleLeader && e.proposals < limits.proposals {
		step("propose", index, func(state *explored, member *exploredMember) {
			state.proposals++
			_, _, _ = member.node.Propose(exploredTime, []byte{byte(state.proposals)})
		})
	}
	if len(member.writes) > 0 {
		step("sync", index, func(state *explored, _ *exploredMember) { state.sync(index) })
	}
	if e.crashes < limits.crashes && (len(member.writes) > 0 || node.role == roleLeader) {
		step("crash", index, func(state *explored, _ *exploredMember) { state.crash(index) })
	}
	if e.losses < limits.losses && len(e.committed) > 0 && e.standsLossOf(index) {
		step("lose", index, func(state *explored, _ *exploredMember) { state.lose(index) })
	}
	if next := e.nextMembers(node); next != nil {
		step("change members", index, func(_ *explored, member *exploredMember) {
			_ = member.node.ProposeMembers(exploredTime, next)
		})
	}
	if e.removals < limits.removals && node.role == roleLeader {
		step("remove 2 at", index, func(state *explored, member *exploredMember) { state.remove(member.node) })
	}
	if node.role == roleLeader && limits.transfers > 0 {
		e.transferSteps(index, limits, step)
	}
}

// remove lets a leader try to remove member 2, whatever else is under way.
func (e *explored) remove(leader *Node) {
	next := FinalMembers(leader.memberships.current())
	position := slices.IndexFunc(next, func(member Member) bool { return member.ID == 2 })
	if position < 0 {
		return
	}
	if leader.ProposeMembers(exploredTime, without(next, position)) == nil {
		e.removals++
	}
}

// transferSteps begins a transfer of the leadership to any other voter, or lets one time out.
func (e *explored) transferSteps(index int, limits bounds, step func(string, int, func(*explored, *exploredMember))) {
	node := e.members[index].node
	if node.leadership.transferee != None {
		step("end the transfer at", index, func(_ *explored, member *exploredMember) {
			member.node.leadership.transferee = None
			member.node.finishChange()
		})
		return
	}
	for _, member := range node.memberships.current() {
		if e.transfers >= limits.transfers || member.ID == node.config.ID || member.Learner {
			continue
		}
		step(fmt.Sprintf("transfer to %d at", member.ID), index, func(state *explored, leader *exploredMember) {
			state.transfers++
			_ = leader.node.TransferLeadership(exploredTime, member.ID)
		})
	}
}

// crash restarts a member from its disk.
func (e *explored) crash(index int) {
	e.crashes++
	member := &e.members[index]
	member.writes = nil
	member.committed = 0
	member.node = startExplored(member.node.config.ID, member.disk)
}

// lose brings a member back without its disk, as another.
func (e *explored) lose(index int) {
	e.losses++
	lost := e.members[index].node.config.ID
	e.members[index] = exploredMember{node: startExplored(lost+10, disk{})}
	e.network = slices.DeleteFunc(e.network, func(message flying) bool { return message.To == lost })
}

// standsLossOf tells whether the disk of a member may be lost: it is the first, or the newest leader has finished all
// changes and a quorum is left.
func (e *explored) standsLossOf(index int) bool {
	if e.losses == 0 {
		return true
	}
	var newest *Node
	for _, member := range e.members {
		if member.node.ready() && (newest == nil || member.node.term > newest.term) {
			newest = member.node
		}
	}
	if newest == nil || newest.changePending() || slices.ContainsFunc(e.members, func(member exploredMember) bool {
		return member.node.term > newest.term
	}) {
		return false
	}
	lost := e.members[index].node.config.ID
	return HasQuorum(newest.memberships.current(), func(id MemberID) bool { return id != lost && e.find(id) >= 0 })
}

// nextMembers is the change that a leader makes for a lost disk.
func (e *explored) nextMembers(node *Node) []Member {
	if !node.ready() || node.changePending() || e.losses == 0 {
		return nil
	}
	members := node.memberships.current()
	gone := slices.IndexFunc(members, func(member Member) bool { return e.find(member.ID) < 0 })
	switch {
	case e.successor:
		return e.replacedBySuccessor(node, gone)
	case gone >= 0:
		return without(members, gone)
	}
	for _, other := range e.members {
		id := other.node.config.ID
		position := slices.IndexFunc(members, func(member Member) bool { return member.ID == id })
		if position < 0 {
			return append(slices.Clone(members), Member{ID: id, Learner: true})
		}
		if behind, _, _ := node.Lag(id); members[position].Learner && behind == 0 {
			next := slices.Clone(members)
			next[position].Learner = false
			return next
		}
	}
	return nil
}

// replacedBySuccessor is the membership in which the successor has the place of a lost voter, once it has everything.
func (e *explored) replacedBySuccessor(node *Node, gone int) []Member {
	members := node.memberships.current()
	successor, known := findMember(members, successorID)
	if gone < 0 || !known || !successor.Learner || e.find(successorID) < 0 {
		return nil
	}
	if behind, _, _ := node.Lag(successorID); behind > 0 {
		return nil
	}
	return succeeded(members, gone)
}

// explorer is an exploration under way.
type explorer struct {
	limits bounds
	seed   maphash.Seed
	guard  sync.Mutex
	seen   map[uint64]struct{}
	broken *explored
	met    atomic.Uint64 // states that were to be checked for recovery
}

// explore visits all states within bounds, breadth first. It gives the first broken one and how many were visited.
func explore(limits bounds) (broken *explored, visited int) {
	x := &explorer{limits: limits, seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	frontier := []*explored{firstState(limits)}
	for len(frontier) > 0 && x.broken == nil && len(x.seen) < limits.states {
		frontier = x.expand(frontier)
	}
	return x.broken, len(x.seen)
}

// expand gives the states that follow and were not met before, worked out on all processors.
func (x *explorer) expand(frontier []*explored) []*explored {
	var following []*explored
	var position atomic.Int64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for {
				index := int(position.Add(1)) - 1
				if index >= len(frontier) {
					return
				}
				fresh := x.unseen(frontier[index].next(x.limits))
				x.checkRecovery(fresh)
				x.guard.Lock()
				following = append(following, fresh...)
				x.guard.Unlock()
			}
		})
	}
	group.Wait()
	return following
}

// checkRecovery checks that the group can go on from each of these states; with the race detector, from some of them.
func (x *explorer) checkRecovery(states []*explored) {
	if !x.limits.recovery {
		return
	}
	for _, state := range states {
		if x.met.Add(1)%slowdown != 0 {
			continue
		}
		state.checkRecovery()
		if state.broken != "" {
			x.guard.Lock()
			x.broken = state
			x.guard.Unlock()
		}
	}
}

// unseen leaves out what was met before.
func (x *explorer) unseen(states []*explored) []*explored {
	keys := make([]uint64, len(states))
	for position, state := range states {
		keys[position] = state.key(x.seed)
	}
	x.guard.Lock()
	defer x.guard.Unlock()
	var fresh []*explored
	for position, state := range states {
		if state.broken != "" {
			x.broken = state
			return nil
		}
		if _, known := x.seen[keys[position]]; known || len(x.seen) >= x.limits.states {
			continue
		}
		x.seen[keys[position]] = struct{}{}
		fresh = append(fresh, state)
	}
	return fresh
}
