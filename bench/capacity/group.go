package main

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica"
)

// groupCommand measures a replica group's core with more and more members.
func groupCommand() *cobra.Command {
	var sizes []int
	var entryBytes, perSecond int
	var span time.Duration
	command := &cobra.Command{Use: "group", Short: "A replica group without disks and links: the leader's work for each entry",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			t := table{[]string{"members", "entry bytes", "entries/s", "leader µs an entry", "leader cores", "leader's messages/s",
				"leader sends KB/s", "messages/s at rest", "KB/s at rest"}}
			t.begin()
			for _, size := range sizes {
				busy := measureGroup(size, entryBytes, perSecond, span)
				rest := measureGroup(size, entryBytes, 0, span)
				seconds := span.Seconds()
				t.row(size, entryBytes, perSecond, microseconds(busy.spent, busy.entries), busy.spent.Seconds()/seconds,
					float64(busy.messages)/seconds, float64(busy.bytes)/seconds/1e3, float64(rest.messages)/seconds,
					float64(rest.bytes)/seconds/1e3)
			}
			return nil
		}}
	f := command.Flags()
	f.IntSliceVar(&sizes, "members", []int{3, 5, 7, 9}, "sizes of the group")
	f.IntVar(&entryBytes, "bytes", 1000, "bytes of an entry")
	f.IntVar(&perSecond, "entries", 80, "entries a second")
	f.DurationVar(&span, "span", 20*time.Second, "virtual time to measure")
	return command
}

// hollowGroup is a group whose disks sync at once and whose messages arrive after a while.
type hollowGroup struct {
	timeline
	nodes  map[consensus.MemberID]*consensus.Node
	leader consensus.MemberID
	groupFigures
	encoder *gob.Encoder
	written bytes.Buffer
}

type groupFigures struct {
	spent                    time.Duration // of the leader
	entries, messages, bytes int           // that the leader sends
}

func measureGroup(size, entryBytes, perSecond int, span time.Duration) groupFigures {
	g := &hollowGroup{nodes: map[consensus.MemberID]*consensus.Node{}}
	g.now = time.Second
	g.encoder = gob.NewEncoder(&g.written)
	var members []consensus.Member
	for id := consensus.MemberID(1); int(id) <= size; id++ {
		members = append(members, consensus.Member{ID: id, Node: fmt.Sprintf("core-%d", id)})
	}
	for _, member := range members {
		g.nodes[member.ID] = consensus.New(consensus.Config{ID: member.ID, Seed: 1, HeartbeatInterval: 120 * time.Millisecond,
			ElectionTimeout: 700 * time.Millisecond}, consensus.Restored{Snapshot: &consensus.Snapshot{Members: members}}, g.now)
		g.tick(member.ID)
	}
	for g.leader == consensus.None {
		g.step(g.now + time.Second)
		for id, node := range g.nodes {
			if node.Status().Ready {
				g.leader = id
			}
		}
	}
	g.pass(time.Second)
	g.groupFigures = groupFigures{}
	if perSecond > 0 {
		g.propose(make([]byte, entryBytes), time.Second/time.Duration(perSecond), g.now+span)
	}
	g.pass(span)
	return g.groupFigures
}

func (g *hollowGroup) propose(data []byte, gap, until time.Duration) {
	if g.now >= until {
		return
	}
	g.work(g.leader, func(node *consensus.Node) {
		if _, _, err := node.Propose(g.now, data); err != nil {
			panic(err)
		}
	})
	g.entries++
	if g.entries%1000 == 0 {
		for _, node := range g.nodes {
			node.Compact(node.Status().Commit)
		}
	}
	g.after(gap, func() { g.propose(data, gap, until) })
}

func (g *hollowGroup) tick(id consensus.MemberID) {
	node := g.nodes[id]
	g.work(id, func(node *consensus.Node) { node.Tick(g.now) })
	g.after(max(node.NextDeadline()-g.now, 20*time.Millisecond), func() { g.tick(id) })
}

// work gives a member an input and carries out what it wants.
func (g *hollowGroup) work(id consensus.MemberID, input func(node *consensus.Node)) {
	used := processorTime()
	node := g.nodes[id]
	input(node)
	for node.HasOutput() {
		output := node.Output()
		if id == g.leader {
			g.spent += processorTime() - used
		}
		g.send(id, output.Immediate)
		if count := len(output.Entries); count > 0 {
			last := output.Entries[count-1]
			node.Persisted(g.now, last.Index, last.Term)
		}
		g.send(id, output.Deferred)
		used = processorTime()
	}
	if id == g.leader {
		g.spent += processorTime() - used
	}
}

func (g *hollowGroup) send(from consensus.MemberID, messages []consensus.Message) {
	for _, message := range messages {
		if from == g.leader {
			g.count(message)
		}
		g.after(2*time.Millisecond, func() {
			g.work(message.To, func(node *consensus.Node) { node.Step(message, g.now) })
		})
	}
}

// count adds what a message of the leader takes on a link that is in use already.
func (g *hollowGroup) count(message consensus.Message) {
	g.messages++
	g.written.Reset()
	if err := g.encoder.Encode(&replica.Envelope{From: message.From, Messages: []consensus.Message{message}}); err != nil {
		panic(err)
	}
	g.bytes += g.written.Len()
}
