// Package control is the program of the control machines. Each control process has a replica of every shard; for the
// shards that it owns it decides: it runs the scheduler on shards of jobs, and feeds configuration and owners to frontends
// and agents. Any control process serves the operator's HTTP interface and the operator's commands.
//
// Control is all of that without goroutines, sockets and signals, which only Run adds. Its inputs are requests (Handle),
// envelopes of other control processes (Receive) and the clock. Simulations drive it that way.
//
// All state belongs to the loop of the replica engine: a handler that needs it goes there by Engine.Do, and replies from
// there. A reply about state that may have changed is sent only after the shard's log has committed an entry for it, or after
// a quorum has confirmed the leadership (read index, section 6.4 of the Raft thesis). So a process that has been superseded
// without knowing it, as after a freeze, says nothing that is no longer true; stale_process_test.go checks each request.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/scheduler"
	"ospreypond/internal/store/vfs"
)

const (
	heartbeatInterval = 75 * time.Millisecond
	electionTimeout   = 320 * time.Millisecond
	// decommissionQuarters is how many quarters of graceS a process that ends waits until the others can do without it. The
	// rest is for what has to end afterwards.
	decommissionQuarters = 3
	// decommissionMargin is how much later Decommission gives up waiting for the engine.
	decommissionMargin = 200 * time.Millisecond
)

// Options configure a Control. FileSystem, Sender, Remote, Clock and Logger are required.
type Options struct {
	Self       consensus.Member // Node, Zone and internal Address; the engine assigns the ID
	Bootstrap  []string         // see replica.Options
	Peers      []string         // internal addresses at which to ask to join
	FileSystem vfs.FS
	Dir        string // of the replicas' log
	DiskBytes  int64  // see replica.Options
	Bounds     boot.Bounds
	Sender     replica.Sender
	Remote     Remote
	Clock      clockwork.Clock
	Logger     log.Logger
	Seed       uint64 // of the random part of election timeouts

	// Open opens the engine; nil: replica.Open. Simulations use it to drive the engine.
	Open func(replica.Options) (*replica.Engine, error)
	// Observe, if set, returns the state machine to use in place of a group's own. Simulations wrap it to audit what is
	// applied.
	Observe func(id replica.GroupID, machine replica.StateMachine) replica.StateMachine
}

// Remote calls other control processes.
type Remote interface {
	// Do sends a request and waits for the response, which it stores where response points to, until ctx ends. Errors carry
	// a kind of package failure, which says whether the request may have arrived. It is safe for concurrent use.
	Do(ctx context.Context, address string, request, response any) error
}

// Control is one control process without goroutines, sockets and signals. Its exported methods may be called from any
// goroutine; its fields belong to the engine's loop.
type Control struct {
	options         Options
	address         string
	clock           clockwork.Clock
	logger          log.Logger
	engine          *replica.Engine
	endpoints       []endpoint
	configuration   *configurationShard
	shards          map[protocol.ShardID]*jobShard
	metrics         *taskTimeMetrics
	ticker          *ticker
	ownersUpdatedAt time.Duration // when the feed last got members and owners; 0: never
}

// New opens the replicas of all shards. It starts nothing: the caller runs or drives the engine, and calls Start.
func New(options Options) (*Control, error) {
	c := &Control{
		options: options,
		address: options.Self.Address,
		clock:   options.Clock,
		logger:  options.Logger,
		shards:  map[protocol.ShardID]*jobShard{},
		metrics: newTaskTimeMetrics(),
	}
	c.endpoints = c.newEndpoints()
	groups := c.newShards()
	if err := c.open(groups); err != nil {
		return nil, err
	}
	c.ticker = newTicker(c.clock, c.engine.Do, c.tick)
	c.configuration.attach(c.engine, c.ticker.wake)
	for _, shard := range c.shards {
		shard.engine = c.engine
		shard.wake = c.ticker.wake
	}
	return c, nil
}

// newShards makes the shards, and returns the state machines of their groups.
func (c *Control) newShards() map[replica.GroupID]replica.StateMachine {
	start := c.clock.Now()
	timeOfDay := func() int64 { return start.UnixMilli() + c.clock.Since(start).Milliseconds() }
	c.configuration = newConfigurationShard(c.logger)
	groups := map[replica.GroupID]replica.StateMachine{uint32(protocol.ConfigurationShard): c.configuration}
	jobOptions := jobs.Options{StatusRetention: c.options.Bounds.StatusRetention}
	for id := protocol.ShardID(1); id <= protocol.JobShards; id++ {
		shard := newJobShard(id, c.schedulerOptions(), jobOptions, timeOfDay, c.logger, c.metrics)
		c.shards[id] = shard
		groups[uint32(id)] = shard
	}
	if c.options.Observe != nil {
		for id, machine := range groups {
			groups[id] = c.options.Observe(id, machine)
		}
	}
	return groups
}

func (c *Control) open(groups map[replica.GroupID]replica.StateMachine) error {
	open := c.options.Open
	if open == nil {
		open = replica.Open
	}
	engine, err := open(replica.Options{
		FileSystem:        c.options.FileSystem,
		Dir:               c.options.Dir,
		Groups:            groups,
		Self:              c.options.Self,
		Bootstrap:         c.options.Bootstrap,
		Peers:             c.options.Peers,
		DiskBytes:         c.options.DiskBytes,
		Sender:            c.options.Sender,
		Clock:             c.clock,
		Logger:            c.logger,
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		Seed:              c.options.Seed,
	})
	c.engine = engine
	return err
}

func (c *Control) schedulerOptions() scheduler.Options {
	bounds := c.options.Bounds
	return scheduler.Options{
		MaxLease:  bounds.MaxLease,
		StopTime:  bounds.Stop,
		GangWait:  bounds.GangWait,
		Restore:   bounds.Restore,
		FarFactor: bounds.FarFactor,
		ServiceOf: c.configuration.serviceOf,
	}
}

// Start begins the ticks of the shards. The engine must run, or be driven, from then on.
func (c *Control) Start() { c.ticker.wake() }

// Receive hands an envelope of another control process to the replicas.
func (c *Control) Receive(envelope *replica.Envelope) { c.engine.Receive(envelope) }

// Decommission leaves the replica groups. It transfers all leaderships of this process, and waits until the other members
// have everything that is committed and, if there is a process to do so, another one has replaced it. It gives up after
// three quarters of graceS. done is called once, from any goroutine, when it has finished or given up.
func (c *Control) Decommission(done func()) {
	_ = level.Info(c.logger).Log("msg", "leaving the replica groups before the end")
	timeout := c.decommissionTimeout()
	var once sync.Once
	timer := c.clock.AfterFunc(timeout+decommissionMargin, func() { once.Do(done) })
	c.engine.Do(func() {
		c.engine.Decommission(timeout, func() {
			timer.Stop()
			once.Do(done)
		})
	})
}

// decommissionTimeout is how long a process that ends waits until the others can do without it.
func (c *Control) decommissionTimeout() time.Duration {
	return c.options.Bounds.Grace * decommissionQuarters / 4
}

// tick lets time pass for all shards, and returns the time until it must be called again.
func (c *Control) tick() time.Duration {
	now := c.engine.Now()
	next := now + maxTickInterval
	for id := protocol.ShardID(1); id <= protocol.JobShards; id++ {
		shard := c.shards[id]
		shard.tick()
		next = min(next, shard.deadline(now))
	}
	if c.configuration.leading {
		c.updateOwners()
	}
	c.configuration.tick()
	next = min(next, c.configuration.deadline(now))
	return next - now
}
