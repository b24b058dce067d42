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

// configurationShard is this process's replica of the configuration's shard, with the feed that it serves while it owns
// the shard. All of it runs on the engine's loop.
type configurationShard struct {
	engine  *replica.Engine
	state   *configuration.State
	feed    *Feed
	leading bool
	logger  log.Logger
	wake    func() // asks for tick soon
}

var _ replica.StateMachine = (*configurationShard)(nil)
var _ replica.LeadershipObserver = (*configurationShard)(nil)

func newConfigurationShard(logger log.Logger) *configurationShard {
	s := &configurationShard{state: configuration.NewState(), logger: log.With(logger, "shard", "configuration")}
	s.feed = NewFeed(s)
	return s
}

// attach must be called before the engine runs.
func (s *configurationShard) attach(engine *replica.Engine, wake func()) {
	s.engine = engine
	s.wake = wake
}

// Version returns the newest version applied here; 0: none yet.
func (s *configurationShard) Version() uint64 { return s.state.Document().Version() }

// Since returns what a follower needs to get from a version to the newest.
func (s *configurationShard) Since(version uint64, canTakeChanges bool) ([]byte, error) {
	return s.state.Since(version, canTakeChanges)
}

// Apply applies one committed change.
func (s *configurationShard) Apply(index, term uint64, data []byte) any {
	before := s.Version()
	result := s.state.Apply(index, term, data)
	if s.Version() != before {
		s.wake()
	}
	return result
}

// Snapshot returns the encoded state.
func (s *configurationShard) Snapshot() ([]byte, error) { return s.state.Snapshot() }

// Restore replaces the state by an encoded one.
func (s *configurationShard) Restore(data []byte) error { return s.state.Restore(data) }

// Digest returns a hash of the state, the same for equal states.
func (s *configurationShard) Digest() uint64 { return s.state.Digest() }

// Leading starts this process's ownership of the shard.
func (s *configurationShard) Leading(term uint64) {
	_ = level.Info(s.logger).Log("msg", "this process owns the shard", "term", term)
	s.leading = true
	s.feed.BecomeLeader()
	s.wake()
}

// Following ends this process's ownership of the shard, if it was the owner.
func (s *configurationShard) Following() {
	if s.leading {
		_ = level.Info(s.logger).Log("msg", "this process no longer owns the shard")
	}
	s.leading = false
	s.feed.BecomeFollower(s.leader())
}

func (s *configurationShard) group() replica.GroupID { return uint32(protocol.ConfigurationShard) }

// leader returns the leaderHint of the shard's group.
func (s *configurationShard) leader() string {
	if s.engine == nil { // before attach: the engine opens each group as a follower
		return ""
	}
	return leaderHint(s.engine, s.group())
}

// leaderHint returns the internal address of a group's leader as far as known; "" if that is this process. A process whose
// leadership is not confirmed must not send callers back to itself.
func leaderHint(engine *replica.Engine, group replica.GroupID) string {
	address := engine.LeaderAddress(group)
	if address == engine.Self().Address {
		return ""
	}
	return address
}

// notConfigurationOwner is the error for callers that should go to leader, an internal address or "".
func notConfigurationOwner(leader string) error {
	return &failure.Error{
		Kind:    failure.NotLeader,
		Message: "this process does not own the configuration",
		Leader:  leader,
	}
}

// serviceOf returns the service of a queue in the newest configuration applied here, and that configuration's version;
// "" if it has no such queue.
func (s *configurationShard) serviceOf(queue string) (service string, version uint64) {
	document := s.state.Document()
	route := document.Queue(queue)
	if route == nil {
		return "", document.Version()
	}
	return route.GetService(), document.Version()
}

// tick answers the watches that are due.
func (s *configurationShard) tick() {
	if s.leading {
		s.confirmFeed()
	}
}

// confirmFeed asks a quorum to confirm the leadership while the feed needs that for its responses.
func (s *configurationShard) confirmFeed() {
	if !s.feed.BeginConfirmation(s.engine.Now()) {
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

// deadline returns when tick must be called next.
func (s *configurationShard) deadline(now time.Duration) time.Duration {
	at, ok := s.feed.Deadline()
	if !s.leading || !ok {
		return now + maxTickInterval
	}
	return at
}

// propose commits an operator's change, and replies with what came of it.
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
			reply(nil, failure.New(failure.UnknownOutcome, "the change could not be applied"))
			return
		}
		if err := outcome.Err(); err != nil {
			reply(nil, err)
			return
		}
		reply(&protocol.ConfigureResponse{Version: outcome.Version}, nil)
	})
}
