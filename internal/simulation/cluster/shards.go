package cluster

import (
	"time"

	"ospreypond/internal/configuration"
	"ospreypond/internal/control"
	"ospreypond/internal/failure"
	"ospreypond/internal/jobs"
	"ospreypond/internal/protocol"
	"ospreypond/internal/scheduler"
)

// jobShard is a process's replica of one shard of jobs, and the owner while it leads.
type jobShard struct {
	process *process
	id      uint32
	state   *jobs.State
	owner   *scheduler.Owner
}

func newJobShard(p *process, id protocol.ShardID) *jobShard {
	bounds := p.cluster.deployment.Ledger.Bounds
	state := jobs.New(jobs.Options{StatusTime: bounds.Status})
	owner := scheduler.New(scheduler.Options{
		HoldMax: bounds.HoldMax, StopTime: bounds.Stop, GangWait: bounds.Gang, SaveEvery: bounds.Save, Restore: bounds.Restore,
		FarFactor: bounds.Far, ServiceOf: p.configuration.serviceOf,
	}, state)
	return &jobShard{process: p, id: uint32(id), state: state, owner: owner}
}

func (s *jobShard) group() *group { return s.process.groups[s.id] }

// Apply carries out one committed command.
func (s *jobShard) Apply(_, _ uint64, data []byte) any {
	command, err := jobs.Decode(data)
	if err != nil {
		panic(err)
	}
	return s.state.Apply(command)
}

func (s *jobShard) Snapshot() ([]byte, error) { return s.state.Snapshot() }
func (s *jobShard) Restore(data []byte) error { return s.state.Restore(data) }

func (s *jobShard) Leading(term uint64) {
	s.owner.Lead(s.process.now, s.process.timeOfDayMs(), term)
	s.process.wake()
}

func (s *jobShard) Following() { s.owner.Follow() }

// pump proposes what the owner wants, and lets replies go that are due.
func (s *jobShard) pump() {
	now := s.process.now
	if command := s.owner.Take(now); command != nil {
		s.propose(command)
	}
	s.owner.Flush(now)
}

func (s *jobShard) propose(command *jobs.Command) {
	data, err := jobs.Encode(command)
	if err != nil {
		panic(err)
	}
	s.group().propose(data, func(result any, err error) {
		now := s.process.now
		if err != nil {
			s.owner.Failed(now, command, err)
			s.process.wake()
			return
		}
		s.owner.Applied(now, command, result.(*jobs.Effects), true)
		s.pump()
	})
}

func (s *jobShard) confirmedAt() time.Duration { return s.group().node.Status().ConfirmedAt }

func (s *jobShard) tick() {
	if !s.owner.Leading() {
		return
	}
	s.owner.Tick(s.process.now, s.process.timeOfDayMs(), s.confirmedAt())
	if s.owner.WantsConfirmation() {
		s.group().confirm(func(err error) {
			if err == nil {
				s.owner.Tick(s.process.now, 0, s.confirmedAt())
				s.owner.Flush(s.process.now)
			}
		})
	}
	s.pump()
}

func (s *jobShard) deadline() time.Duration { return s.owner.NextDeadline(s.process.now) }

// do runs an input of the owner.
func (s *jobShard) do(input func(now time.Duration)) {
	now := s.process.now
	s.owner.Tick(now, 0, s.confirmedAt())
	input(now)
	s.pump()
	s.process.wake()
}

// configurationShard is a process's replica of the configuration, and the feed while it leads.
type configurationShard struct {
	process *process
	state   *configuration.State
	feed    *control.Feed
	leading bool
}

func newConfigurationShard(p *process) *configurationShard {
	s := &configurationShard{process: p, state: configuration.NewState()}
	s.feed = control.NewFeed(s)
	return s
}

func (s *configurationShard) group() *group { return s.process.groups[0] }

// Version is the newest version applied here.
func (s *configurationShard) Version() uint64 { return s.state.Document().Version() }

// Since returns what brings a follower from a version to the newest.
func (s *configurationShard) Since(version uint64, canTakeChanges bool) ([]byte, error) {
	return s.state.Since(version, canTakeChanges)
}

// Apply carries out one committed order.
func (s *configurationShard) Apply(index, term uint64, data []byte) any {
	result := s.state.Apply(index, term, data)
	s.process.wake()
	return result
}

func (s *configurationShard) Snapshot() ([]byte, error) { return s.state.Snapshot() }
func (s *configurationShard) Restore(data []byte) error { return s.state.Restore(data) }

func (s *configurationShard) Leading(uint64) {
	s.leading = true
	s.feed.Lead()
	s.process.wake()
}

func (s *configurationShard) Following() {
	s.leading = false
	s.feed.Lost(s.process.leaderAddress(0))
}

func (s *configurationShard) serviceOf(queue string) (service string, version uint64) {
	document := s.state.Document()
	route := document.Queue(queue)
	if route == nil {
		return "", document.Version()
	}
	return route.GetService(), document.Version()
}

func (s *configurationShard) tick() {
	if !s.leading {
		return
	}
	s.process.tellOwners()
	s.confirmFeed()
}

func (s *configurationShard) confirmFeed() {
	if !s.feed.AskConfirmation(s.process.now) {
		return
	}
	s.group().confirm(func(err error) {
		if err != nil {
			s.feed.Unconfirmed(s.process.leaderAddress(0))
			return
		}
		s.feed.Confirmed(s.process.now)
	})
}

func (s *configurationShard) deadline() time.Duration {
	at, ok := s.feed.Deadline()
	if !s.leading || !ok {
		return s.process.now + tickMost
	}
	return at
}

// tellOwners gives the feed the members and owners as known here.
func (p *process) tellOwners() {
	owners := map[protocol.ShardID]string{protocol.ConfigurationShard: p.machine.Name}
	for id := protocol.ShardID(1); id <= protocol.JobShards; id++ {
		if address := p.leaderAddress(uint32(id)); address != "" {
			owners[id] = address
		}
	}
	var members []protocol.Member
	for _, m := range p.groups[0].node.Status().Members {
		members = append(members, protocol.Member{ID: uint64(m.ID), Node: m.Node, Zone: m.Zone, Address: m.Address})
	}
	p.configuration.feed.OwnersChanged(members, owners)
}

func (p *process) watch(request *protocol.WatchRequest, reply func(any, error)) {
	if !p.configuration.leading {
		reply(nil, p.notOwner(0))
		return
	}
	p.tellOwners()
	p.configuration.feed.Watch(p.now, request, func(r *protocol.WatchResponse, err error) { reply(r, err) })
	p.configuration.confirmFeed()
	p.wake()
}

func (p *process) configure(request *protocol.ConfigureRequest, reply func(any, error)) {
	if !p.configuration.leading {
		reply(nil, p.notOwner(0))
		return
	}
	command := configuration.Command{Kind: request.Kind, Base: request.Base, Body: request.Body}
	data, err := configuration.EncodeCommand(command)
	if err != nil {
		reply(nil, failure.New(failure.Invalid, err.Error()))
		return
	}
	p.groups[0].propose(data, func(result any, err error) {
		if err != nil {
			reply(nil, err)
			return
		}
		outcome := result.(configuration.Result)
		reply(&protocol.ConfigureResponse{Version: outcome.Version}, outcome.Err())
	})
}

func (p *process) read(reply func(any, error)) {
	if !p.configuration.leading {
		reply(nil, p.notOwner(0))
		return
	}
	p.groups[0].confirm(func(err error) {
		document := p.configuration.state.Document()
		reply(&protocol.ReadConfigurationResponse{Version: document.Version(), Body: document.JSON()}, err)
	})
}

// handle runs what a frontend or an agent asks of a shard.
func (p *process) handle(request any, reply func(any, error)) {
	switch r := request.(type) {
	case *protocol.WatchRequest:
		p.watch(r, reply)
	case *protocol.ConfigureRequest:
		p.configure(r, reply)
	case *protocol.ReadConfigurationRequest:
		p.read(reply)
	default:
		p.handleJobs(request, reply)
	}
}

func (p *process) handleJobs(request any, reply func(any, error)) {
	shard := p.shards[shardOf(request)]
	if !shard.owner.Leading() {
		reply(nil, p.notOwner(shard.id))
		return
	}
	owner := shard.owner
	shard.do(func(now time.Duration) {
		switch r := request.(type) {
		case *protocol.HeartbeatRequest:
			owner.Heartbeat(now, &r.Heartbeat, func(orders *protocol.Orders, err error) { reply(orders, err) })
		case *protocol.DeregisterRequest:
			owner.Deregister(now, r.Instance, func(err error) { reply(nil, err) })
		case *protocol.SubmitRequest:
			submit := jobs.Submit{ID: r.ID, Queue: r.Queue, Job: r.Job, Version: r.ConfigurationVersion}
			owner.Submit(now, submit, func(known bool, err error) { reply(known, err) })
		case *protocol.StatusRequest:
			owner.Status(now, r.ID, func(state string, err error) { reply(state, err) })
		case *protocol.CancelRequest:
			owner.Cancel(now, r.ID, func(err error) { reply(nil, err) })
		case *protocol.FenceRequest:
			owner.Fence(now, jobs.Fence{ID: r.ID, Version: r.ConfigurationVersion}, func(has bool, err error) { reply(has, err) })
		case *protocol.PendingRequest:
			owner.Pending(now, r.Queue, func(pending int, err error) { reply(pending, err) })
		}
	})
}

func shardOf(request any) protocol.ShardID {
	switch r := request.(type) {
	case *protocol.HeartbeatRequest:
		return r.Shard
	case *protocol.DeregisterRequest:
		return r.Shard
	case *protocol.SubmitRequest:
		return r.Shard
	case *protocol.StatusRequest:
		return r.Shard
	case *protocol.CancelRequest:
		return r.Shard
	case *protocol.FenceRequest:
		return r.Shard
	case *protocol.PendingRequest:
		return r.Shard
	}
	return 1
}
