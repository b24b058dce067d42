package control

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// onOwner runs input on the engine's loop if this process owns the shard; input must then reply. Otherwise onOwner replies
// with an error, which names the shard's owner if it is known.
func onOwner[Resp any](c *Control, id protocol.ShardID, reply func(*Resp, error), input func(s *jobShard, now time.Duration)) {
	c.engine.Do(func() {
		shard := c.shards[id]
		switch {
		case shard == nil:
			reply(nil, failure.Newf(failure.Invalid, "there is no shard %d of jobs", id))
		case !shard.owner.IsLeader():
			reply(nil, &failure.Error{
				Kind:    failure.NotLeader,
				Message: "this process does not own the shard",
				Leader:  leaderHint(c.engine, uint32(id)),
			})
		default:
			shard.handleInput(func(now time.Duration) { input(shard, now) })
		}
	})
}

// ping replies at once, also while the engine's loop is busy. A reply shows only that the process is reachable.
func (c *Control) ping(_ string, request *protocol.PingRequest, reply func(*protocol.PingResponse, error)) {
	reply(&protocol.PingResponse{Number: request.Number}, nil)
}

// heartbeat replies to a runner's heartbeat with the orders for the runner.
func (c *Control) heartbeat(_ string, request *protocol.HeartbeatRequest, reply func(*protocol.HeartbeatResponse, error)) {
	onOwner(c, request.Shard, reply, func(s *jobShard, now time.Duration) {
		s.owner.Heartbeat(now, &request.Heartbeat, func(orders *protocol.Orders, err error) {
			if err != nil {
				reply(nil, err)
				return
			}
			reply(&protocol.HeartbeatResponse{Orders: *orders}, nil)
		})
	})
}

// deregister ends a runner's incarnation, and replies when this is committed.
func (c *Control) deregister(_ string, request *protocol.DeregisterRequest, reply func(*protocol.DeregisterResponse, error)) {
	onOwner(c, request.Shard, reply, func(s *jobShard, now time.Duration) {
		s.owner.Deregister(request.Instance, func(err error) { reply(&protocol.DeregisterResponse{}, err) })
	})
}

// submit replies when the job is committed. If it was committed before, submit replies so at once.
func (c *Control) submit(_ string, request *protocol.SubmitRequest, reply func(*protocol.SubmitResponse, error)) {
	onOwner(c, request.Shard, reply, func(s *jobShard, now time.Duration) {
		submit := jobs.Submit{
			ID:      request.ID,
			Queue:   request.Queue,
			Job:     request.Job,
			Version: request.ConfigurationVersion,
		}
		s.owner.Submit(now, submit, func(known bool, err error) {
			reply(&protocol.SubmitResponse{AlreadyKnown: known}, err)
		})
	})
}

// status replies with a job's state. If the state may still change, a quorum has confirmed the leadership before the reply.
func (c *Control) status(_ string, request *protocol.StatusRequest, reply func(*protocol.StatusResponse, error)) {
	onOwner(c, request.Shard, reply, func(s *jobShard, now time.Duration) {
		s.owner.Status(now, request.ID, func(state protocol.JobState, err error) {
			reply(&protocol.StatusResponse{State: state}, err)
		})
	})
}

// cancel replies when the cancellation is committed. A job that ended before keeps its state; an unknown job is
// failure.Gone.
func (c *Control) cancel(_ string, request *protocol.CancelRequest, reply func(*protocol.CancelResponse, error)) {
	onOwner(c, request.Shard, reply, func(s *jobShard, now time.Duration) {
		s.owner.Cancel(now, request.ID, func(err error) { reply(&protocol.CancelResponse{}, err) })
	})
}

// fence replies when the fence of a job id is committed, or else that the shard has or had the job; see jobs.Fence.
func (c *Control) fence(_ string, request *protocol.FenceRequest, reply func(*protocol.FenceResponse, error)) {
	onOwner(c, request.Shard, reply, func(s *jobShard, now time.Duration) {
		fence := jobs.Fence{ID: request.ID, Version: request.ConfigurationVersion}
		s.owner.Fence(now, fence, func(hasJob bool, err error) {
			reply(&protocol.FenceResponse{HasJob: hasJob}, err)
		})
	})
}

// pending replies with the number of a queue's jobs that have not ended, after a quorum has confirmed the leadership.
func (c *Control) pending(_ string, request *protocol.PendingRequest, reply func(*protocol.PendingResponse, error)) {
	onOwner(c, request.Shard, reply, func(s *jobShard, now time.Duration) {
		s.owner.Pending(now, request.Queue, func(pending int, err error) {
			reply(&protocol.PendingResponse{Pending: pending}, err)
		})
	})
}
