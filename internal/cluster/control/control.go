// Package control is the process of the control machines. Each control process has a replica of every shard and may own
// shards: the owner of a shard is the leader of its Raft group. The owner of a shard of jobs runs the scheduler on it. The
// owner of the configuration's shard sends the configuration and the shards' owners to frontends and agents (Feed). Every
// control process serves the operator's HTTP interface and the operator's commands.
//
// Control does all this without goroutines, sockets and signals, which only Run adds. Its inputs are requests (Handle),
// envelopes of other control processes (Receive) and the clock. Simulations drive a Control in this form.
//
// All state belongs to the loop of the replica engine. A handler that needs state runs on the loop by Engine.Do and replies
// from there. A reply about state that may have changed is sent only after the shard's log has committed an entry for it, or
// after a quorum has confirmed the leadership (read index, section 6.4 of the Raft thesis). Without this, a process that was
// frozen and has lost its leadership without noticing could reply with state that is out of date. stale_process_test.go
// checks each request.
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
	// decommissionQuarters is how long a process that shuts down waits for its decommissioning, in quarters of the setting
	// graceS. The remaining time is for the later steps of the shutdown.
	decommissionQuarters = 3
	// decommissionMargin is added to the engine's timeout before Decommission stops waiting for the engine, which may be
	// stuck.
	decommissionMargin = 200 * time.Millisecond
)

// Options configure a Control. FileSystem, Sender, Remote, Clock and Logger are required.
type Options struct {
	Self       consensus.Member // Node, Zone and internal Address of this process; the engine assigns the ID
	Bootstrap  []string         // see replica.Options
	Peers      []string         // internal addresses of the processes that this one asks to join the replica groups
	FileSystem vfs.FS
	Dir        string      // directory of the replicas' log
	DiskBytes  int64       // see replica.Options
	Bounds     boot.Bounds // time limits of the settings
	Sender     replica.Sender
	Remote     Remote
	Clock      clockwork.Clock
	Logger     log.Logger
	Seed       uint64 // seed of the random part of election timeouts

	// Open opens the engine; nil stands for replica.Open. Simulations set it to drive the engine themselves.
	Open func(replica.Options) (*replica.Engine, error)
	// Observe, if set, returns the state machine that a group uses instead of machine. Simulations return a wrapper that
	// audits the applied entries.
	Observe func(id replica.GroupID, machine replica.StateMachine) replica.StateMachine
}

// Remote calls other control processes.
type Remote interface {
	// Do sends a request and waits until ctx ends for the response, which it stores in the value that response points to.
	// Errors have a kind of package failure, which says whether the request may have arrived. Do is safe for concurrent use.
	Do(ctx context.Context, address string, request, response any) error
}

// Control is one control process without goroutines, sockets and signals. Any goroutine may call its exported methods. Only
// the engine's loop uses the fields that change: configuration, shards, ownersUpdatedAt and the state behind them.
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
	ownersUpdatedAt time.Duration // engine's time of the last Feed.SetOwners; 0: not called yet
}

// New opens the replicas of all shards, but doesn't run them: the caller must run or drive the engine, and call Start.
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

// newShards creates the replicas of all shards and returns the state machines of their groups.
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

// open opens the engine with the state machines of all groups.
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
		MaxLease:       bounds.MaxLease,
		StopTime:       bounds.Stop,
		GangWait:       bounds.GangWait,
		RestoreTime:    bounds.Restore,
		NonLocalFactor: bounds.FarFactor,
		ServiceOf:      c.configuration.serviceOf,
	}
}

// Start starts the ticks of the shards. The engine must run or be driven from then on.
func (c *Control) Start() { c.ticker.wake() }

// Receive passes an envelope of another control process to the engine.
func (c *Control) Receive(envelope *replica.Envelope) { c.engine.Receive(envelope) }

// Decommission leaves the replica groups. It transfers all leaderships of this process and waits until the other members
// have all committed entries. If another process can take this one's place, it also waits until that has happened. It gives
// up after decommissionTimeout. It calls done once, from any goroutine, when it has finished or given up.
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

// decommissionTimeout returns how long a process that ends waits for its decommissioning.
func (c *Control) decommissionTimeout() time.Duration {
	return c.options.Bounds.Grace * decommissionQuarters / 4
}

// tick runs the time-dependent work of all shards and returns the time after which it must be called again.
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
