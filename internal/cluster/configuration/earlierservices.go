package configuration

import (
	"cmp"
	"slices"
)

// maxDroppedQueues bounds the queues without a route that are remembered with the services that they had. If there are more,
// the quarter that has had no route for the longest time is forgotten.
const maxDroppedQueues = 16384

// inheritServices sets the earlier services of d's queues from the queues of before, the previous document. removed
// includes all routes of before that d doesn't have. added includes all new and changed routes of d. d shares the items
// of all other routes with before; these already have their earlier services.
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

// inheritServicesOf sets the earlier services of a route: all services that its queue had in before, whether or not the
// queue had a route there, except the route's current service. It doesn't change a route that d shares with before.
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

// without returns the services except one, in the same order.
func without(services []string, service string) []string {
	var others []string
	for _, name := range services {
		if name != service {
			others = append(others, name)
		}
	}
	return others
}

// trimDroppedQueues forgets the quarter of the dropped queues that lost their routes in the earliest versions; among
// queues of one version the order of the keys decides, so that all replicas forget the same.
func (d *Document) trimDroppedQueues() {
	byAge := slices.Clone(d.droppedQueues)
	slices.SortFunc(byAge, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.droppedIn, b.droppedIn), compareQueues(a, b))
	})
	oldest := byAge[:len(byAge)/4]
	d.droppedQueues, _ = d.droppedQueues.with(oldest, nil)
}
