package control

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/cluster/scheduler"
)

// jobShard is this process's replica of one shard of jobs, with the scheduler that decides on it while this process owns
// it. All of it runs on the engine's loop.
type jobShard struct {
	id     protocol.ShardID
	engine *replica.Engine
	state  *jobs.State
	owner  *scheduler.Owner
	clock  timeOfDay
	logger log.Logger
	wake   func() // asks for tick soon

	taskTimes taskTimeReporter
}

// timeOfDay returns the Unix time in ms. It advances with the engine's clock, so it never goes back.
type timeOfDay func() int64

var _ replica.StateMachine = (*jobShard)(nil)
var _ replica.LeadershipObserver = (*jobShard)(nil)
var _ replica.TransferDeferrer = (*jobShard)(nil)

func newJobShard(id protocol.ShardID, options scheduler.Options, jobOptions jobs.Options, clock timeOfDay, logger log.Logger, metrics *taskTimeMetrics) *jobShard {
	state := jobs.New(jobOptions)
	logger = log.With(logger, "shard", id)
	return &jobShard{
		id:        id,
		state:     state,
		owner:     scheduler.New(options, state),
		clock:     clock,
		logger:    logger,
		taskTimes: newTaskTimeReporter(logger, metrics),
	}
}

// Apply applies one committed command.
func (s *jobShard) Apply(index, term uint64, data []byte) any {
	command, err := jobs.Decode(data)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "an entry of the log cannot be read", "index", index, "err", err)
		return nil
	}
	return s.state.Apply(command)
}

// Snapshot returns the encoded state.
func (s *jobShard) Snapshot() ([]byte, error) { return s.state.Snapshot() }

// Restore replaces the state by an encoded one.
func (s *jobShard) Restore(data []byte) error { return s.state.Restore(data) }

// Digest returns a hash of the state, the same for equal states.
func (s *jobShard) Digest() uint64 { return s.state.Digest() }

// Leading starts this process's ownership of the shard.
func (s *jobShard) Leading(term uint64) {
	_ = level.Info(s.logger).Log("msg", "this process owns the shard", "term", term)
	s.owner.BecomeLeader(s.engine.Now(), s.clock(), term)
	s.taskTimes.restart(s.engine.Now())
	s.wake()
}

// Following ends this process's ownership of the shard, if it was the owner.
func (s *jobShard) Following() {
	if s.owner.IsLeader() {
		_ = level.Info(s.logger).Log("msg", "this process no longer owns the shard")
		s.taskTimes.reportQueues(s.owner)
	}
	s.owner.BecomeFollower()
}

// DefersTransfer reports whether a leadership transfer would now delay the restart of runs that were lost with a runner:
// a new owner would wait for their leases from the beginning.
func (s *jobShard) DefersTransfer() bool { return s.owner.AwaitsLeaseExpiry(s.engine.Now()) }

// pump proposes the owner's next command, if there is one, and sends the replies that are due.
func (s *jobShard) pump() {
	now := s.engine.Now()
	if command := s.owner.NextCommand(now); command != nil {
		s.propose(command)
	}
	s.owner.Flush(now)
}

// propose proposes a command to the shard's log.
func (s *jobShard) propose(command *jobs.Command) {
	data, err := jobs.Encode(command)
	if err != nil {
		_ = level.Error(s.logger).Log("msg", "a command cannot be encoded", "err", err)
		s.owner.Failed(s.engine.Now(), command, failure.New(failure.Unavailable, err.Error()))
		return
	}
	s.engine.Propose(uint32(s.id), data, func(result any, err error) {
		s.proposalDone(command, result, err)
		if err == nil {
			s.pump() // not after a refusal, which may come before Propose returns: the next tick tries again
		}
	})
}

// proposalDone gives the owner the result of a command.
func (s *jobShard) proposalDone(command *jobs.Command, result any, err error) {
	effects, ok := result.(*jobs.Effects)
	if err == nil && !ok {
		err = failure.New(failure.UnknownOutcome, "the entry could not be applied")
	}
	if err != nil {
		s.owner.Failed(s.engine.Now(), command, err)
		return
	}
	s.owner.Applied(s.engine.Now(), command, effects)
}

// tick lets time pass.
func (s *jobShard) tick() {
	if !s.owner.IsLeader() {
		return
	}
	s.owner.Tick(s.engine.Now(), s.clock(), s.confirmedAt())
	s.confirmReads()
	s.pump()
	s.taskTimes.report(s.engine.Now(), s.owner)
}

// confirmReads asks a quorum to confirm the leadership while reads wait for that.
func (s *jobShard) confirmReads() {
	if !s.owner.NeedsConfirmation() {
		return
	}
	s.engine.ConfirmLeadership(uint32(s.id), func(err error) {
		if err == nil {
			s.owner.Tick(s.engine.Now(), 0, s.confirmedAt())
			s.pump()
		}
	})
}

// confirmedAt returns when the newest leadership confirmation was requested; see replica.Engine.
func (s *jobShard) confirmedAt() time.Duration { return s.engine.Status(uint32(s.id)).ConfirmedAt }

// deadline returns when tick must be called next.
func (s *jobShard) deadline(now time.Duration) time.Duration { return s.owner.NextDeadline(now) }

// do gives the owner an input. Time passes first, so that the owner decides on it with its timeouts up to date.
func (s *jobShard) do(input func(now time.Duration)) {
	now := s.engine.Now()
	s.owner.Tick(now, 0, s.confirmedAt())
	input(now)
	s.confirmReads()
	s.pump()
	s.wake()
}
