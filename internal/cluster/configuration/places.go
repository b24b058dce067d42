package configuration

import "slices"

// places is routes, or dropped queues, in the order of their places. It never changes.
type places []*item

func comparePlaces(a, b *item) int { return a.place.compare(b.place) }

// newPlaces checks that no two routes share a place.
func newPlaces(routes []*item) (places, error) {
	sorted := places(slices.Clone(routes))
	slices.SortFunc(sorted, comparePlaces)
	for i := 1; i < len(sorted); i++ {
		if sorted[i-1].place == sorted[i].place {
			return nil, samePlace(sorted[i-1], sorted[i])
		}
	}
	return sorted, nil
}

func samePlace(first, second *item) error {
	return invalidf("routes %q and %q share host %q and prefix %q",
		first.name, second.name, second.route.Host, second.route.PathPrefix)
}

func (p places) find(at place) (int, bool) {
	return slices.BinarySearchFunc(p, at, func(member *item, at place) int { return member.place.compare(at) })
}

// get returns the item at that place, or nil.
func (p places) get(at place) *item {
	if i, found := p.find(at); found {
		return p[i]
	}
	return nil
}

// changed returns the places without some items and with others. It fails where two of them share a place.
func (p places) changed(removed, added []*item) (places, error) {
	if len(removed) == 0 && len(added) == 0 {
		return p, nil
	}
	result := slices.Clone(p)
	for _, member := range removed {
		if i, found := result.find(member.place); found {
			result = slices.Delete(result, i, i+1)
		}
	}
	for _, member := range added {
		i, found := result.find(member.place)
		if found {
			return nil, samePlace(result[i], member)
		}
		result = slices.Insert(result, i, member)
	}
	return result, nil
}
