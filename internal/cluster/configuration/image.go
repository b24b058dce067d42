package configuration

import (
	"github.com/pkg/errors"
)

// imageFormat is the version of image. An image of any other is rejected.
const imageFormat = 1

// image is the encoded form of a Document, in snapshots and feeds. It, imageSection and imageQueue are encoded by gob: the
// field names are the format.
type image struct {
	Format   int
	Version  uint64
	Sections []imageSection
	Moved    []imageQueue // queues with earlier services
	Dropped  []imageQueue
}

type imageSection struct {
	Name   string
	IsList bool
	Items  [][]byte // exactly one if it is not a list
}

type imageQueue struct {
	Key      string
	Services []string // without the present one
	Dropped  uint64   // the version without its route; 0 in Moved
}

// image returns the document's encoded form.
func (d *Document) image() *image {
	made := &image{Format: imageFormat, Version: d.version}
	for _, section := range d.sections {
		encoded := imageSection{Name: section.name, IsList: section.isList}
		if !section.isList {
			encoded.Items = [][]byte{section.raw}
		}
		for _, member := range section.list.items {
			encoded.Items = append(encoded.Items, member.raw)
		}
		made.Sections = append(made.Sections, encoded)
	}
	for _, member := range d.queues {
		if len(member.earlierServices) > 0 {
			made.Moved = append(made.Moved, imageQueue{Key: member.queue.String(), Services: member.earlierServices})
		}
	}
	for _, member := range d.droppedQueues {
		queue := imageQueue{Key: member.queue.String(), Services: member.earlierServices, Dropped: member.droppedIn}
		made.Dropped = append(made.Dropped, queue)
	}
	return made
}

// document returns the image's document. Items that known has unchanged are not parsed again.
func (i *image) document(known *Document) (*Document, error) {
	if i.Format != imageFormat {
		return nil, errors.Errorf("format %d of the configuration is unknown, only %d is supported", i.Format, imageFormat)
	}
	made := &Document{version: i.Version}
	for _, encoded := range i.Sections {
		decoded, err := encoded.decode(known)
		if err != nil {
			return nil, err
		}
		made.sections = append(made.sections, decoded)
	}
	var err error
	if made.limits, err = parseLimits(made.sectionNamed(sectionLimits)); err != nil {
		return nil, err
	}
	if made.queues, err = newQueueIndex(made.itemsOf(sectionRoutes).items); err != nil {
		return nil, err
	}
	i.restoreQueueHistory(made)
	return made, nil
}

// decode returns the section. Its items are new, since an image has its own earlier services.
func (s *imageSection) decode(known *Document) (section, error) {
	if !s.IsList {
		if len(s.Items) != 1 {
			return section{}, errors.Errorf("section %s of the configuration has %d values", s.Name, len(s.Items))
		}
		return section{name: s.Name, raw: s.Items[0]}, nil
	}
	items, err := parser{previous: known}.parseItems(s.Name, s.Items)
	if err != nil {
		return section{}, err
	}
	for i, member := range items {
		items[i] = &item{name: member.name, raw: member.raw, route: member.route, service: member.service, queue: member.queue}
	}
	made, err := newItemList(s.Name, items)
	return section{name: s.Name, isList: true, list: made}, err
}

// restoreQueueHistory sets the earlier services of queues and the dropped queues of a document that is being made.
func (i *image) restoreQueueHistory(made *Document) {
	for _, queue := range i.Moved {
		if member := made.queues.get(parseQueueKey(queue.Key)); member != nil {
			member.earlierServices = queue.Services
		}
	}
	for _, queue := range i.Dropped {
		made.droppedQueues = append(made.droppedQueues, &item{queue: parseQueueKey(queue.Key), earlierServices: queue.Services, droppedIn: queue.Dropped})
	}
}
