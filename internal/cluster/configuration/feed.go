package configuration

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"
)

// feed is the message that brings a follower to the current version. It has either an image of that version, or the
// changes that lead to it from the follower's version. It is encoded by gob: the field names are the format.
type feed struct {
	Image   *image
	Changes []Command // in the order of the log; empty if there is an Image
}

// Since returns the encoded feed that brings a follower from a version to the current one; Advance decodes it. The feed
// has the changes if canTakeChanges is true and the State still remembers all of them, else the complete document. Since
// returns nil if version is the current one. The result is shared between followers and must not be modified.
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

// rememberFeed keeps an encoded feed until the next accepted command, since many followers request the same one.
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

// Decode returns the document of a feed that has the complete document; it fails if the feed has changes.
func Decode(data []byte) (*Document, error) { return Advance(nil, data) }

// Advance returns the document to which a feed leads from previous, which is nil for a follower without a document. It fails
// if the feed can't be decoded, or if it has changes and the first one doesn't build on previous. The caller must then
// request the complete document. previous is never modified.
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

// advance returns the document that results from applying changes to d. Each change must build on the version that the
// previous change led to, the first on d's version.
func (d *Document) advance(changes []Command) (*Document, error) {
	if len(changes) == 0 {
		return nil, errors.New("the configuration's feed has neither a complete document nor changes")
	}
	document := d
	for _, change := range changes {
		if change.Base != document.version {
			return nil, errors.Errorf("a change in the feed builds on version %d, but the document has version %d", change.Base, document.version)
		}
		next, err := document.apply(change)
		if err != nil {
			return nil, errors.Wrapf(err, "apply the change of version %d", change.Base)
		}
		document = next
	}
	return document, nil
}
