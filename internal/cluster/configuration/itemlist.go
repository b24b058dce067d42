package configuration

import (
	"slices"
	"strings"
)

// itemList is the items of a section in the order of the document. It never changes. Most lists are sorted by name: find
// then uses a binary search, and new items are inserted so that the list stays sorted. In other lists they are appended.
type itemList struct {
	items  []*item
	sorted bool // by name
}

func compareNames(a, b *item) int { return strings.Compare(a.name, b.name) }

// newItemList returns a list. It fails if an item has no name, or two items have the same name.
func newItemList(section string, items []*item) (itemList, error) {
	made := itemList{items: items, sorted: slices.IsSortedFunc(items, compareNames)}
	ordered := items
	if !made.sorted {
		ordered = slices.Clone(items)
		slices.SortFunc(ordered, compareNames)
	}
	for i, member := range ordered {
		if member.name == "" {
			return itemList{}, invalidf("%s: an item has no name: %.120s", section, member.raw)
		}
		if i > 0 && ordered[i-1].name == member.name {
			return itemList{}, invalidf("%s: two items have the name %q", section, member.name)
		}
	}
	return made, nil
}

// find returns the index of the item with that name, or the index where it would be inserted.
func (l itemList) find(name string) (int, bool) {
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

// get returns the item with that name, or nil.
func (l itemList) get(name string) *item {
	if i, found := l.find(name); found {
		return l.items[i]
	}
	return nil
}

// with returns a copy of the list. First the items with the names in removed are removed; names that the list doesn't have
// are ignored. Then each item of upserts replaces the item of its name, or is added if there is none.
func (l itemList) with(removed []string, upserts []*item) itemList {
	if len(removed) == 0 && len(upserts) == 0 {
		return l
	}
	result := itemList{items: slices.Clone(l.items), sorted: l.sorted}
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
