// Package manifest is the list of what a store consists of. It is small and always written completely, in two copies one
// after the other, so that damage to one loses nothing.
//
// Write has replaced both copies when it returns without an error; only then may files be removed that the new manifest no
// longer names. Read returns the newest undamaged copy. The caller serializes calls of Write for a folder.
package manifest

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"

	"ospreypond/internal/store/plan"
	"ospreypond/internal/store/segment"
	"ospreypond/internal/store/vfs"
)

// Names are the file names of the two copies, in the order in which they are written.
var Names = [2]string{"MANIFEST-A", "MANIFEST-B"}

// Version is the format that this release writes, and the newest that it reads.
const Version = 1

// Manifest is what a store consists of. Its JSON, plan.Segment and plan.TimePoint among it, is on disk: the keys are the format.
type Manifest struct {
	Format     int               `json:"format"`
	Store      string            `json:"store"`      // the store's id, hexadecimal; also in the header of each file
	Generation uint64            `json:"generation"` // one higher with each Write
	NextID     uint64            `json:"next_id"`    // of a new file
	Segments   []plan.Segment    `json:"segments"`
	Table      *Table            `json:"table,omitempty"`
	Floors     map[uint16]uint64 `json:"floors,omitempty"` // by space: records up to this sequence number have expired
	TimeIndex  []plan.TimePoint  `json:"marks,omitempty"`  // in order
}

// Table describes the table file, the checkpoint of the index.
type Table struct {
	ID    uint64 `json:"id"`
	Size  int64  `json:"size"`
	Seq   uint64 `json:"seq"`   // commits up to this one are in it
	Count uint64 `json:"count"` // of its entries
}

// Clone returns a deep copy.
func (m *Manifest) Clone() *Manifest {
	c := *m
	c.Segments = append([]plan.Segment(nil), m.Segments...)
	c.TimeIndex = append([]plan.TimePoint(nil), m.TimeIndex...)
	c.Floors = map[uint16]uint64{}
	for k, v := range m.Floors {
		c.Floors[k] = v
	}
	if m.Table != nil {
		t := *m.Table
		c.Table = &t
	}
	return &c
}

// Encode returns the text of a manifest: a line with length and checksum, then JSON.
func Encode(m *Manifest) ([]byte, error) {
	body, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return nil, err
	}
	return append([]byte(checksumLine(m.Format, body)), append(body, '\n')...), nil
}

// checksumLine is the first line of a manifest, with its line end.
func checksumLine(format int, body []byte) string {
	return fmt.Sprintf("ospreystore %d %d %08x\n", format, len(body), crc32.Checksum(body, segment.Castagnoli))
}

// Decode reads a manifest's text. Its errors wrap segment.ErrBad or segment.ErrNewer.
func Decode(b []byte) (*Manifest, error) {
	line, body, ok := bytes.Cut(b, []byte("\n"))
	var format, length int
	var sum uint32
	if !ok {
		return nil, fmt.Errorf("%w: offset %d: ends early", segment.ErrBad, len(b))
	}
	if _, err := fmt.Sscanf(string(line), "ospreystore %d %d %08x", &format, &length, &sum); err != nil {
		return nil, fmt.Errorf("%w: offset 0: no manifest", segment.ErrBad)
	}
	if format > Version {
		return nil, fmt.Errorf("%w: %d, this one reads up to %d", segment.ErrNewer, format, Version)
	}
	if len(body) != length+1 || length < 0 {
		return nil, fmt.Errorf("%w: offset %d: %d bytes instead of %d", segment.ErrBad, len(b), len(body), length+1)
	}
	if checksumLine(format, body[:length]) != string(line)+"\n" || body[length] != '\n' {
		return nil, fmt.Errorf("%w: offset %d: checksum", segment.ErrBad, len(line)+1)
	}
	m := &Manifest{}
	if err := json.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("%w: offset %d: %w", segment.ErrBad, len(line)+1, err)
	}
	return m, nil
}

// Write replaces both copies, one after the other; they are on disk when it returns without an error. After an error
// mayBeInForce reports whether the new manifest may be found all the same when the store is opened again.
func Write(fsys vfs.FS, dir string, m *Manifest) (mayBeInForce bool, err error) {
	text, err := Encode(m)
	if err != nil {
		return false, err
	}
	// Both are written before the first is renamed, so that a full disk fails while the old manifest is in force.
	for i, name := range Names {
		if err := writeFile(fsys, filepath.Join(dir, name+newSuffix), text); err != nil {
			if i > 0 {
				_ = fsys.Remove(filepath.Join(dir, Names[0]+newSuffix))
			}
			return false, fmt.Errorf("%s: %w", name, err)
		}
	}
	for _, name := range Names {
		path := filepath.Join(dir, name)
		if err := fsys.Rename(path+newSuffix, path); err != nil {
			return true, fmt.Errorf("%s: %w", name, err)
		}
		if err := fsys.SyncDir(dir); err != nil {
			return true, fmt.Errorf("%s: %w", name, err)
		}
	}
	return false, nil
}

// newSuffix ends the name of a copy that is not in force yet.
const newSuffix = ".new"

// writeFile creates a file and syncs it, or removes it if that fails.
func writeFile(fsys vfs.FS, path string, text []byte) error {
	f, err := fsys.Create(path)
	if err != nil {
		return err
	}
	_, err = f.WriteAt(text, 0)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		_ = fsys.Remove(path)
	}
	return err
}

// ErrNone is returned by Read when neither copy exists.
var ErrNone = errors.New("no manifest")

// Read returns the newest undamaged copy. otherFault is what is wrong with the other copy, or nil: the caller must call Write
// before it removes any file. If neither copy is undamaged, err names the faults of both; if neither exists, it is ErrNone.
func Read(fsys vfs.FS, dir string) (m *Manifest, otherFault, err error) {
	var faults []error
	missing := 0
	var found [2]*Manifest
	for i, name := range Names {
		b, err := vfs.ReadFile(fsys, filepath.Join(dir, name))
		if errors.Is(err, fs.ErrNotExist) {
			missing++
			faults = append(faults, fmt.Errorf("%s: is missing", name))
			continue
		}
		if err == nil {
			found[i], err = Decode(b)
		}
		if errors.Is(err, segment.ErrNewer) {
			return nil, nil, fmt.Errorf("%s: %w", name, err)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", name, err))
		}
	}
	a, b := found[0], found[1]
	switch {
	case a == nil && b == nil && missing == 2:
		return nil, nil, ErrNone
	case a == nil && b == nil:
		return nil, nil, errors.Join(faults...)
	case b == nil || a != nil && a.Generation > b.Generation:
		m = a
	default:
		m = b
	}
	if a != nil && b != nil && a.Generation != b.Generation {
		faults = append(faults, errors.New("copies differ: an earlier write was cut short"))
	}
	return m, errors.Join(faults...), nil
}
