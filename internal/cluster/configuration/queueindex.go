package configuration

import "slices"

// queueIndex is a list of routes, or of queues without a route, sorted by queue. No two have the same queue. It never
// changes.
type queueIndex []*item

// compareQueues compares the queues of two items in the order of the index.
func compareQueues(a, b *item) int { return a.queue.compare(b.queue) }

// newQueueIndex returns the index of routes. It fails if two routes have the same queue.
func newQueueIndex(routes []*item) (queueIndex, error) {
	sorted := queueIndex(slices.Clone(routes))
	slices.SortFunc(sorted, compareQueues)
	for i := 1; i < len(sorted); i++ {
		if sorted[i-1].queue == sorted[i].queue {
			return nil, duplicateQueueError(sorted[i-1], sorted[i])
		}
	}
	return sorted, nil
}

// duplicateQueueError returns the error for two routes with the same queue.
func duplicateQueueError(first, second *item) error {
	return invalidf("routes %q and %q share host %q and prefix %q",
		first.name, second.name, second.route.Host, second.route.PathPrefix)
}

// find returns the position of the item of that queue, or the position where it would be inserted.
func (q queueIndex) find(at queueKey) (int, bool) {
	return slices.BinarySearchFunc(q, at, func(member *item, at queueKey) int { return member.queue.compare(at) })
}

// get returns the item of that queue, or nil.
func (q queueIndex) get(at queueKey) *item {
	if i, found := q.find(at); found {
		return q[i]
	}
	return nil
}

// with returns a copy of the index without the removed and with the added items. It fails if two items of the copy have the
// same queue.
func (q queueIndex) with(removed, added []*item) (queueIndex, error) {
	if len(removed) == 0 && len(added) == 0 {
		return q, nil
	}
	result := slices.Clone(q)
	for _, member := range removed {
		if i, found := result.find(member.queue); found {
			result = slices.Delete(result, i, i+1)
		}
	}
	for _, member := range added {
		i, found := result.find(member.queue)
		if found {
			return nil, duplicateQueueError(result[i], member)
		}
		result = slices.Insert(result, i, member)
	}
	return result, nil
}
