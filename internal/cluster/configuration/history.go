package configuration

import (
	"cmp"
	"slices"
)

// droppedQueues is how many queues without a route are remembered, with the services they had. The longest dropped are
// forgotten first, a quarter at once.
const droppedQueues = 16384

// follow gives each queue the services it had in the document before. removed are the routes of that document whose
// places may be left, added the routes of d that are new or changed; routes that are in neither keep what they know.
func (d *Document) follow(before *Document, removed, added []*item) {
	for _, member := range added {
		d.inherit(before, member)
	}
	d.dropped = before.dropped
	var left []*item
	for _, member := range removed {
		if d.places.get(member.place) == nil {
			left = append(left, &item{place: member.place, earlier: member.services(), dropped: d.version})
		}
	}
	var back []*item
	for _, member := range added {
		if old := before.dropped.get(member.place); old != nil {
			back = append(back, old)
		}
	}
	d.dropped, _ = d.dropped.changed(back, left)
	if len(d.dropped) > droppedQueues {
		d.forget()
	}
}

// inherit gives a route the services that its queue had. An item that stood at that place before keeps its own.
func (d *Document) inherit(before *Document, member *item) {
	old := before.places.get(member.place)
	if old == member {
		return
	}
	if old == nil {
		old = before.dropped.get(member.place)
	}
	if old == nil {
		member.earlier = nil
		return
	}
	member.earlier = without(old.services(), member.route.Service)
}

func without(services []string, service string) []string {
	var others []string
	for _, name := range services {
		if name != service {
			others = append(others, name)
		}
	}
	return others
}

// forget drops the quarter of the dropped queues that was dropped first.
func (d *Document) forget() {
	byAge := slices.Clone(d.dropped)
	slices.SortFunc(byAge, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.dropped, b.dropped), comparePlaces(a, b))
	})
	oldest := byAge[:len(byAge)/4]
	d.dropped, _ = d.dropped.changed(oldest, nil)
}
