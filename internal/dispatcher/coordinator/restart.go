package coordinator

import (
	"cmp"
	"slices"

	"ospreypond/policy"
)

// restart replaces the module. Guards against one bad decision that takes down every request of this dispatcher.
func (c *Coordinator) restart() {
	c.failAll()
	d, err := policy.New(c.set, c.seed)
	if err != nil {
		c.log.WithError(err).Error("decision module does not start")
		return
	}
	c.jobs, c.modules = map[uint32]*job{}, nil
	c.activate(d, c.set)
}

// activate gives new requests to a new module, which starts with the present list and fleet.
func (c *Coordinator) activate(d *policy.Dispatcher, set policy.Settings) {
	m := &module{d: d, set: set}
	c.modules = append(c.modules, m)
	e := policy.Event{Kind: policy.ListRestored}
	for _, m := range c.members {
		e.Members = append(e.Members, m)
	}
	slices.SortFunc(e.Members, func(a, b policy.Member) int { return cmp.Compare(a.Worker, b.Worker) })
	m.events = append(m.events, e)
	if c.fleet != nil {
		m.events = append(m.events, *c.fleet)
	}
	if c.closing {
		m.events = append(m.events, policy.Event{Kind: policy.Closing})
	}
}

// failAll ends every open request with InternalFault and cancels its attempts.
func (c *Coordinator) failAll() {
	for _, j := range c.jobs {
		c.respond(j, Response{Kind: InternalFault})
		for _, attempt := range j.attempts {
			attempt.cancel()
		}
		if c.jobs[j.id] == j { // its attempts' ends are ignored then
			delete(c.jobs, j.id)
			j.module.openJobs--
			c.notifyJobEnded(j)
		}
	}
}

// applyList keeps c.members up to date.
func (c *Coordinator) applyList(e *policy.Event) {
	if e.Kind == policy.ListReplaced || e.Kind == policy.ListRestored {
		clear(c.members)
	}
	for _, m := range e.Members {
		if m.State == policy.Removed {
			delete(c.members, m.Worker)
		} else {
			c.members[m.Worker] = m
		}
	}
}
