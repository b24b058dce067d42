package configuration

import (
	"bytes"
	"encoding/gob"

	"github.com/pkg/errors"
)

// snapshot is the encoded form of a State. It is encoded by gob: the field names are the format.
type snapshot struct {
	Image image
	Taken []commandKey // State.accepted
	Early []commandKey // State.early; absent from snapshots of older versions of the program
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(&snapshot{Image: *s.document.image(), Taken: s.accepted, Early: s.early})
	return buffer.Bytes(), errors.Wrap(err, "encode the snapshot of the configuration")
}

// Restore replaces the state by a state that Snapshot encoded. If it returns an error, the state is unchanged.
func (s *State) Restore(data []byte) error {
	var decoded snapshot
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&decoded); err != nil {
		return errors.Wrap(err, "decode the snapshot of the configuration")
	}
	document, err := decoded.Image.document(emptyDocument)
	if err != nil {
		return err
	}
	*s = State{document: document, accepted: decoded.Taken, early: decoded.Early}
	return nil
}
