package configuration

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"
)

// feed is what followers are sent: an image, or the changes that lead on from one version.
type feed struct {
	Image   *image
	Changes []Command
}

// Since returns what brings a follower from a version to the current one, for Advance to read: the changes, if it can
// take them and they are still here, else the whole. It is nil where there is nothing newer. The result is shared
// between followers and must not be changed.
func (s *State) Since(version uint64, canTakeChanges bool) ([]byte, error) {
	if version == s.document.version {
		return nil, nil
	}
	next := feed{}
	if canTakeChanges && version > 0 {
		next.Changes = s.tail.since(version)
	}
	if next.Changes == nil {
		version = 0
	}
	if encoded, found := s.tail.fed[version]; found {
		return encoded, nil
	}
	if next.Changes == nil {
		next.Image = s.document.image()
	}
	encoded, err := next.encode()
	if err != nil {
		return nil, err
	}
	s.tail.keep(version, encoded)
	return encoded, nil
}

// keep keeps what was fed until the next change, since many followers ask for the same.
func (t *tail) keep(version uint64, encoded []byte) {
	if t.fed == nil {
		t.fed = map[uint64][]byte{}
	}
	t.fed[version] = encoded
}

func (f *feed) encode() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(f)
	return buffer.Bytes(), errors.Wrap(err, "encode the configuration's feed")
}

// Encode returns the whole document as Advance and Decode read it.
func (d *Document) Encode() ([]byte, error) {
	return (&feed{Image: d.image()}).encode()
}

// Decode reads a whole document.
func Decode(data []byte) (*Document, error) { return Advance(nil, data) }

// Advance returns the document that data leads to: a whole one, or changes to previous, which is nil before the first.
// If previous is not where the changes start, or goes another way, that is an error, and a whole document has to be
// asked for. Whatever data has, previous is never changed.
func Advance(previous *Document, data []byte) (*Document, error) {
	if previous == nil {
		previous = noDocument
	}
	var received feed
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&received); err != nil {
		return nil, errors.Wrap(err, "decode the configuration's feed")
	}
	if received.Image != nil {
		return received.Image.document(previous)
	}
	return previous.advance(received.Changes)
}

func (d *Document) advance(changes []Command) (*Document, error) {
	if len(changes) == 0 {
		return nil, errors.New("the configuration's feed is empty")
	}
	document := d
	for _, change := range changes {
		if change.Base != document.version {
			return nil, errors.Errorf("a change of version %d meets version %d", change.Base, document.version)
		}
		next, err := document.apply(change)
		if err != nil {
			return nil, errors.Wrapf(err, "follow version %d", change.Base)
		}
		document = next
	}
	return document, nil
}
