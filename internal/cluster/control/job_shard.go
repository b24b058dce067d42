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

// jobShard is this process's replica of one shard of jobs, with the scheduler that makes the decisions while this process
// owns the shard. All methods run on the engine's loop.
type jobShard struct {
	id     protocol.ShardID
	engine *replica.Engine
	state  *jobs.State
	owner  *scheduler.Owner
	clock  timeOfDay
	logger log.Logger
	wake   func() // requests a tick soon; see ticker.wake

	taskTimes taskTimeReporter
}

// timeOfDay returns the Unix time in ms. It is the time at the start of the process plus the time that the clock measured
// since, so an adjustment of the system's time doesn't set it back.
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

// Restore replaces the state by a state that Snapshot has encoded.
func (s *jobShard) Restore(data []byte) error { return s.state.Restore(data) }

// Digest returns a hash of the state, which is equal on replicas with equal states.
func (s *jobShard) Digest() uint64 { return s.state.Digest() }

// Leading is called when this process has become the owner of the shard.
func (s *jobShard) Leading(term uint64) {
	_ = level.Info(s.logger).Log("msg", "this process owns the shard", "term", term)
	s.owner.BecomeLeader(s.engine.Now(), s.clock(), term)
	s.taskTimes.restart(s.engine.Now())
	s.wake()
}

// Following is called when this process is a follower of the shard's group. It ends the ownership, if there was one.
func (s *jobShard) Following() {
	if s.owner.IsLeader() {
		_ = level.Info(s.logger).Log("msg", "this process no longer owns the shard")
		s.taskTimes.reportQueues(s.owner)
	}
	s.owner.BecomeFollower()
}

// DefersTransfer reports whether a leadership transfer would now delay the restart of runs that were lost with a runner. A
// new owner doesn't know how much of the runner's lease is left, so it would wait for the longest lease.
func (s *jobShard) DefersTransfer() bool { return s.owner.AwaitsLeaseExpiry(s.engine.Now()) }

// proposeAndReply proposes the owner's next command, if there is one, and sends the replies to heartbeats that are due.
func (s *jobShard) proposeAndReply() {
	now := s.engine.Now()
	if command := s.owner.NextCommand(now); command != nil {
		s.propose(command)
	}
	s.owner.Flush(now)
}

// propose proposes a command to the shard's log and passes the result to the owner.
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
			// Not after an error: the engine may report it before Propose returns, which would lead to endless recursion.
			// The next tick proposes again.
			s.proposeAndReply()
		}
	})
}

// proposalDone passes the result of a command to the owner.
func (s *jobShard) proposalDone(command *jobs.Command, result any, err error) {
	effects, ok := result.(*jobs.Effects)
	if err == nil && !ok {
		err = failure.New(failure.UnknownOutcome, "the committed command could not be decoded")
	}
	if err != nil {
		s.owner.Failed(s.engine.Now(), command, err)
		return
	}
	s.owner.Applied(s.engine.Now(), command, effects)
}

// tick runs the owner's time-dependent work, if this process is the owner.
func (s *jobShard) tick() {
	if !s.owner.IsLeader() {
		return
	}
	s.owner.Tick(s.engine.Now(), s.clock(), s.confirmedAt())
	s.confirmReads()
	s.proposeAndReply()
	s.taskTimes.report(s.engine.Now(), s.owner)
}

// confirmReads requests a leadership confirmation from a quorum if reads wait for one.
func (s *jobShard) confirmReads() {
	if !s.owner.NeedsConfirmation() {
		return
	}
	s.engine.ConfirmLeadership(uint32(s.id), func(err error) {
		if err == nil {
			s.owner.Tick(s.engine.Now(), 0, s.confirmedAt())
			s.proposeAndReply()
		}
	})
}

// confirmedAt returns when the newest successful leadership confirmation was requested; see consensus.Status.
func (s *jobShard) confirmedAt() time.Duration { return s.engine.Status(uint32(s.id)).ConfirmedAt }

// deadline returns the time at which tick must be called next, at the latest.
func (s *jobShard) deadline(now time.Duration) time.Duration { return s.owner.NextDeadline(now) }

// handleInput calls input, which passes a request to the owner, and then sends the owner's commands and replies. The owner's
// time is advanced before, so that expired leases and other timeouts are taken into account.
func (s *jobShard) handleInput(input func(now time.Duration)) {
	now := s.engine.Now()
	s.owner.Tick(now, 0, s.confirmedAt())
	input(now)
	s.confirmReads()
	s.proposeAndReply()
	s.wake()
}
