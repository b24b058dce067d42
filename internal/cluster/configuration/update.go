package configuration

import (
	"encoding/json"
	"slices"
)

// parsedUpdate is the body of an update.
type parsedUpdate struct {
	version  uint64
	upserts  []section // lists with the items to add or replace, and sections of other kinds to replace as a whole
	removals []removal
}

// removal has the names of the items to remove from one section.
type removal struct {
	section string
	names   []string
}

// applyUpdate returns the document that results from applying an update to d. Removals are done before upserts, so an
// item that is both removed and upserted exists afterwards. Removing an item that doesn't exist is no error, so that an
// update can be applied whether or not the items that it removes still exist.
func (d *Document) applyUpdate(body []byte) (*Document, error) {
	update, err := d.parseUpdate(body)
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

// remove removes items from a section. It has no effect if the section doesn't exist or isn't a list.
func (d *Document) remove(removal removal) {
	if present := d.sectionNamed(removal.section); present != nil && present.isList {
		present.list = present.list.with(removal.names, nil)
	}
}

// upsert adds or replaces items if the section is a list in both d and upsert. Else it adds or replaces the whole section.
func (d *Document) upsert(upsert section) {
	present := d.sectionNamed(upsert.name)
	switch {
	case present == nil:
		d.sections = append(d.sections, upsert)
	case present.isList && upsert.isList:
		present.list = present.list.with(nil, upsert.list.items)
	default:
		*present = upsert
	}
}

// reindex checks the changed routes and limits, and sets the fields of d that are derived from its sections: queues,
// limits, droppedQueues and the earlier services of the added routes.
func (d *Document) reindex(before *Document, update *parsedUpdate) error {
	removed, added := routeChanges(before, update)
	var err error
	if d.queues, err = before.queues.with(removed, added); err != nil {
		return err
	}
	if err = d.checkChanged(update, added); err != nil {
		return err
	}
	if update.upsertsSection(sectionLimits) {
		if d.limits, err = parseLimits(d.sectionNamed(sectionLimits)); err != nil {
			return err
		}
	}
	d.inheritServices(before, removed, added)
	return nil
}

// checkChanged checks the added routes, or all routes if services are removed, since any route may name a removed
// service.
func (d *Document) checkChanged(update *parsedUpdate, added []*item) error {
	for _, removal := range update.removals {
		if removal.section == sectionServices {
			return d.checkRoutes(d.queues)
		}
	}
	return d.checkRoutes(added)
}

// routeChanges returns the routes of before that an update removes or replaces, sorted by queue, and the routes that it adds
// or puts in place of others.
func routeChanges(before *Document, update *parsedUpdate) (removed, added []*item) {
	routes := before.itemsOf(sectionRoutes)
	isRemoved := map[*item]bool{}
	for _, removal := range update.removals {
		if removal.section != sectionRoutes {
			continue
		}
		for _, name := range removal.names {
			if member := routes.get(name); member != nil {
				isRemoved[member] = true
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
			isRemoved[present] = true
		}
	}
	for member := range isRemoved {
		removed = append(removed, member)
	}
	slices.SortFunc(removed, compareQueues)
	return removed, added
}

// upsertsSection reports whether the update has upserts for the section with that name.
func (u *parsedUpdate) upsertsSection(name string) bool {
	return slices.ContainsFunc(u.upserts, func(upsert section) bool { return upsert.name == name })
}

// parseUpdate parses the body of an update, an object with the fields `version`, `upsert` and `remove`. Others are ignored.
func (d *Document) parseUpdate(body []byte) (*parsedUpdate, error) {
	fields, version, err := parseFields(body)
	if err != nil {
		return nil, err
	}
	update := &parsedUpdate{version: version}
	for _, f := range fields {
		switch f.key {
		case "upsert":
			update.upserts, err = d.parseUpserts(f.value)
		case "remove":
			update.removals, err = parseRemovals(f.value)
		}
		if err != nil {
			return nil, err
		}
	}
	return update, nil
}

// parseUpserts parses the value of `upsert`: an object of sections.
func (d *Document) parseUpserts(value []byte) ([]section, error) {
	fields, isObject := jsonObject(value)
	if !isObject {
		return nil, invalidf("upsert is not an object")
	}
	if err := checkDistinct(fields); err != nil {
		return nil, err
	}
	upserts := make([]section, 0, len(fields))
	for _, f := range fields {
		upsert, err := parser{previous: d}.parseSection(f)
		if err != nil {
			return nil, err
		}
		upserts = append(upserts, upsert)
	}
	return upserts, nil
}

// parseRemovals parses the value of `remove`: an object of lists of names, by section.
func parseRemovals(value []byte) ([]removal, error) {
	fields, isObject := jsonObject(value)
	if !isObject {
		return nil, invalidf("remove is not an object")
	}
	if err := checkDistinct(fields); err != nil {
		return nil, err
	}
	if err := parseMessage(value, &Removals{}); err != nil {
		return nil, invalidf("remove: %v", err)
	}
	removals := make([]removal, 0, len(fields))
	for _, f := range fields {
		var names []string
		if err := json.Unmarshal(f.value, &names); err != nil {
			return nil, invalidf("remove: %s is not a list of names", f.key)
		}
		removals = append(removals, removal{section: f.key, names: names})
	}
	return removals, nil
}
