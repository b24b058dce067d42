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

// jobShard is this process's replica of one shard of jobs, and the owner's decisions while it leads. All of it runs on
// the engine's loop.
type jobShard struct {
	id     protocol.ShardID
	engine *replica.Engine
	state  *jobs.State
	owner  *scheduler.Owner
	clock  timeOfDay
	logger log.Logger
	wake   func() // asks for tick soon

	account accountLog
}

// timeOfDay tells the time of day in ms since 1970.
type timeOfDay func() int64

var _ replica.StateMachine = (*jobShard)(nil)
var _ replica.LeadershipObserver = (*jobShard)(nil)
var _ replica.TransferDeferrer = (*jobShard)(nil)

func newJobShard(id protocol.ShardID, options scheduler.Options, jobOptions jobs.Options, clock timeOfDay, logger log.Logger, metrics *accountMetrics) *jobShard {
	state := jobs.New(jobOptions)
	logger = log.With(logger, "shard", id)
	return &jobShard{
		id:      id,
		state:   state,
		owner:   scheduler.New(options, state),
		clock:   clock,
		logger:  logger,
		account: newAccountLog(logger, metrics),
	}
}

// Apply carries out one committed command.
func (s *jobShard) Apply(index, term uint64, data []byte) any {
	command, err := jobs.Decode(data)
	if err != nil {
		level.Error(s.logger).Log("msg", "an entry of the log cannot be read", "index", index, "err", err)
		return nil
	}
	return s.state.Apply(command)
}

// Snapshot returns the whole state.
func (s *jobShard) Snapshot() ([]byte, error) { return s.state.Snapshot() }

// Restore replaces the whole state.
func (s *jobShard) Restore(data []byte) error { return s.state.Restore(data) }

// Digest tells in short what the state holds.
func (s *jobShard) Digest() uint64 { return s.state.Digest() }

// Leading begins ownership.
func (s *jobShard) Leading(term uint64) {
	level.Info(s.logger).Log("msg", "this process owns the shard", "term", term)
	s.owner.BecomeLeader(s.engine.Now(), s.clock(), term)
	s.account.restart(s.engine.Now())
	s.wake()
}

// Following ends ownership.
func (s *jobShard) Following() {
	if s.owner.Leading() {
		level.Info(s.logger).Log("msg", "this process no longer owns the shard")
		s.account.tellQueues(s.owner)
	}
	s.owner.BecomeFollower()
}

// DefersTransfer tells whether a successor would take longer to start again what was lost with a runner.
func (s *jobShard) DefersTransfer() bool { return s.owner.AwaitsLeaseExpiry(s.engine.Now()) }

// pump proposes what the owner wants, and lets replies go that are due.
func (s *jobShard) pump() {
	now := s.engine.Now()
	if command := s.owner.NextCommand(now); command != nil {
		s.propose(command)
	}
	s.owner.Flush(now)
}

func (s *jobShard) propose(command *jobs.Command) {
	data, err := jobs.Encode(command)
	if err != nil {
		level.Error(s.logger).Log("msg", "a command cannot be encoded", "err", err)
		s.owner.Failed(s.engine.Now(), command, failure.New(failure.Unavailable, err.Error()))
		return
	}
	s.engine.Propose(uint32(s.id), data, func(result any, err error) {
		s.settled(command, result, err)
		if err == nil {
			s.pump() // else the next tick tries again: a refusal may come before Propose returns
		}
	})
}

func (s *jobShard) settled(command *jobs.Command, result any, err error) {
	effects, ok := result.(*jobs.Effects)
	if err == nil && !ok {
		err = failure.New(failure.UnknownOutcome, "the entry could not be applied")
	}
	if err != nil {
		s.owner.Failed(s.engine.Now(), command, err)
		return
	}
	s.owner.Applied(s.engine.Now(), command, effects, true)
}

// tick lets time pass.
func (s *jobShard) tick() {
	if !s.owner.Leading() {
		return
	}
	s.owner.Tick(s.engine.Now(), s.clock(), s.confirmedAt())
	s.confirmReads()
	s.pump()
	s.account.tell(s.engine.Now(), s.owner)
}

// confirmReads asks for a confirmation of leadership while reads wait for one.
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

// confirmedAt is when the newest confirmation of leadership was asked for.
func (s *jobShard) confirmedAt() time.Duration { return s.engine.Status(uint32(s.id)).ConfirmedAt }

// deadline is when tick is to be called next.
func (s *jobShard) deadline(now time.Duration) time.Duration { return s.owner.NextDeadline(now) }

// do runs an input of the owner.
func (s *jobShard) do(input func(now time.Duration)) {
	now := s.engine.Now()
	s.owner.Tick(now, 0, s.confirmedAt())
	input(now)
	s.confirmReads()
	s.pump()
	s.wake()
}
