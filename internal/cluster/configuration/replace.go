package configuration

// replaced returns the document that a whole configuration makes after d.
func (d *Document) replaced(body []byte) (*Document, error) {
	fields, version, err := readFields(body)
	if err != nil {
		return nil, err
	}
	next := &Document{version: version, sections: make([]section, 0, len(fields))}
	for _, f := range fields {
		made, err := reader{known: d}.section(f)
		if err != nil {
			return nil, err
		}
		next.sections = append(next.sections, made)
	}
	for _, name := range []string{sectionRoutes, sectionServices} {
		if next.section(name) == nil {
			return nil, invalidf("there are no %s", name)
		}
	}
	return next.indexed(d)
}

// indexed checks a document that was read whole and fills in what is worked out from its sections and from the
// document before it.
func (d *Document) indexed(before *Document) (*Document, error) {
	var err error
	if d.limits, err = readLimits(d.section(sectionLimits)); err != nil {
		return nil, err
	}
	if d.places, err = newPlaces(d.list(sectionRoutes).items); err != nil {
		return nil, err
	}
	if err = d.checkRoutes(d.places); err != nil {
		return nil, err
	}
	if err = d.checkVersion(before); err != nil {
		return nil, err
	}
	d.follow(before, before.places, d.places)
	return d, nil
}

// checkRoutes checks what each route must have.
func (d *Document) checkRoutes(routes []*item) error {
	services := d.list(sectionServices)
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

func (d *Document) checkVersion(before *Document) error {
	if d.version <= before.version {
		return invalidf("version %d is not above the current %d", d.version, before.version)
	}
	return nil
}
