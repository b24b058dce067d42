package configuration

import (
	"encoding/json"
	"slices"
)

// order is an update as it was read.
type order struct {
	version  uint64
	upserts  []section
	removals []removal
}

// removal has the names of items to remove from one section.
type removal struct {
	section string
	names   []string
}

// updated returns the document that an update makes of d. Removals go first; removing what is not there changes
// nothing, so that an update can be built on any state in which its effect makes sense.
func (d *Document) updated(body []byte) (*Document, error) {
	update, err := d.readUpdate(body)
	if err != nil {
		return nil, err
	}
	next := &Document{version: update.version, sections: slices.Clone(d.sections), limits: d.limits}
	for _, removal := range update.removals {
		next.remove(removal)
	}
	for _, upsert := range update.upserts {
		next.upsert(upsert)
	}
	if err := next.checkVersion(d); err != nil {
		return nil, err
	}
	return next, next.reindex(d, update)
}

// remove takes items out of a section; there is nothing to take out of one that is missing or no list.
func (d *Document) remove(removal removal) {
	if present := d.section(removal.section); present != nil && present.isList {
		present.list = present.list.changed(removal.names, nil)
	}
}

// upsert adds items to a section, or adds the section; one that is no list is replaced whole.
func (d *Document) upsert(upsert section) {
	present := d.section(upsert.name)
	switch {
	case present == nil:
		d.sections = append(d.sections, upsert)
	case present.isList && upsert.isList:
		present.list = present.list.changed(nil, upsert.list.items)
	default:
		*present = upsert
	}
}

// reindex checks what an update changed and fills in what is worked out from the sections.
func (d *Document) reindex(before *Document, update *order) error {
	removed, added := routeChanges(before, update)
	var err error
	if d.places, err = before.places.changed(removed, added); err != nil {
		return err
	}
	if err = d.checkChanged(update, added); err != nil {
		return err
	}
	if update.touches(sectionLimits) {
		if d.limits, err = readLimits(d.section(sectionLimits)); err != nil {
			return err
		}
	}
	d.follow(before, removed, added)
	return nil
}

// checkChanged checks the changed routes, or all of them where services went.
func (d *Document) checkChanged(update *order, added []*item) error {
	for _, removal := range update.removals {
		if removal.section == sectionServices {
			return d.checkRoutes(d.places)
		}
	}
	return d.checkRoutes(added)
}

// routeChanges returns the routes that the update takes away or replaces, and those that it brings.
func routeChanges(before *Document, update *order) (removed, added []*item) {
	routes := before.list(sectionRoutes)
	gone := map[*item]bool{}
	for _, removal := range update.removals {
		if removal.section != sectionRoutes {
			continue
		}
		for _, name := range removal.names {
			if member := routes.get(name); member != nil {
				gone[member] = true
			}
		}
	}
	for _, upsert := range update.upserts {
		if upsert.name != sectionRoutes {
			continue
		}
		added = append(added, upsert.list.items...)
	}
	for _, member := range added {
		if present := routes.get(member.name); present != nil {
			gone[present] = true
		}
	}
	for member := range gone {
		removed = append(removed, member)
	}
	slices.SortFunc(removed, comparePlaces)
	return removed, added
}

func (o *order) touches(name string) bool {
	return slices.ContainsFunc(o.upserts, func(upsert section) bool { return upsert.name == name })
}

// readUpdate reads `version`, `upsert` and `remove`.
func (d *Document) readUpdate(body []byte) (*order, error) {
	fields, version, err := readFields(body)
	if err != nil {
		return nil, err
	}
	update := &order{version: version}
	for _, f := range fields {
		switch f.key {
		case "upsert":
			update.upserts, err = d.readUpserts(f.value)
		case "remove":
			update.removals, err = readRemovals(f.value)
		}
		if err != nil {
			return nil, err
		}
	}
	return update, nil
}

func (d *Document) readUpserts(value []byte) ([]section, error) {
	fields, isObject := object(value)
	if !isObject {
		return nil, invalidf("upsert is no object")
	}
	if err := distinct(fields); err != nil {
		return nil, err
	}
	upserts := make([]section, 0, len(fields))
	for _, f := range fields {
		upsert, err := reader{known: d}.section(f)
		if err != nil {
			return nil, err
		}
		upserts = append(upserts, upsert)
	}
	return upserts, nil
}

func readRemovals(value []byte) ([]removal, error) {
	fields, isObject := object(value)
	if !isObject {
		return nil, invalidf("remove is no object")
	}
	if err := distinct(fields); err != nil {
		return nil, err
	}
	if err := readMessage(value, &Removals{}); err != nil {
		return nil, invalidf("remove: %v", err)
	}
	removals := make([]removal, 0, len(fields))
	for _, f := range fields {
		var names []string
		if err := json.Unmarshal(f.value, &names); err != nil {
			return nil, invalidf("remove: %s is no list of names", f.key)
		}
		removals = append(removals, removal{section: f.key, names: names})
	}
	return removals, nil
}
