package coordinator

import (
	"slices"

	"ospreypond/policy"
)

// restart replaces the module. Guards against one bad decision taking every request on this dispatcher along.
func (c *Coordinator) restart() {
	c.breakAll()
	d, err := policy.New(c.set, c.seed)
	if err != nil {
		c.log.WithError(err).Error("decision module does not start")
		return
	}
	c.jobs, c.mods = map[uint32]*job{}, nil
	c.begin(d, c.set)
}

// begin puts a new module in charge of new requests, told of the list as it stands.
func (c *Coordinator) begin(d *policy.Dispatcher, set policy.Settings) {
	m := &module{d: d, set: set}
	c.mods = append(c.mods, m)
	e := policy.Event{Kind: policy.ListRestored}
	for _, m := range c.members {
		e.Members = append(e.Members, m)
	}
	slices.SortFunc(e.Members, func(a, b policy.Member) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	m.events = append(m.events, e)
	if c.fleet != nil {
		m.events = append(m.events, *c.fleet)
	}
	if c.closing {
		m.events = append(m.events, policy.Event{Kind: policy.Closing})
	}
}

// breakAll answers everything open as failed through this program and calls off its attempts.
func (c *Coordinator) breakAll() {
	for _, j := range c.jobs {
		c.reply(j, Answer{Kind: Broken})
		for _, attempt := range j.attempts {
			attempt.cancel()
		}
		if c.jobs[j.id] == j { // its attempts' ends will find it gone
			delete(c.jobs, j.id)
			j.mod.open--
			c.tell(j)
		}
	}
}

func (c *Coordinator) remember(e *policy.Event) {
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
