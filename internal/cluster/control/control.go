// Package control is the role of the control machines: replicas of all shards, the owners' decisions, the operator's
// interface, and the feed of configuration and owners to frontends and agents.
//
// Control is all of that without goroutines, sockets and signals, which only Run has: its inputs are requests, envelopes
// and the clock. Simulations run it so.
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
	// leaveShare is the share of graceS for which a process that ends waits until it can be spared, in quarters; the rest is
	// for what ends after it.
	leaveShare = 3
	// leaveMargin is how long after that the engine's word is waited for.
	leaveMargin = 200 * time.Millisecond
)

// Options are what a Control is made of.
type Options struct {
	Self       consensus.Member // Node, Zone and internal Address
	Bootstrap  []string         // see replica.Options
	Peers      []string         // internal addresses to ask for joining
	FileSystem vfs.FS
	Dir        string // of the replicas' log
	DiskBytes  int64
	Bounds     boot.Bounds
	Sender     replica.Sender
	Remote     Remote
	Clock      clockwork.Clock
	Logger     log.Logger
	Seed       uint64 // of election times

	// Open opens the engine; nil: replica.Open.
	Open func(replica.Options) (*replica.Engine, error)
	// Observe, if set, returns what stands in a state machine's place, and may watch what comes to it.
	Observe func(id replica.GroupID, machine replica.StateMachine) replica.StateMachine
}

// Remote calls other control processes.
type Remote interface {
	// Do sends a request and waits until ctx ends for the answer, which it puts where response points to. Errors carry a
	// kind of package failure, which says whether the request may have been handed over.
	Do(ctx context.Context, address string, request, response any) error
}

// Control is one control process but for its goroutines.
type Control struct {
	options       Options
	address       string
	clock         clockwork.Clock
	logger        log.Logger
	engine        *replica.Engine
	endpoints     []endpoint
	configuration *configurationShard
	shards        map[protocol.ShardID]*jobShard
	metrics       *accountMetrics
	ticker        *ticker
	ownersToldAt  time.Duration // when the feed was last told members and owners
}

// New opens the replicas. Nothing moves before the engine does.
func New(options Options) (*Control, error) {
	c := &Control{
		options: options,
		address: options.Self.Address,
		clock:   options.Clock,
		logger:  options.Logger,
		shards:  map[protocol.ShardID]*jobShard{},
		metrics: newAccountMetrics(),
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

// newShards returns the state machines of all groups.
func (c *Control) newShards() map[replica.GroupID]replica.StateMachine {
	start := c.clock.Now()
	timeOfDay := func() int64 { return start.UnixMilli() + c.clock.Since(start).Milliseconds() }
	c.configuration = newConfigurationShard(c.logger)
	groups := map[replica.GroupID]replica.StateMachine{uint32(protocol.ConfigurationShard): c.configuration}
	jobOptions := jobs.Options{StatusRetention: c.options.Bounds.Status}
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
		GangWait:  bounds.Gang,
		SaveEvery: bounds.Save,
		Restore:   bounds.Restore,
		FarFactor: bounds.Far,
		ServiceOf: c.configuration.serviceOf,
	}
}

// Start lets the shards' ticks begin. The engine must run, or be driven, from then on.
func (c *Control) Start() { c.ticker.wake() }

// Receive takes an envelope of another control process. Any goroutine may call it.
func (c *Control) Receive(envelope *replica.Envelope) { c.engine.Receive(envelope) }

// Decommission leaves the replica groups: it gives away what this process owns, and waits until the others hold all that it holds
// and its place is taken if somebody is there to take it; at most for three quarters of graceS. done is called once, on
// whatever goroutine, when that is done, or after that time.
func (c *Control) Decommission(done func()) {
	level.Info(c.logger).Log("msg", "leaving the replica groups before the end")
	patience := c.leavePatience()
	var once sync.Once
	timer := c.clock.AfterFunc(patience+leaveMargin, func() { once.Do(done) })
	c.engine.Do(func() {
		c.engine.Decommission(patience, func() {
			timer.Stop()
			once.Do(done)
		})
	})
}

// leavePatience is how long this process waits at its end until it can be spared.
func (c *Control) leavePatience() time.Duration { return c.options.Bounds.Grace * leaveShare / 4 }

// tick lets time pass for all shards, and returns when it is to be called again.
func (c *Control) tick() time.Duration {
	now := c.engine.Now()
	next := now + tickMost
	for id := protocol.ShardID(1); id <= protocol.JobShards; id++ {
		shard := c.shards[id]
		shard.tick()
		next = min(next, shard.deadline(now))
	}
	c.configuration.tick(c)
	next = min(next, c.configuration.deadline(now))
	return next - now
}
