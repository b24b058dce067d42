package configuration

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"
)

// imageFormat is the version of the encodings below; what a later program wrote is refused.
const imageFormat = 1

// image is a document's form on disk and between processes.
type image struct {
	Format   int
	Version  uint64
	Sections []imageSection
	Moved    []imageQueue // queues that had other services before
	Dropped  []imageQueue
}

type imageSection struct {
	Name   string
	IsList bool
	Items  [][]byte // one alone where it is no list
}

type imageQueue struct {
	Key      string
	Services []string // without the present one
	Dropped  uint64   // version that dropped it; 0: it is there
}

// snapshot is a State's form on disk.
type snapshot struct {
	Image image
	Taken []orderKey
	Early []orderKey // absent from what earlier programs wrote
}

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
	for _, member := range d.places {
		if len(member.earlier) > 0 {
			made.Moved = append(made.Moved, imageQueue{Key: member.place.key(), Services: member.earlier})
		}
	}
	for _, member := range d.dropped {
		queue := imageQueue{Key: member.place.key(), Services: member.earlier, Dropped: member.dropped}
		made.Dropped = append(made.Dropped, queue)
	}
	return made
}

// document reads the image. What known has unchanged is not read again.
func (i *image) document(known *Document) (*Document, error) {
	if i.Format != imageFormat {
		return nil, errors.Errorf("format %d of the configuration is not known, only %d", i.Format, imageFormat)
	}
	made := &Document{version: i.Version}
	for _, encoded := range i.Sections {
		decoded, err := encoded.section(known)
		if err != nil {
			return nil, err
		}
		made.sections = append(made.sections, decoded)
	}
	var err error
	if made.limits, err = readLimits(made.section(sectionLimits)); err != nil {
		return nil, err
	}
	if made.places, err = newPlaces(made.list(sectionRoutes).items); err != nil {
		return nil, err
	}
	i.history(made)
	return made, nil
}

func (s *imageSection) section(known *Document) (section, error) {
	if !s.IsList {
		if len(s.Items) != 1 {
			return section{}, errors.Errorf("section %s of the configuration has %d values", s.Name, len(s.Items))
		}
		return section{name: s.Name, raw: s.Items[0]}, nil
	}
	items, err := reader{known: known}.items(s.Name, s.Items)
	if err != nil {
		return section{}, err
	}
	for i, member := range items {
		items[i] = &item{name: member.name, raw: member.raw, route: member.route, service: member.service, place: member.place}
	}
	made, err := newList(s.Name, items)
	return section{name: s.Name, isList: true, list: made}, err
}

// history gives queues their earlier services, and puts the dropped ones back. The items are of this document alone.
func (i *image) history(made *Document) {
	for _, queue := range i.Moved {
		if member := made.places.get(placeOf(queue.Key)); member != nil {
			member.earlier = queue.Services
		}
	}
	for _, queue := range i.Dropped {
		made.dropped = append(made.dropped, &item{place: placeOf(queue.Key), earlier: queue.Services, dropped: queue.Dropped})
	}
}

// Snapshot returns the state's form on disk.
func (s *State) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(&snapshot{Image: *s.document.image(), Taken: s.taken, Early: s.early})
	return buffer.Bytes(), errors.Wrap(err, "encode the configuration")
}

// Restore puts the state that Snapshot returned in place of this one.
func (s *State) Restore(data []byte) error {
	var decoded snapshot
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&decoded); err != nil {
		return errors.Wrap(err, "decode the configuration")
	}
	document, err := decoded.Image.document(noDocument)
	if err != nil {
		return err
	}
	*s = State{document: document, taken: decoded.Taken, early: decoded.Early}
	return nil
}
