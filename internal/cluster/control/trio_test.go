package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/store/vfs/vfstest"
)

// trio is three control processes in a bubble of virtual time. They share nothing but their links.
type trio struct {
	mutex    sync.Mutex
	controls []*Control
	target   *Control // the process with the fault
	fault    fault
}

// fault is what happens to one of three control processes.
type fault struct {
	frozen       bool // until it gets the requests
	outboundLost bool // everything it sends is lost
	inboundLost  bool // everything sent to it is lost
	follower     bool // the process is not the owner of the shard
}

var (
	partitionedAndFrozen = fault{frozen: true, outboundLost: true, inboundLost: true}
	frozenOnly           = fault{frozen: true}
	partitionedOnly      = fault{outboundLost: true, inboundLost: true}
)

// links sends what one process sends: it is its Sender and Remote.
type links struct {
	trio    *trio
	address string
}

const linkDelay = 1500 * time.Microsecond

// Send encodes the envelope, so that processes share no memory.
func (w links) Send(address string, envelope *replica.Envelope) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(envelope); err != nil {
		panic(err)
	}
	time.AfterFunc(linkDelay, func() {
		to := w.trio.reached(w.address, address)
		if to == nil {
			return
		}
		received := &replica.Envelope{}
		if err := gob.NewDecoder(&buffer).Decode(received); err != nil {
			panic(err)
		}
		to.Receive(received)
	})
}

// Do calls another process. During a partition there is no response.
func (w links) Do(ctx context.Context, address string, request, response any) error {
	to := w.trio.reached(w.address, address)
	if to == nil {
		<-ctx.Done()
		return failure.New(failure.UnknownOutcome, "no answer")
	}
	got := handle(to, request)
	select {
	case <-ctx.Done():
		return failure.New(failure.UnknownOutcome, "no answer")
	case answered := <-got:
		if answered.err == nil {
			reflect.ValueOf(response).Elem().Set(reflect.ValueOf(answered.response).Elem())
		}
		return answered.err
	}
}

// reached returns the process at an address, or nil if the link to it is partitioned.
func (t *trio) reached(from, address string) *Control {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, c := range t.controls {
		if c.address != address {
			continue
		}
		if t.partitioned(from, c) {
			return nil
		}
		return c
	}
	return nil
}

// partitioned reports whether what a process sends to another is lost.
func (t *trio) partitioned(from string, to *Control) bool {
	if t.target == nil || from == to.address {
		return false
	}
	return t.fault.outboundLost && t.target.address == from || t.fault.inboundLost && t.target == to
}

// inject starts a fault at the owner of a shard, or at a follower. thaw ends the freeze.
func (t *trio) inject(shard protocol.ShardID, what fault) (thaw func()) {
	faulty := t.owner(shard)
	if what.follower {
		faulty = t.controls[(slices.Index(t.controls, faulty)+1)%len(t.controls)]
	}
	t.mutex.Lock()
	t.target, t.fault = faulty, what
	t.mutex.Unlock()
	thawed := make(chan struct{})
	if what.frozen {
		faulty.engine.Do(func() { <-thawed })
	}
	return func() { close(thawed) }
}

// start starts the three processes; stop ends them.
func (t *trio) start() (stop func()) {
	addresses := []string{"a", "b", "c"}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for number, address := range addresses {
		c, err := New(Options{
			Self:       consensus.Member{Node: address, Zone: "z", Address: address},
			Bootstrap:  addresses,
			Peers:      addresses,
			FileSystem: &vfstest.Mem{},
			Dir:        "data",
			Sender:     links{t, address},
			Remote:     links{t, address},
			Clock:      clockwork.NewRealClock(),
			Logger:     log.NewNopLogger(),
			Seed:       uint64(number),
		})
		if err != nil {
			panic(err)
		}
		t.mutex.Lock()
		t.controls = append(t.controls, c)
		t.mutex.Unlock()
		running.Go(func() { _ = c.engine.Run(ctx) })
		c.Start()
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// owner waits for an owner of a shard among the processes without a fault.
func (t *trio) owner(shard protocol.ShardID) *Control {
	for {
		for _, c := range t.controls {
			if c != t.target && onLoop(c, func() bool { return c.owns(shard) }) {
				return c
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *Control) owns(shard protocol.ShardID) bool {
	if shard == protocol.ConfigurationShard {
		return c.configuration.leading
	}
	return c.shards[shard].owner.IsLeader()
}

func onLoop[T any](c *Control, f func() T) T {
	result := make(chan T, 1)
	c.engine.Do(func() { result <- f() })
	return <-result
}

// outcome is the result of a request.
type outcome struct {
	response any
	err      error
	took     time.Duration
}

func handle(c *Control, request any) <-chan outcome {
	answers := make(chan outcome, 1)
	sentAt := time.Now()
	c.Handle("test", request, func(response any, err error) {
		answers <- outcome{response, err, time.Since(sentAt)}
	})
	return answers
}

// must sends a request to the owner of a shard until it succeeds.
func (t *trio) must(shard protocol.ShardID, request any) {
	for attempts := 0; ; attempts++ {
		answered := <-handle(t.owner(shard), request)
		if answered.err == nil {
			return
		}
		if attempts == 100 {
			panic(fmt.Sprintf("%T: %v", request, answered.err))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// heal ends the fault, but for a freeze.
func (t *trio) heal() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fault = fault{}
}
