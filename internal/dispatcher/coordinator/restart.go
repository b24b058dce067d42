package coordinator

import (
	"cmp"
	"slices"

	"ospreypond/policy"
)

// restart ends all open requests with InternalFault and replaces all modules by a new one. Guards against a module that
// panics and would take the dispatcher down, with all later requests.
func (c *Coordinator) restart() {
	c.failAll()
	d, err := policy.New(c.settings, c.seed)
	if err != nil {
		c.log.WithError(err).Error("decision module does not start")
		return
	}
	c.jobs, c.modules = map[uint32]*job{}, nil
	c.activate(d, c.settings)
}

// activate makes d the decision module for new requests. d starts with the current list, fleet and closing state.
func (c *Coordinator) activate(d *policy.Dispatcher, set policy.Settings) {
	m := &module{dispatcher: d, settings: set}
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

// failAll ends every open request with InternalFault and cancels its attempts, without waiting for their ends.
func (c *Coordinator) failAll() {
	for _, j := range c.jobs {
		c.respond(j, Response{Kind: InternalFault})
		for _, attempt := range j.attempts {
			attempt.cancel()
		}
		if c.jobs[j.id] == j { // dropped here, so attemptEnded ignores the ends of its attempts
			delete(c.jobs, j.id)
			j.module.openJobs--
			c.notifyJobEnded(j)
		}
	}
}

// applyList applies a list event to c.members.
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
