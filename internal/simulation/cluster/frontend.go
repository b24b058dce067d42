package cluster

import (
	"time"

	"ospreypond/internal/configuration"
	"ospreypond/internal/failure"
	"ospreypond/internal/protocol"
	"ospreypond/internal/simulation"
)

// Times of a frontend, as in production.
const (
	answerMargin = 150 * time.Millisecond
	handInTry    = 1200 * time.Millisecond
	askTry       = 1400 * time.Millisecond
	confirmPoll  = 20 * time.Millisecond
	confirmTime  = 400 * time.Millisecond
	exactMargin  = 200 * time.Millisecond
	usualMargin  = 300 * time.Millisecond
)

// frontend is one life of a frontend, modelled after internal/frontend.
type frontend struct {
	directory             *directory
	exact, usual, longest time.Duration
}

func newFrontend(c *Cluster, m *simulation.Machine) *frontend {
	apply, skew := c.deployment.Ledger.Bounds.ConfigApply, c.deployment.Ledger.Bounds.MaxSkew
	return &frontend{directory: newDirectory(c, m), exact: apply - exactMargin, usual: apply + usualMargin, longest: apply + skew/2}
}

// target is where a request goes by one version.
type target struct {
	document *configuration.Document
	queue    protocol.Queue
	shards   []protocol.ShardID // the present one first
}

func (f *frontend) lookup(name simulation.QueueName, id string) (target, bool) {
	document := f.directory.document
	if document == nil {
		return target{}, false
	}
	route, _, ok := document.Table().Lookup(name.Host, name.Prefix+id)
	if !ok {
		return target{}, false
	}
	key := configuration.QueueKey(route)
	t := target{document: document, queue: protocol.Queue{
		Key: key, Service: route.GetService(), Priority: int(route.GetPriority()), MaxAttempts: int(route.GetMaxAttempts()),
		Extension: route.GetExtension(), TargetLatencyMs: route.GetTargetLatencyMs(),
	}}
	t.shards = []protocol.ShardID{protocol.ShardOf(t.queue.Service)}
	for _, service := range document.EarlierServices(key) {
		t.addShard(protocol.ShardOf(service))
	}
	return t, true
}

func (t *target) addShard(shard protocol.ShardID) {
	for _, known := range t.shards {
		if known == shard {
			return
		}
	}
	t.shards = append(t.shards, shard)
}

// confirm waits a short time for a confirmation no older than within, and tells whether it is there.
func (f *frontend) confirm(within, until time.Duration, then func(ok bool)) {
	d := f.directory
	if d.fresh(within) {
		then(true)
		return
	}
	d.refresh()
	until = min(until, d.now()+confirmTime)
	var look func()
	look = func() {
		switch {
		case d.fresh(within):
			then(true)
		case d.now() >= until:
			then(false)
		default:
			d.machine.After(confirmPoll, look)
		}
	}
	d.machine.After(confirmPoll, look)
}

// find finds a request's target. That there is no such queue is said only if no unseen version may have it.
func (f *frontend) find(name simulation.QueueName, id string, until time.Duration, then func(t target, err error)) {
	fresh := f.directory.fresh(f.exact)
	if t, ok := f.lookup(name, id); ok {
		then(t, nil)
		return
	}
	settle := func(fresh bool) {
		t, ok := f.lookup(name, id)
		switch {
		case ok:
			then(t, nil)
		case fresh && f.directory.version() > 0:
			then(t, failure.New(failure.NoRoute, "no queue has this host and path"))
		default:
			then(t, failure.New(failure.Unavailable, "a newer configuration may have this queue"))
		}
	}
	if fresh {
		settle(true)
		return
	}
	f.confirm(f.exact, until, settle)
}

func (f *frontend) until(deadline, most time.Duration) time.Duration {
	return f.directory.now() + min(deadline-answerMargin, most)
}

func never() bool { return false }

// HandIn takes a job.
func (f *frontend) HandIn(name simulation.QueueName, id string, job *protocol.JobSpec, deadline time.Duration, reply func(int)) {
	until := f.until(deadline, handInTry)
	done := func(err error) { reply(failure.AnswerTo(failure.KindOf(err)).Status) }
	if f.directory.document == nil {
		done(failure.New(failure.Unavailable, "no configuration yet"))
		return
	}
	f.confirm(f.usual, until, func(ok bool) {
		if !ok && !f.directory.fresh(f.longest) {
			done(failure.New(failure.Unavailable, "the configuration held here may be out of date"))
			return
		}
		f.handIn(name, id, job, until, done)
	})
}

// handIn brings a job to the owner, and starts again where the owner knows a newer configuration.
func (f *frontend) handIn(name simulation.QueueName, id string, job *protocol.JobSpec, until time.Duration, done func(error)) {
	f.find(name, id, until, func(t target, err error) {
		if err != nil {
			done(err)
			return
		}
		f.handInto(t, id, job, 1, until, func(err error) {
			kind := failure.KindOf(err)
			if kind != failure.Stale && kind != failure.Moved {
				done(err)
				return
			}
			f.directory.refresh()
			f.newer(t.document.Version(), until, func(ok bool) {
				if !ok {
					done(err)
					return
				}
				f.handIn(name, id, job, until, done)
			})
		})
	})
}

// newer waits for a version above another.
func (f *frontend) newer(version uint64, until time.Duration, then func(ok bool)) {
	d := f.directory
	switch {
	case d.version() > version:
		then(true)
	case d.now() >= until:
		then(false)
	default:
		d.machine.After(confirmPoll, func() { f.newer(version, until, then) })
	}
}

// handInto asks the earlier shards from position on, then hands the job in.
func (f *frontend) handInto(t target, id string, job *protocol.JobSpec, position int, until time.Duration, done func(error)) {
	d := f.directory
	if position < len(t.shards) {
		request := &protocol.FenceRequest{Shard: t.shards[position], ID: id, ConfigurationVersion: t.document.Version()}
		d.call(request.Shard, request, until, true, never, func(response any, err error) {
			if err != nil {
				if failure.KindOf(err) == failure.UnknownOutcome {
					err = failure.New(failure.Unavailable, "an earlier shard does not answer")
				}
				done(err)
				return
			}
			if response.(bool) {
				done(nil)
				return
			}
			f.handInto(t, id, job, position+1, until, done)
		})
		return
	}
	if d.now() >= until {
		done(failure.New(failure.Unavailable, "the time for this request is over"))
		return
	}
	request := &protocol.SubmitRequest{Shard: t.shards[0], ID: id, Queue: t.queue, Job: *job, ConfigurationVersion: t.document.Version()}
	d.call(request.Shard, request, until, true, never, func(_ any, err error) { done(err) })
}

// ask asks the shards that may have a job, the present one first, until one has it.
func (f *frontend) ask(name simulation.QueueName, id string, until time.Duration, question func(protocol.ShardID) any, done func(any, error)) {
	f.find(name, id, until, func(t target, err error) {
		if err != nil {
			done(nil, err)
			return
		}
		f.askShards(t, 0, until, nil, question, func(response any, err error) {
			if failure.KindOf(err) != failure.Gone {
				done(response, err)
				return
			}
			f.confirm(f.exact, until, func(ok bool) {
				switch {
				case !ok:
					done(nil, failure.New(failure.Unavailable, "a newer configuration may have moved this queue"))
				case f.directory.version() == t.document.Version():
					done(nil, err)
				default:
					f.ask(name, id, until, question, done)
				}
			})
		})
	})
}

func (f *frontend) askShards(t target, position int, until time.Duration, worst error, question func(protocol.ShardID) any,
	done func(any, error)) {
	if position >= len(t.shards) {
		done(nil, worst)
		return
	}
	shard := t.shards[position]
	f.directory.call(shard, question(shard), until, true, never, func(response any, err error) {
		if err == nil {
			done(response, nil)
			return
		}
		if worst == nil || failure.KindOf(worst) == failure.Gone || failure.KindOf(err) == failure.UnknownOutcome {
			worst = err
		}
		f.askShards(t, position+1, until, worst, question, done)
	})
}

// unread is the status of a question: one without an answer has done nothing.
func unread(err error) int {
	if failure.KindOf(err) == failure.UnknownOutcome {
		return failure.AnswerTo(failure.Unavailable).Status
	}
	return failure.AnswerTo(failure.KindOf(err)).Status
}

// State tells a job's state.
func (f *frontend) State(name simulation.QueueName, id string, deadline time.Duration, reply func(int, string)) {
	question := func(shard protocol.ShardID) any { return &protocol.StatusRequest{Shard: shard, ID: id} }
	f.ask(name, id, f.until(deadline, askTry), question, func(response any, err error) {
		state, _ := response.(string)
		reply(unread(err), state)
	})
}

// Cancel cancels a job.
func (f *frontend) Cancel(name simulation.QueueName, id string, deadline time.Duration, reply func(int)) {
	question := func(shard protocol.ShardID) any { return &protocol.CancelRequest{Shard: shard, ID: id} }
	f.ask(name, id, f.until(deadline, askTry), question, func(_ any, err error) {
		reply(failure.AnswerTo(failure.KindOf(err)).Status)
	})
}

// Pending counts a queue's jobs that have not ended.
func (f *frontend) Pending(name simulation.QueueName, deadline time.Duration, reply func(int, int)) {
	until := f.until(deadline, askTry)
	f.confirm(f.exact, until, func(ok bool) {
		if !ok {
			reply(failure.AnswerTo(failure.Unavailable).Status, 0)
			return
		}
		f.find(name, "", until, func(t target, err error) {
			if err != nil {
				reply(unread(err), 0)
				return
			}
			f.count(t, 0, 0, until, reply)
		})
	})
}

func (f *frontend) count(t target, position, sum int, until time.Duration, reply func(int, int)) {
	if position >= len(t.shards) {
		reply(200, sum)
		return
	}
	request := &protocol.PendingRequest{Shard: t.shards[position], Queue: t.queue.Key}
	f.directory.call(request.Shard, request, until, true, never, func(response any, err error) {
		if err != nil {
			reply(unread(err), 0)
			return
		}
		f.count(t, position+1, sum+response.(int), until, reply)
	})
}
