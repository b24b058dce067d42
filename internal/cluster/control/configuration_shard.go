package control

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
)

// configurationShard is this process's replica of the configuration's shard, and the feed while it leads. All of it
// runs on the engine's loop.
type configurationShard struct {
	engine  *replica.Engine
	state   *configuration.State
	feed    *Feed
	leading bool
	logger  log.Logger
	wake    func()
}

var _ replica.StateMachine = (*configurationShard)(nil)
var _ replica.LeadershipObserver = (*configurationShard)(nil)

func newConfigurationShard(logger log.Logger) *configurationShard {
	s := &configurationShard{state: configuration.NewState(), logger: log.With(logger, "shard", "configuration")}
	s.feed = NewFeed(s)
	return s
}

func (s *configurationShard) attach(engine *replica.Engine, wake func()) {
	s.engine = engine
	s.wake = wake
}

// Version is the newest version applied here.
func (s *configurationShard) Version() uint64 { return s.state.Document().Version() }

// Since returns what brings a follower from a version to the newest.
func (s *configurationShard) Since(version uint64, canTakeChanges bool) ([]byte, error) {
	return s.state.Since(version, canTakeChanges)
}

// Apply carries out one committed order.
func (s *configurationShard) Apply(index, term uint64, data []byte) any {
	before := s.Version()
	result := s.state.Apply(index, term, data)
	if s.Version() != before {
		s.wake()
	}
	return result
}

// Snapshot returns the whole state.
func (s *configurationShard) Snapshot() ([]byte, error) { return s.state.Snapshot() }

// Restore replaces the whole state.
func (s *configurationShard) Restore(data []byte) error { return s.state.Restore(data) }

// Digest tells in short what the state holds.
func (s *configurationShard) Digest() uint64 { return s.state.Digest() }

// Leading begins ownership.
func (s *configurationShard) Leading(term uint64) {
	level.Info(s.logger).Log("msg", "this process owns the shard", "term", term)
	s.leading = true
	s.feed.BecomeLeader()
	s.wake()
}

// Following ends ownership.
func (s *configurationShard) Following() {
	if s.leading {
		level.Info(s.logger).Log("msg", "this process no longer owns the shard")
	}
	s.leading = false
	s.feed.Lost(s.leader())
}

func (s *configurationShard) group() replica.GroupID { return uint32(protocol.ConfigurationShard) }

// leader is where the owner is thought to be, if that is not this process: one whose leadership is not confirmed sends
// nobody back to itself.
func (s *configurationShard) leader() string {
	if s.engine == nil {
		return ""
	}
	address := s.engine.LeaderAddress(s.group())
	if address == s.engine.Self().Address {
		return ""
	}
	return address
}

// serviceOf returns the service that the newest document here gives a queue.
func (s *configurationShard) serviceOf(queue string) (service string, version uint64) {
	document := s.state.Document()
	route := document.Queue(queue)
	if route == nil {
		return "", document.Version()
	}
	return route.GetService(), document.Version()
}

// tick answers the watches that are due.
func (s *configurationShard) tick(c *Control) {
	if !s.leading {
		return
	}
	c.tellOwners()
	s.confirmFeed()
}

func (s *configurationShard) confirmFeed() {
	if !s.feed.AskConfirmation(s.engine.Now()) {
		return
	}
	s.engine.ConfirmLeadership(s.group(), func(err error) {
		if err != nil {
			s.feed.Unconfirmed(s.leader())
			return
		}
		s.feed.Confirmed(s.engine.Now())
		s.confirmFeed()
	})
}

func (s *configurationShard) deadline(now time.Duration) time.Duration {
	at, ok := s.feed.Deadline()
	if !s.leading || !ok {
		return now + tickMost
	}
	return at
}

// propose commits an operator's order.
func (s *configurationShard) propose(command configuration.Command, reply func(*protocol.ConfigureResponse, error)) {
	data, err := configuration.EncodeCommand(command)
	if err != nil {
		reply(nil, failure.New(failure.Unavailable, err.Error()))
		return
	}
	s.engine.Propose(s.group(), data, func(result any, err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		outcome, ok := result.(configuration.Result)
		if !ok {
			reply(nil, failure.New(failure.UnknownOutcome, "the order could not be applied"))
			return
		}
		if err := outcome.Err(); err != nil {
			reply(nil, err)
			return
		}
		reply(&protocol.ConfigureResponse{Version: outcome.Version}, nil)
	})
}

// ownersInterval is how often members and owners are looked at.
const ownersInterval = 40 * time.Millisecond

// tellOwners gives the feed the members and owners as known here.
func (c *Control) tellOwners() {
	now := c.engine.Now()
	if c.ownersToldAt > 0 && now-c.ownersToldAt < ownersInterval {
		return
	}
	c.ownersToldAt = now
	owners := map[protocol.ShardID]string{protocol.ConfigurationShard: c.address}
	for id := range c.shards {
		if address := c.engine.LeaderAddress(uint32(id)); address != "" {
			owners[id] = address
		}
	}
	var members []protocol.Member
	for _, m := range c.engine.Members(c.configuration.group()) {
		members = append(members, protocol.Member{ID: uint64(m.ID), Node: m.Node, Zone: m.Zone, Address: m.Address})
	}
	c.configuration.feed.OwnersChanged(members, owners)
}

func (c *Control) watch(_ string, request *protocol.WatchRequest, reply func(*protocol.WatchResponse, error)) {
	c.engine.Do(func() {
		if !c.configuration.leading {
			reply(nil, c.notConfigurationOwner())
			return
		}
		c.configuration.feed.Watch(c.engine.Now(), request, reply)
		c.configuration.confirmFeed()
		c.ticker.wake()
	})
}

func (c *Control) notConfigurationOwner() error {
	return &failure.Error{
		Kind:    failure.NotLeader,
		Message: "this process does not own the configuration",
		Leader:  c.leaderHint(c.configuration.group()),
	}
}

func (c *Control) configure(_ string, request *protocol.ConfigureRequest, reply func(*protocol.ConfigureResponse, error)) {
	c.engine.Do(func() {
		if !c.configuration.leading {
			reply(nil, c.notConfigurationOwner())
			return
		}
		command := configuration.Command{Kind: string(request.Kind), Base: request.Base, Body: request.Body}
		c.configuration.propose(command, reply)
	})
}

func (c *Control) readConfiguration(_ string, _ *protocol.ReadConfigurationRequest, reply func(*protocol.ReadConfigurationResponse, error)) {
	c.engine.Do(func() {
		if !c.configuration.leading {
			reply(nil, c.notConfigurationOwner())
			return
		}
		c.engine.ConfirmLeadership(c.configuration.group(), func(err error) {
			if err != nil {
				reply(nil, err)
				return
			}
			document := c.configuration.state.Document()
			reply(&protocol.ReadConfigurationResponse{Version: document.Version(), Body: document.JSON()}, nil)
		})
	})
}
