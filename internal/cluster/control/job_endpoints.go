package control

import (
	"time"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// onOwner runs input on the engine's loop if this process owns the shard, else reject with the reason. One of them is
// called, once.
func (c *Control) onOwner(id protocol.ShardID, input func(s *jobShard, now time.Duration), reject func(err error)) {
	c.engine.Do(func() {
		shard := c.shards[id]
		if shard == nil {
			reject(failure.Newf(failure.Invalid, "no shard %d", id))
			return
		}
		if !shard.owner.Leading() {
			reject(&failure.Error{
				Kind:    failure.NotLeader,
				Message: "this process does not own the shard",
				Leader:  leaderHint(c.engine, uint32(id)),
			})
			return
		}
		shard.do(func(now time.Duration) { input(shard, now) })
	})
}

// ping answers at once, also while the engine's loop is busy: it shows that this process is reachable, and no more.
func (c *Control) ping(_ string, request *protocol.PingRequest, reply func(*protocol.PingResponse, error)) {
	reply(&protocol.PingResponse{Number: request.Number}, nil)
}

func (c *Control) heartbeat(_ string, request *protocol.HeartbeatRequest, reply func(*protocol.HeartbeatResponse, error)) {
	c.onOwner(request.Shard, func(s *jobShard, now time.Duration) {
		s.owner.Heartbeat(now, &request.Heartbeat, func(orders *protocol.Orders, err error) {
			if err != nil {
				reply(nil, err)
				return
			}
			reply(&protocol.HeartbeatResponse{Orders: *orders}, nil)
		})
	}, func(err error) { reply(nil, err) })
}

func (c *Control) deregister(_ string, request *protocol.DeregisterRequest, reply func(*protocol.DeregisterResponse, error)) {
	c.onOwner(request.Shard, func(s *jobShard, now time.Duration) {
		s.owner.Deregister(request.Instance, func(err error) { reply(&protocol.DeregisterResponse{}, err) })
	}, func(err error) { reply(nil, err) })
}

func (c *Control) submit(_ string, request *protocol.SubmitRequest, reply func(*protocol.SubmitResponse, error)) {
	c.onOwner(request.Shard, func(s *jobShard, now time.Duration) {
		submit := jobs.Submit{
			ID:      request.ID,
			Queue:   request.Queue,
			Job:     request.Job,
			Version: request.ConfigurationVersion,
		}
		s.owner.Submit(now, submit, func(known bool, err error) {
			reply(&protocol.SubmitResponse{AlreadyKnown: known}, err)
		})
	}, func(err error) { reply(nil, err) })
}

func (c *Control) status(_ string, request *protocol.StatusRequest, reply func(*protocol.StatusResponse, error)) {
	c.onOwner(request.Shard, func(s *jobShard, now time.Duration) {
		s.owner.Status(now, request.ID, func(state string, err error) {
			reply(&protocol.StatusResponse{State: state}, err)
		})
	}, func(err error) { reply(nil, err) })
}

func (c *Control) cancel(_ string, request *protocol.CancelRequest, reply func(*protocol.CancelResponse, error)) {
	c.onOwner(request.Shard, func(s *jobShard, now time.Duration) {
		s.owner.Cancel(now, request.ID, func(err error) { reply(&protocol.CancelResponse{}, err) })
	}, func(err error) { reply(nil, err) })
}

func (c *Control) fence(_ string, request *protocol.FenceRequest, reply func(*protocol.FenceResponse, error)) {
	c.onOwner(request.Shard, func(s *jobShard, now time.Duration) {
		fence := jobs.Fence{ID: request.ID, Version: request.ConfigurationVersion}
		s.owner.Fence(now, fence, func(hasJob bool, err error) {
			reply(&protocol.FenceResponse{HasJob: hasJob}, err)
		})
	}, func(err error) { reply(nil, err) })
}

func (c *Control) pending(_ string, request *protocol.PendingRequest, reply func(*protocol.PendingResponse, error)) {
	c.onOwner(request.Shard, func(s *jobShard, now time.Duration) {
		s.owner.Pending(now, request.Queue, func(pending int, err error) {
			reply(&protocol.PendingResponse{Pending: pending}, err)
		})
	}, func(err error) { reply(nil, err) })
}
