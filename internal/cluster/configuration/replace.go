package configuration

// applyReplacement returns the document of a complete configuration that follows d.
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
			return nil, invalidf("there are no %s", name)
		}
	}
	return next.indexed(d)
}

// indexed checks a document that has its sections, and fills in what follows from them and from the document before it.
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

// checkRoutes returns an error unless each route has a timeout and a service that exists.
func (d *Document) checkRoutes(routes []*item) error {
	services := d.itemsOf(sectionServices)
	for _, member := range routes {
		if member.route.TimeoutMs <= 0 {
			return invalidf("route %q: timeoutMs is %d", member.name, member.route.TimeoutMs)
		}
		if services.get(member.route.Service) == nil {
			return invalidf("route %q names the unknown service %q", member.name, member.route.Service)
		}
	}
	return nil
}

// checkVersion returns an error unless the version is above that of the document before it.
func (d *Document) checkVersion(before *Document) error {
	if d.version <= before.version {
		return invalidf("version %d is not above the current %d", d.version, before.version)
	}
	return nil
}
