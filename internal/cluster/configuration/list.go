package configuration

import (
	"slices"
	"strings"
)

// list is the items of a section in the operator's order. Lists that are sorted by name, as most are, stay so. It never
// changes.
type list struct {
	items  []*item
	sorted bool
}

func compareNames(a, b *item) int { return strings.Compare(a.name, b.name) }

// newList checks that each item has a name of its own.
func newList(section string, items []*item) (list, error) {
	made := list{items: items, sorted: slices.IsSortedFunc(items, compareNames)}
	ordered := items
	if !made.sorted {
		ordered = slices.Clone(items)
		slices.SortFunc(ordered, compareNames)
	}
	for i, member := range ordered {
		if member.name == "" {
			return list{}, invalidf("%s: an item has no name", section)
		}
		if i > 0 && ordered[i-1].name == member.name {
			return list{}, invalidf("%s: two items have the name %q", section, member.name)
		}
	}
	return made, nil
}

// find returns where the item of that name is, or where it would be put.
func (l list) find(name string) (int, bool) {
	if l.sorted {
		return slices.BinarySearchFunc(l.items, name, func(member *item, name string) int {
			return strings.Compare(member.name, name)
		})
	}
	for i, member := range l.items {
		if member.name == name {
			return i, true
		}
	}
	return len(l.items), false
}

// get returns the item of that name, or nil.
func (l list) get(name string) *item {
	if i, found := l.find(name); found {
		return l.items[i]
	}
	return nil
}

// changed returns the list without the items to remove and with the new ones, in place of those of the same name. Names
// that are not there are passed over.
func (l list) changed(removed []string, upserts []*item) list {
	if len(removed) == 0 && len(upserts) == 0 {
		return l
	}
	result := list{items: slices.Clone(l.items), sorted: l.sorted}
	for _, name := range removed {
		if i, found := result.find(name); found {
			result.items = slices.Delete(result.items, i, i+1)
		}
	}
	for _, upsert := range upserts {
		i, found := result.find(upsert.name)
		if found {
			result.items[i] = upsert
		} else {
			result.items = slices.Insert(result.items, i, upsert)
		}
	}
	return result
}
