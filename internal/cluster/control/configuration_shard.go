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

// configurationShard is this process's replica of the configuration's shard, with the feed that it serves while this process
// owns the shard. All methods run on the engine's loop.
type configurationShard struct {
	engine  *replica.Engine
	state   *configuration.State
	feed    *Feed
	leading bool // this process owns the shard
	logger  log.Logger
	wake    func() // requests a tick soon; see ticker.wake
}

var _ replica.StateMachine = (*configurationShard)(nil)
var _ replica.LeadershipObserver = (*configurationShard)(nil)

func newConfigurationShard(logger log.Logger) *configurationShard {
	s := &configurationShard{state: configuration.NewState(), logger: log.With(logger, "shard", "configuration")}
	s.feed = NewFeed(s)
	return s
}

// attach sets the engine and wake. It must be called before the engine runs.
func (s *configurationShard) attach(engine *replica.Engine, wake func()) {
	s.engine = engine
	s.wake = wake
}

// Version returns the newest version of the configuration that was applied here, or 0 if there is none yet.
func (s *configurationShard) Version() uint64 { return s.state.Document().Version() }

// Since returns the data with which a follower of the configuration gets from a version to the newest one; see feedSource.
func (s *configurationShard) Since(version uint64, canTakeChanges bool) ([]byte, error) {
	return s.state.Since(version, canTakeChanges)
}

// Apply applies one committed change, and requests a tick if the version changed, so that pending watches are answered.
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

// Restore replaces the state by a state that Snapshot has encoded.
func (s *configurationShard) Restore(data []byte) error { return s.state.Restore(data) }

// Digest returns a hash of the state, which is equal on replicas with equal states.
func (s *configurationShard) Digest() uint64 { return s.state.Digest() }

// Leading is called when this process has become the owner of the shard.
func (s *configurationShard) Leading(term uint64) {
	_ = level.Info(s.logger).Log("msg", "this process owns the shard", "term", term)
	s.leading = true
	s.feed.BecomeLeader()
	s.wake()
}

// Following is called when this process is a follower of the shard's group. It ends the ownership, if there was one.
func (s *configurationShard) Following() {
	if s.leading {
		_ = level.Info(s.logger).Log("msg", "this process no longer owns the shard")
	}
	s.leading = false
	s.feed.BecomeFollower(s.leader())
}

// group returns the replica group of the configuration's shard.
func (s *configurationShard) group() replica.GroupID { return uint32(protocol.ConfigurationShard) }

// leader returns the leaderHint of the shard's group.
func (s *configurationShard) leader() string {
	if s.engine == nil { // the engine calls Following for each group when it is opened, which is before attach
		return ""
	}
	return leaderHint(s.engine, s.group())
}

// leaderHint returns the internal address of a group's leader for callers that should go there. It returns "" if the leader
// is unknown or is this process: a process that rejects a call because its leadership is not confirmed must not send the
// caller back to itself.
func leaderHint(engine *replica.Engine, group replica.GroupID) string {
	address := engine.LeaderAddress(group)
	if address == engine.Self().Address {
		return ""
	}
	return address
}

// notConfigurationOwner returns the error for callers of a process that doesn't own the configuration. leader is the
// internal address of the owner, or "" if it is unknown.
func notConfigurationOwner(leader string) error {
	return &failure.Error{
		Kind:    failure.NotLeader,
		Message: "this process does not own the configuration",
		Leader:  leader,
	}
}

// serviceOf returns the service of a queue in the newest configuration applied here, or "" if that has no such queue, and
// the version of that configuration.
func (s *configurationShard) serviceOf(queue string) (service string, version uint64) {
	document := s.state.Document()
	route := document.Queue(queue)
	if route == nil {
		return "", document.Version()
	}
	return route.GetService(), document.Version()
}

// tick starts a leadership confirmation if watches are due, which are answered after it.
func (s *configurationShard) tick() {
	if s.leading {
		s.confirmFeed()
	}
}

// confirmFeed requests a leadership confirmation from a quorum if the feed needs one. When the confirmation is there, it
// calls itself for watches that were received or became due after the request.
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

// deadline returns the time at which tick must be called next, at the latest.
func (s *configurationShard) deadline(now time.Duration) time.Duration {
	at, ok := s.feed.Deadline()
	if !s.leading || !ok {
		return now + maxTickInterval
	}
	return at
}

// propose proposes an operator's change to the shard's log and replies with its result.
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
			reply(nil, failure.New(failure.UnknownOutcome, "the committed change has no result"))
			return
		}
		if err := outcome.Err(); err != nil {
			reply(nil, err)
			return
		}
		reply(&protocol.ConfigureResponse{Version: outcome.Version}, nil)
	})
}
