package configuration

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"
)

// feed is what followers are sent: an image of the current version, or the changes that lead to it from an earlier one. It is
// encoded by gob: the field names are the format.
type feed struct {
	Image   *image
	Changes []Command
}

// Since returns the feed that brings a follower from a version to the current one, to be decoded by Advance: the changes, if
// it can take them and they are still remembered, else the complete document. It is nil if there is nothing newer. The
// result is shared between followers and must not be modified.
func (s *State) Since(version uint64, canTakeChanges bool) ([]byte, error) {
	if version == s.document.version {
		return nil, nil
	}
	next := feed{}
	if canTakeChanges && version > 0 {
		next.Changes = s.recent.since(version)
	}
	if next.Changes == nil {
		version = 0
	}
	if encoded, found := s.recent.encodedFeeds[version]; found {
		return encoded, nil
	}
	if next.Changes == nil {
		next.Image = s.document.image()
	}
	encoded, err := next.encode()
	if err != nil {
		return nil, err
	}
	s.recent.rememberFeed(version, encoded)
	return encoded, nil
}

// rememberFeed keeps an encoded feed until the next change, since many followers ask for the same.
func (r *recentChanges) rememberFeed(version uint64, encoded []byte) {
	if r.encodedFeeds == nil {
		r.encodedFeeds = map[uint64][]byte{}
	}
	r.encodedFeeds[version] = encoded
}

func (f *feed) encode() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(f)
	return buffer.Bytes(), errors.Wrap(err, "encode the configuration's feed")
}

// Encode returns a feed with the complete document, for Advance and Decode.
func (d *Document) Encode() ([]byte, error) {
	return (&feed{Image: d.image()}).encode()
}

// Decode returns the document of a feed with a complete one.
func Decode(data []byte) (*Document, error) { return Advance(nil, data) }

// Advance returns the document that a feed leads to from previous, which is nil before the first one. It fails if the feed
// has changes that don't follow previous; the caller then has to ask for a complete document. previous is never modified.
func Advance(previous *Document, data []byte) (*Document, error) {
	if previous == nil {
		previous = emptyDocument
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

// advance applies changes one after the other.
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
