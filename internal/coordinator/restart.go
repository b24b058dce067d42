package coordinator

import (
	"slices"

	"ospreypond/policy"
)

// restart replaces the module. Guards against one bad decision taking every request on this dispatcher along.
func (x *Exchange) restart() {
	x.breakAll()
	d, err := policy.New(x.set, x.seed)
	if err != nil {
		x.log.WithError(err).Error("decision module does not start")
		return
	}
	x.jobs, x.mods = map[uint32]*job{}, nil
	x.begin(d, x.set)
}

// begin puts a new module in charge of new requests, told of the list as it stands.
func (x *Exchange) begin(d *policy.Dispatcher, set policy.Settings) {
	m := &module{d: d, set: set}
	x.mods = append(x.mods, m)
	e := policy.Event{Kind: policy.ListRestored}
	for _, m := range x.members {
		e.Members = append(e.Members, m)
	}
	slices.SortFunc(e.Members, func(a, b policy.Member) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
	m.events = append(m.events, e)
	if x.fleet != nil {
		m.events = append(m.events, *x.fleet)
	}
	if x.closing {
		m.events = append(m.events, policy.Event{Kind: policy.Closing})
	}
}

// breakAll answers everything open as failed through this program and calls off its attempts.
func (x *Exchange) breakAll() {
	for _, j := range x.jobs {
		x.reply(j, Answer{Kind: Broken})
		for _, attempt := range j.attempts {
			attempt.cancel()
		}
		if x.jobs[j.id] == j { // its attempts' ends will find it gone
			delete(x.jobs, j.id)
			j.mod.open--
			x.tell(j)
		}
	}
}

func (x *Exchange) remember(e *policy.Event) {
	if e.Kind == policy.ListReplaced || e.Kind == policy.ListRestored {
		clear(x.members)
	}
	for _, m := range e.Members {
		if m.State == policy.Gone {
			delete(x.members, m.Worker)
		} else {
			x.members[m.Worker] = m
		}
	}
}
