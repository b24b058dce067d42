package wal

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs"
)

// The file of a snapshot has the magic, with the version of the format as its last byte; the length of the head in bytes
// (4 bytes, little-endian); the head, encoded by gob; the state machine's data; and the CRC-32C of all of these.
const (
	snapshotMagic   = "OPSNAP\x00\x01"
	snapshotPattern = "snapshot-%08x-%016x-%016x.state"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new" // of a file before it is renamed
	checksumSize    = 4      // in bytes
)

// snapshotHead describes the state machine's data that follows it in the file. It is encoded by gob, so the names of the
// type and its fields are part of the format on disk.
type snapshotHead struct {
	Group   uint32
	Index   uint64
	Term    uint64
	Members []consensus.Member
}

func snapshotName(group uint32, index, term uint64) string {
	return fmt.Sprintf(snapshotPattern, group, index, term)
}

// WriteSnapshot writes a group's snapshot durably to a separate file. It may run concurrently with the methods of a
// Log. The log refers to the snapshot only after a batch with Install or Compact was appended; Open removes it if that
// never happened.
func WriteSnapshot(files vfs.FS, dir string, group uint32, snapshot *consensus.Snapshot) error {
	preamble, err := encodePreamble(group, snapshot)
	if err != nil {
		return err
	}
	sum := crc32.Update(crc32.Checksum(preamble, castagnoli), castagnoli, snapshot.Data)
	parts := [][]byte{preamble, snapshot.Data, binary.LittleEndian.AppendUint32(nil, sum)}
	name := snapshotName(group, snapshot.Index, snapshot.Term)
	return errors.Wrapf(writeAtomically(files, dir, name, parts), "write snapshot %s", name)
}

// encodePreamble encodes the part of the file before the state machine's data: magic, length of the head, and head.
func encodePreamble(group uint32, snapshot *consensus.Snapshot) ([]byte, error) {
	head := snapshotHead{Group: group, Index: snapshot.Index, Term: snapshot.Term, Members: snapshot.Members}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(&head); err != nil {
		return nil, errors.Wrap(err, "encode the head of a snapshot")
	}
	preamble := []byte(snapshotMagic)
	preamble = binary.LittleEndian.AppendUint32(preamble, uint32(encoded.Len()))
	return append(preamble, encoded.Bytes()...), nil
}

// writeAtomically writes the parts, one after the other, as the content of a file. The file is complete or absent even
// if the power fails: it is written under a temporary name, synced and renamed, and then the folder is synced.
func writeAtomically(files vfs.FS, dir, name string, parts [][]byte) error {
	temporary := filepath.Join(dir, name+temporarySuffix)
	file, err := files.Create(temporary)
	if err != nil {
		return errors.Wrap(err, "create the temporary file")
	}
	err = writeParts(file, parts)
	_ = file.Close()
	if err != nil {
		_ = files.Remove(temporary)
		return err
	}
	if err := files.Rename(temporary, filepath.Join(dir, name)); err != nil {
		return errors.Wrap(err, "rename the temporary file")
	}
	return errors.Wrap(files.SyncDir(dir), "sync folder")
}

// writeParts writes the parts one after the other from the start of the file, and syncs it.
func writeParts(file vfs.File, parts [][]byte) error {
	offset := int64(0)
	for _, part := range parts {
		if len(part) == 0 {
			continue
		}
		if _, err := file.WriteAt(part, offset); err != nil {
			return errors.Wrap(err, "write")
		}
		offset += int64(len(part))
	}
	return errors.Wrap(file.Sync(), "sync")
}

// ReadSnapshot reads the group's snapshot of this index and term from its file. It returns a *DamageError if the file is
// missing or damaged.
func ReadSnapshot(files vfs.FS, dir string, group uint32, index, term uint64) (*consensus.Snapshot, error) {
	name := snapshotName(group, index, term)
	content, err := vfs.ReadFile(files, filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &DamageError{File: name, Reason: "the file is missing, but the log refers to it"}
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	head, data, err := parseSnapshot(content)
	if err != nil {
		return nil, &DamageError{File: name, Reason: err.Error()}
	}
	if head.Group != group || head.Index != index || head.Term != term {
		return nil, &DamageError{File: name, Reason: "the group, index or term in its head differs from that in its name"}
	}
	return &consensus.Snapshot{Index: head.Index, Term: head.Term, Members: head.Members, Data: data}, nil
}

// parseSnapshot checks the content of a snapshot's file, and returns the head and the state machine's data.
func parseSnapshot(content []byte) (*snapshotHead, []byte, error) {
	const headOffset = len(snapshotMagic) + 4
	if len(content) < headOffset+checksumSize || string(content[:len(snapshotMagic)]) != snapshotMagic {
		return nil, nil, errors.New("it is not a snapshot of a known version")
	}
	body := content[:len(content)-checksumSize]
	if binary.LittleEndian.Uint32(content[len(body):]) != crc32.Checksum(body, castagnoli) {
		return nil, nil, errors.New("its checksum is wrong")
	}
	length := uint64(binary.LittleEndian.Uint32(body[len(snapshotMagic):]))
	if length > uint64(len(body)-headOffset) {
		return nil, nil, errors.New("the length of its head exceeds the file")
	}
	head := &snapshotHead{}
	encoded := body[headOffset : headOffset+int(length)]
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(head); err != nil {
		return nil, nil, errors.Wrap(err, "decode its head")
	}
	return head, body[headOffset+int(length):], nil
}

// recordSnapshot records the snapshot of an Install or Compact frame that is durable. Of this snapshot and the newest
// one before it, the older is obsolete.
func (l *Log) recordSnapshot(frame *frameInfo) {
	state := l.groupState(frame.group)
	if frame.index == state.snapshotIndex {
		return
	}
	if frame.index < state.snapshotIndex {
		l.obsolete = append(l.obsolete, snapshotName(frame.group, frame.index, frame.term))
		return
	}
	if state.hasSnapshot() {
		l.obsolete = append(l.obsolete, snapshotName(frame.group, state.snapshotIndex, state.snapshotTerm))
	}
	state.snapshotIndex, state.snapshotTerm = frame.index, frame.term
}

// removeSnapshots removes the files of obsolete snapshots, and returns their number, which includes files that were missing
// already.
func (l *Log) removeSnapshots() (int, error) {
	removed := 0
	for len(l.obsolete) > 0 {
		name := l.obsolete[0]
		err := l.files.Remove(filepath.Join(l.dir, name))
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			return removed, errors.Wrapf(err, "remove %s", name)
		}
		l.obsolete = l.obsolete[1:]
		removed++
	}
	return removed, nil
}

// isSnapshotFile reports whether a file is a snapshot, possibly still under its temporary name.
func isSnapshotFile(name string) bool { return strings.HasPrefix(name, snapshotPrefix) }
