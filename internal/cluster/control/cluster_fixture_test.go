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

// testCluster is a cluster of three control processes in a bubble of package synctest, with virtual time. The processes
// exchange only messages.
type testCluster struct {
	mutex    sync.Mutex // guards target and fault, and the start of the processes
	controls []*Control
	target   *Control // the process with the fault
	fault    fault
}

// fault is a fault of one of the processes.
type fault struct {
	frozen       bool // the engine's loop is blocked until thaw is called; see inject
	outboundLost bool // all messages from the process are lost
	inboundLost  bool // all messages to the process are lost
	follower     bool // the process is a follower of the shard's group, not the owner
}

var (
	partitionedAndFrozen = fault{frozen: true, outboundLost: true, inboundLost: true}
	frozenOnly           = fault{frozen: true}
	partitionedOnly      = fault{outboundLost: true, inboundLost: true}
)

// links is the Sender and the Remote of one process.
type links struct {
	cluster *testCluster
	address string // of the process
}

const linkDelay = 1500 * time.Microsecond // from the sending of an envelope to its receipt

// Send sends an envelope. It encodes and decodes it, so that processes share no memory.
func (w links) Send(address string, envelope *replica.Envelope) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(envelope); err != nil {
		panic(err)
	}
	time.AfterFunc(linkDelay, func() {
		to := w.cluster.destination(w.address, address)
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

// Do calls another process. While the destination can't be reached, the call waits until ctx ends.
func (w links) Do(ctx context.Context, address string, request, response any) error {
	to := w.cluster.destination(w.address, address)
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

// destination returns the process at an address, or nil if the fault loses messages to it from the process at from.
func (t *testCluster) destination(from, address string) *Control {
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

// partitioned reports whether the fault loses the messages from one process to another.
func (t *testCluster) partitioned(from string, to *Control) bool {
	if t.target == nil || from == to.address {
		return false
	}
	return t.fault.outboundLost && t.target.address == from || t.fault.inboundLost && t.target == to
}

// inject starts a fault of the owner of a shard or of a follower of its group. thaw ends the freeze.
func (t *testCluster) inject(shard protocol.ShardID, injected fault) (thaw func()) {
	faulty := t.owner(shard)
	if injected.follower {
		faulty = t.controls[(slices.Index(t.controls, faulty)+1)%len(t.controls)]
	}
	t.mutex.Lock()
	t.target, t.fault = faulty, injected
	t.mutex.Unlock()
	thawed := make(chan struct{})
	if injected.frozen {
		faulty.engine.Do(func() { <-thawed })
	}
	return func() { close(thawed) }
}

// start starts the three processes. stop ends them and waits until they have ended.
func (t *testCluster) start() (stop func()) {
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
func (t *testCluster) owner(shard protocol.ShardID) *Control {
	for {
		for _, c := range t.controls {
			if c != t.target && onLoop(c, func() bool { return c.owns(shard) }) {
				return c
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// owns reports whether the process takes itself for the owner of a shard. It must run on the engine's loop.
func (c *Control) owns(shard protocol.ShardID) bool {
	if shard == protocol.ConfigurationShard {
		return c.configuration.leading
	}
	return c.shards[shard].owner.IsLeader()
}

// onLoop runs f on a process's loop and returns its result.
func onLoop[T any](c *Control, f func() T) T {
	result := make(chan T, 1)
	c.engine.Do(func() { result <- f() })
	return <-result
}

// outcome is the reply to a request.
type outcome struct {
	response any
	err      error
	took     time.Duration // from the request to the reply
}

// handle sends a request to a process and returns the channel that receives the reply.
func handle(c *Control, request any) <-chan outcome {
	answers := make(chan outcome, 1)
	sentAt := time.Now()
	c.Handle("test", request, func(response any, err error) {
		answers <- outcome{response, err, time.Since(sentAt)}
	})
	return answers
}

// mustSucceed sends a request to the owner of a shard until it succeeds. It panics after 100 failures.
func (t *testCluster) mustSucceed(shard protocol.ShardID, request any) {
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

// heal ends the loss of messages. It doesn't end a freeze.
func (t *testCluster) heal() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fault = fault{}
}
