package configuration

import (
	"github.com/pkg/errors"
)

// imageFormat is the version of the format of image. An image of another format version is rejected.
const imageFormat = 1

// image is the encoded form of a Document, in snapshots and feeds. It, imageSection and imageQueue are encoded by gob: the
// field names are the format.
type image struct {
	Format   int // imageFormat
	Version  uint64
	Sections []imageSection
	Moved    []imageQueue // queues that have a route and earlier services, sorted by queue
	Dropped  []imageQueue // queues that no longer have a route, sorted by queue
}

// imageSection is the encoded form of a section.
type imageSection struct {
	Name   string
	IsList bool
	Items  [][]byte // JSON: the items of a list, or the only value of another section
}

// imageQueue is the encoded form of a queue's history.
type imageQueue struct {
	Key      string   // in the form of QueueKey
	Services []string // item.earlierServices
	Dropped  uint64   // first version in which the queue had no route; 0 in Moved
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

// document returns the document of an image. Items that are byte for byte in the document known, too, are not parsed again.
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

// decode returns the section. Its items are copies, even where known has an equal item: restoreQueueHistory sets their
// earlier services, and an item of another document must not change.
func (s *imageSection) decode(known *Document) (section, error) {
	if !s.IsList {
		if len(s.Items) != 1 {
			return section{}, errors.Errorf("section %q of the configuration is no list, but has %d values", s.Name, len(s.Items))
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

// restoreQueueHistory sets the earlier services of the routes of made, and its queues without a route.
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
