// Package manifest reads and writes a store's manifest: the list of its segments, its table, and its floors. The manifest is
// small. Write always writes it completely, in two copies one after the other, so that the manifest survives damage to one
// copy.
//
// When Write returns without an error, both copies are replaced. Only then may the caller remove files that the new manifest
// does not name. Read returns the newest undamaged copy. The caller serializes calls of Write for a folder.
//
// A copy is a line of text, a JSON object and a line feed. The line is "ospreystore FORMAT LENGTH CHECKSUM": the format and
// the length of the JSON in bytes are decimal, the CRC-32C of the JSON is eight hexadecimal digits.
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

// Names are the file names of the two copies, in the order in which Write writes them.
var Names = [2]string{"MANIFEST-A", "MANIFEST-B"}

// Version is the format that this release writes, and the newest that it reads.
const Version = 1

// Manifest lists the files of a store. It is stored as JSON, including Table, plan.Segment and plan.TimePoint, so the JSON
// keys are part of the format.
type Manifest struct {
	Format     int               `json:"format"`           // Version when it was written
	Store      string            `json:"store"`            // the store's id in hexadecimal, which each file has too
	Generation uint64            `json:"generation"`       // one higher with each Write; Read returns the higher one
	NextID     uint64            `json:"next_id"`          // number for the next new segment or table
	Segments   []plan.Segment    `json:"segments"`         // all segments; exactly one is not sealed
	Table      *Table            `json:"table,omitempty"`  // nil until the first pass
	Floors     map[uint16]uint64 `json:"floors,omitempty"` // by space: records up to this sequence number have expired
	TimeIndex  []plan.TimePoint  `json:"marks,omitempty"`  // ascending by sequence number
}

// Table describes the table, the file with the part of the index on disk.
type Table struct {
	ID    uint64 `json:"id"`    // the file's number, in its name
	Size  int64  `json:"size"`  // of the file in bytes
	Seq   uint64 `json:"seq"`   // the table covers all commits up to this sequence number
	Count uint64 `json:"count"` // number of entries
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

// Encode returns the bytes of a copy of the manifest; the package comment has the format.
func Encode(m *Manifest) ([]byte, error) {
	body, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return nil, err
	}
	return append([]byte(checksumLine(m.Format, body)), append(body, '\n')...), nil
}

// checksumLine returns the first line of a copy, with its line feed.
func checksumLine(format int, body []byte) string {
	return fmt.Sprintf("ospreystore %d %d %08x\n", format, len(body), crc32.Checksum(body, segment.Castagnoli))
}

// Decode decodes the bytes of a copy. Its errors wrap segment.ErrCorrupt or segment.ErrNewer.
func Decode(b []byte) (*Manifest, error) {
	line, body, ok := bytes.Cut(b, []byte("\n"))
	var format, length int
	var sum uint32
	if !ok {
		return nil, fmt.Errorf("%w: offset %d: ends early: the first line has no line feed", segment.ErrCorrupt, len(b))
	}
	if _, err := fmt.Sscanf(string(line), "ospreystore %d %d %08x", &format, &length, &sum); err != nil {
		return nil, fmt.Errorf("%w: offset 0: the first line %.64q is not that of a manifest", segment.ErrCorrupt, line)
	}
	if format > Version {
		return nil, fmt.Errorf("%w: manifest format %d, this release reads formats up to %d", segment.ErrNewer, format, Version)
	}
	if len(body) != length+1 || length < 0 {
		return nil, fmt.Errorf("%w: offset %d: %d bytes after the first line instead of %d", segment.ErrCorrupt, len(b), len(body), length+1)
	}
	if checksumLine(format, body[:length]) != string(line)+"\n" || body[length] != '\n' {
		return nil, fmt.Errorf("%w: offset %d: the checksum does not match", segment.ErrCorrupt, len(line)+1)
	}
	m := &Manifest{}
	if err := json.Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("%w: offset %d: decoding the JSON: %w", segment.ErrCorrupt, len(line)+1, err)
	}
	return m, nil
}

// Write replaces both copies, one after the other. When it returns without an error, both are on disk. After an error
// mayTakeEffect reports whether Read may nevertheless return the new manifest when the store is opened again.
func Write(fsys vfs.FS, dir string, m *Manifest) (mayTakeEffect bool, err error) {
	text, err := Encode(m)
	if err != nil {
		return false, err
	}
	// Both are written before the first is renamed, so that on a full disk Write fails while both copies are the old ones.
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

// newSuffix is the suffix of the name under which a copy is written before it is renamed. Read ignores such files.
const newSuffix = ".new"

// writeFile creates a file, writes text to it and syncs it. If that fails, it removes the file.
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
var ErrNone = errors.New("no manifest in the folder")

// Read returns the newest undamaged copy. otherFault is the fault of the other copy: it is missing, damaged or older. If it
// is not nil, the caller must call Write before it removes any file, which the other copy may name. If neither copy is
// undamaged, err has the faults of both; if neither exists, it is ErrNone. If either copy has a newer format, err wraps
// segment.ErrNewer.
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
		faults = append(faults, fmt.Errorf("copies differ: %s has generation %d and %s has %d; a write was interrupted",
			Names[0], a.Generation, Names[1], b.Generation))
	}
	return m, errors.Join(faults...), nil
}
