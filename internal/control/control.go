// Package control is the role of the control machines: replicas of all shards, the owners' decisions, the operator's
// interface, and the feed of configuration and owners to frontends and agents.
package control

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"ospreypond/internal/boot"
	"ospreypond/internal/consensus"
	"ospreypond/internal/jobs"
	"ospreypond/internal/protocol"
	"ospreypond/internal/replica"
	"ospreypond/internal/scheduler"
	"ospreypond/internal/seeds"
	"ospreypond/internal/store/vfs"
	"ospreypond/internal/transport"
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

// Control is one running control process.
type Control struct {
	settings      *boot.Settings
	logger        log.Logger
	engine        *replica.Engine
	server        *transport.Server
	client        *transport.Client
	configuration *configurationShard
	shards        map[protocol.ShardID]*jobShard
	ticker        *ticker
	ownersToldAt  time.Duration // when the feed was last told members and owners
}

// Run serves until ctx ends, then leaves the replica groups and returns.
func Run(ctx context.Context, settings *boot.Settings, logger log.Logger) error {
	hangups := seeds.Hangups()
	c := &Control{settings: settings, logger: logger, shards: map[protocol.ShardID]*jobShard{}}
	c.client = transport.NewClient(transport.ClientOptions{Logger: logger})
	c.server = transport.NewServer(transport.Options{Logger: logger})
	defer c.client.Close()
	if err := c.open(); err != nil {
		return err
	}
	c.handle()
	listener, err := net.Listen("tcp", settings.InternalAddress())
	if err != nil {
		return errors.Wrap(err, "listening for the other processes")
	}
	web, err := net.Listen("tcp", settings.Listen["control"])
	if err != nil {
		return errors.Wrap(err, "listening for the operator")
	}
	return c.serve(ctx, listener, web, hangups)
}

func (c *Control) open() error {
	start := time.Now()
	clock := func() int64 { return start.UnixMilli() + time.Since(start).Milliseconds() }
	c.configuration = newConfigurationShard(c.logger)
	groups := map[replica.GroupID]replica.StateMachine{uint32(protocol.ConfigurationShard): c.configuration}
	for id := protocol.ShardID(1); id <= protocol.JobShards; id++ {
		shard := newJobShard(id, c.schedulerOptions(), jobs.Options{StatusTime: c.settings.Bounds.Status}, clock, c.logger)
		c.shards[id] = shard
		groups[uint32(id)] = shard
	}
	engine, err := replica.Open(replica.Options{
		FileSystem:        vfs.OS{},
		Dir:               c.settings.DataDir,
		Groups:            groups,
		Self:              consensus.Member{Node: c.settings.NodeName, Zone: c.settings.Zone, Address: c.settings.InternalAddress()},
		Bootstrap:         c.bootstrap(),
		Peers:             c.settings.SeedInternalAddresses(),
		DiskBytes:         int64(c.settings.Limits.DiskMB) << 20,
		Sender:            &sender{c.client},
		Clock:             clockwork.NewRealClock(),
		Logger:            c.logger,
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		Seed:              uint64(start.UnixNano()),
	})
	if err != nil {
		return err
	}
	c.engine = engine
	c.ticker = newTicker(c)
	c.configuration.attach(engine, c.ticker.wake)
	for _, shard := range c.shards {
		shard.engine = engine
		shard.wake = c.ticker.wake
	}
	return nil
}

func (c *Control) bootstrap() []string {
	if !c.settings.Bootstrap {
		return nil
	}
	return c.settings.SeedInternalAddresses()
}

func (c *Control) schedulerOptions() scheduler.Options {
	bounds := c.settings.Bounds
	return scheduler.Options{
		HoldMax:   bounds.HoldMax,
		StopTime:  bounds.Stop,
		GangWait:  bounds.Gang,
		SaveEvery: bounds.Save,
		Restore:   bounds.Restore,
		FarFactor: bounds.Far,
		ServiceOf: c.configuration.serviceOf,
	}
}

func (c *Control) serve(ctx context.Context, listener, web net.Listener, hangups <-chan os.Signal) error {
	engineContext, stopEngine := context.WithCancel(context.Background())
	defer stopEngine()
	engineEnd := make(chan error, 1)
	go func() { engineEnd <- c.engine.Run(engineContext) }()
	go c.server.Serve(engineContext, listener)
	go c.follower().Run(engineContext, hangups)
	httpServer := &http.Server{Handler: c.operator(), ReadHeaderTimeout: 5 * time.Second}
	go httpServer.Serve(web)
	c.ticker.wake()
	level.Info(c.logger).Log("msg", "control is up", "node", c.settings.NodeName, "address", c.settings.InternalAddress())
	select {
	case err := <-engineEnd:
		return errors.Wrap(err, "the replicas ended")
	case <-ctx.Done():
	}
	c.leave()
	httpServer.Close()
	stopEngine()
	<-engineEnd
	c.server.Close()
	return nil
}

// follower keeps the peers in step with the settings file.
func (c *Control) follower() *seeds.Follower {
	return seeds.NewFollower(seeds.Options{Path: os.Getenv(boot.Variable), Seeds: c.settings.SeedInternalAddresses(),
		Directory: peers{c.engine}, Logger: c.logger})
}

// leave gives away what this process owns, and waits until the others hold all that it holds and its place is taken if
// somebody is there to take it; at most for three quarters of graceS.
func (c *Control) leave() {
	level.Info(c.logger).Log("msg", "leaving the replica groups before the end")
	patience := c.settings.Bounds.Grace * leaveShare / 4
	done := make(chan struct{})
	c.engine.Do(func() { c.engine.Leave(patience, func() { close(done) }) })
	select {
	case <-done:
	case <-time.After(patience + leaveMargin):
	}
}

// sender carries the replicas' envelopes.
type sender struct{ client *transport.Client }

// Send sends one envelope, best effort.
func (s *sender) Send(address string, envelope *replica.Envelope) {
	transport.Send(s.client, address, envelope)
}
