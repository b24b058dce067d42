package configuration

// applyReplacement returns the document of a complete configuration that takes the place of d.
func (d *Document) applyReplacement(body []byte) (*Document, error) {
	fields, version, err := parseFields(body)
	if err != nil {
		return nil, err
	}
	next := &Document{version: version, sections: make([]section, 0, len(fields))}
	for _, f := range fields {
		made, err := parser{previous: d}.parseSection(f)
		if err != nil {
			return nil, err
		}
		next.sections = append(next.sections, made)
	}
	for _, name := range []string{sectionRoutes, sectionServices} {
		if next.sectionNamed(name) == nil {
			return nil, invalidf("there is no field %q: a complete configuration must have it, if only as an empty list", name)
		}
	}
	return next.indexed(d)
}

// indexed checks a document that has its version and sections. It sets the fields that are derived from these and from the
// document before it: queues, limits, droppedQueues and the earlier services of its routes.
func (d *Document) indexed(before *Document) (*Document, error) {
	var err error
	if d.limits, err = parseLimits(d.sectionNamed(sectionLimits)); err != nil {
		return nil, err
	}
	if d.queues, err = newQueueIndex(d.itemsOf(sectionRoutes).items); err != nil {
		return nil, err
	}
	if err = d.checkRoutes(d.queues); err != nil {
		return nil, err
	}
	if err = d.checkVersion(before); err != nil {
		return nil, err
	}
	d.inheritServices(before, before.queues, d.queues)
	return d, nil
}

// checkRoutes returns an error unless each of the routes has a timeout above 0 and a service of the document.
func (d *Document) checkRoutes(routes []*item) error {
	services := d.itemsOf(sectionServices)
	for _, member := range routes {
		if member.route.TimeoutMs <= 0 {
			return invalidf("route %q: timeoutMs is %d, it must be above 0", member.name, member.route.TimeoutMs)
		}
		if services.get(member.route.Service) == nil {
			return invalidf("route %q names the unknown service %q", member.name, member.route.Service)
		}
	}
	return nil
}

// checkVersion returns an error unless d's version is above the version of before, the previous document.
func (d *Document) checkVersion(before *Document) error {
	if d.version <= before.version {
		return invalidf("version %d is not above the current %d", d.version, before.version)
	}
	return nil
}
