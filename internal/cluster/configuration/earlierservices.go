package configuration

import (
	"cmp"
	"slices"
)

// maxDroppedQueues is how many queues without a route are remembered, with the services that they had. Beyond it, the quarter
// that was dropped first is forgotten.
const maxDroppedQueues = 16384

// inheritServices gives each queue the services that it had in the document before. removed are the routes of that document
// whose queues may be left without one, added are the routes of d that are new or changed; all others keep their earlier
// services.
func (d *Document) inheritServices(before *Document, removed, added []*item) {
	for _, member := range added {
		d.inheritServicesOf(before, member)
	}
	d.droppedQueues = before.droppedQueues
	var dropped []*item
	for _, member := range removed {
		if d.queues.get(member.queue) == nil {
			dropped = append(dropped, &item{queue: member.queue, earlierServices: member.allServices(), droppedIn: d.version})
		}
	}
	var restored []*item
	for _, member := range added {
		if old := before.droppedQueues.get(member.queue); old != nil {
			restored = append(restored, old)
		}
	}
	d.droppedQueues, _ = d.droppedQueues.with(restored, dropped)
	if len(d.droppedQueues) > maxDroppedQueues {
		d.trimDroppedQueues()
	}
}

// inheritServicesOf gives a route the services that its queue had. An item that was in the document before keeps its own.
func (d *Document) inheritServicesOf(before *Document, member *item) {
	old := before.queues.get(member.queue)
	if old == member {
		return
	}
	if old == nil {
		old = before.droppedQueues.get(member.queue)
	}
	if old == nil {
		member.earlierServices = nil
		return
	}
	member.earlierServices = without(old.allServices(), member.route.Service)
}

// without returns the services other than one, in order.
func without(services []string, service string) []string {
	var others []string
	for _, name := range services {
		if name != service {
			others = append(others, name)
		}
	}
	return others
}

// trimDroppedQueues forgets the quarter of the dropped queues that was dropped first.
func (d *Document) trimDroppedQueues() {
	byAge := slices.Clone(d.droppedQueues)
	slices.SortFunc(byAge, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.droppedIn, b.droppedIn), compareQueues(a, b))
	})
	oldest := byAge[:len(byAge)/4]
	d.droppedQueues, _ = d.droppedQueues.with(oldest, nil)
}
