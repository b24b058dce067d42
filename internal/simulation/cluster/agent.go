package cluster

import (
	"time"

	"ospreypond/internal/failure"
	"ospreypond/internal/protocol"
	"ospreypond/internal/simulation"
)

// Times of an agent's exchange with its runner, as in production.
const (
	exchangeTime  = 880 * time.Millisecond
	patience      = 350 * time.Millisecond
	successorPoll = 60 * time.Millisecond
	attemptPause  = 40 * time.Millisecond
)

// agent is one life of an agent, modelled after internal/agent.
type agent struct {
	directory *directory
	newest    map[string]*exchange // by instance: the heartbeat that is out
}

// exchange is one heartbeat on its way. Only the answer of its newest attempt counts.
type exchange struct {
	agent    *agent
	until    time.Duration
	sequence uint64
	attempt  int
	over     bool
	shard    protocol.ShardID
	request  any
	answer   func(response any, err error)
}

func newAgent(c *Cluster, m *simulation.Machine) *agent {
	return &agent{directory: newDirectory(c, m), newest: map[string]*exchange{}}
}

// Heartbeat carries a runner's heartbeat to the owner.
func (a *agent) Heartbeat(beat *protocol.Heartbeat, reply func(orders *protocol.Orders, err error)) {
	out := a.newest[beat.Instance]
	if out != nil && beat.Sequence < out.sequence {
		reply(nil, failure.New(failure.Unavailable, "a newer heartbeat is out"))
		return
	}
	e := &exchange{agent: a, until: a.directory.now() + exchangeTime, sequence: beat.Sequence,
		shard: protocol.ShardOf(beat.Service)}
	e.request = &protocol.HeartbeatRequest{Shard: e.shard, Heartbeat: *beat}
	e.answer = func(response any, err error) {
		if a.newest[beat.Instance] == e {
			delete(a.newest, beat.Instance)
		}
		orders, _ := response.(*protocol.Orders)
		reply(orders, err)
	}
	if out != nil {
		out.end(nil, failure.New(failure.Unavailable, "a newer heartbeat has come"))
	}
	a.newest[beat.Instance] = e
	e.try()
}

// Deregister carries a runner's planned end to the owner.
func (a *agent) Deregister(service, instance string, reply func(err error)) {
	e := &exchange{agent: a, until: a.directory.now() + exchangeTime, shard: protocol.ShardOf(service)}
	e.request = &protocol.DeregisterRequest{Shard: e.shard, Service: service, Instance: instance}
	e.answer = func(_ any, err error) { reply(err) }
	e.try()
}

func (e *exchange) end(response any, err error) {
	if e.over {
		return
	}
	e.over = true
	e.answer(response, err)
}

// try asks the owner; once a successor is known, or at an error that may pass, the attempt is over and the next begins.
func (e *exchange) try() {
	if e.over {
		return
	}
	d := e.agent.directory
	if d.now() >= e.until {
		e.end(nil, failure.New(failure.Unavailable, "no owner has answered"))
		return
	}
	e.attempt++
	attempt := e.attempt
	stopped := func() bool { return e.over || e.attempt != attempt }
	e.watchSuccessor(stopped, d.owners[e.shard])
	d.call(e.shard, e.request, e.until, true, stopped, func(response any, err error) {
		switch failure.KindOf(err) {
		case failure.NotLeader, failure.Unavailable, failure.UnknownOutcome:
			e.attempt++
			d.refresh()
			d.machine.After(attemptPause, e.try)
		default:
			e.end(response, err)
		}
	})
}

func (e *exchange) watchSuccessor(stopped func() bool, asked string) {
	d := e.agent.directory
	var look func()
	look = func() {
		if stopped() {
			return
		}
		if owner := d.owners[e.shard]; owner != "" && owner != asked {
			e.attempt++
			d.machine.After(attemptPause, e.try)
			return
		}
		d.machine.After(successorPoll, look)
	}
	d.machine.After(patience, func() {
		if !stopped() {
			d.refresh()
			look()
		}
	})
}
