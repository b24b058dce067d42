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

// The file of a snapshot: magic and version, length of the head, the head (gob), the state machine's data, CRC-32C of all.
const (
	snapshotMagic   = "OPSNAP\x00\x01"
	snapshotPattern = "snapshot-%08x-%016x-%016x.state"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new"
	checksumSize    = 4
)

// snapshotHead precedes the state machine's data. It is encoded by gob: the field names are the format on disk.
type snapshotHead struct {
	Group   uint32
	Index   uint64
	Term    uint64
	Members []consensus.Member
}

func snapshotName(group uint32, index, term uint64) string {
	return fmt.Sprintf(snapshotPattern, group, index, term)
}

// WriteSnapshot writes a group's snapshot to its file, and syncs it and its folder. It may run beside the calls of a
// Log. The snapshot counts once a batch with Install or Compact is appended.
func WriteSnapshot(files vfs.FS, dir string, group uint32, snapshot *consensus.Snapshot) error {
	front, err := snapshotFront(group, snapshot)
	if err != nil {
		return err
	}
	sum := crc32.Update(crc32.Checksum(front, castagnoli), castagnoli, snapshot.Data)
	parts := [][]byte{front, snapshot.Data, binary.LittleEndian.AppendUint32(nil, sum)}
	name := snapshotName(group, snapshot.Index, snapshot.Term)
	return errors.Wrapf(writeAtomically(files, dir, name, parts), "snapshot %s", name)
}

func snapshotFront(group uint32, snapshot *consensus.Snapshot) ([]byte, error) {
	head := snapshotHead{Group: group, Index: snapshot.Index, Term: snapshot.Term, Members: snapshot.Members}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(&head); err != nil {
		return nil, errors.Wrap(err, "encode the head of a snapshot")
	}
	front := []byte(snapshotMagic)
	front = binary.LittleEndian.AppendUint32(front, uint32(encoded.Len()))
	return append(front, encoded.Bytes()...), nil
}

// writeAtomically puts a file in place completely or not at all: it is written under another name, synced and renamed,
// and the folder is synced.
func writeAtomically(files vfs.FS, dir, name string, parts [][]byte) error {
	temporary := filepath.Join(dir, name+temporarySuffix)
	file, err := files.Create(temporary)
	if err != nil {
		return errors.Wrap(err, "create")
	}
	err = writeParts(file, parts)
	_ = file.Close()
	if err != nil {
		_ = files.Remove(temporary)
		return err
	}
	if err := files.Rename(temporary, filepath.Join(dir, name)); err != nil {
		return errors.Wrap(err, "rename")
	}
	return errors.Wrap(files.SyncDir(dir), "sync folder")
}

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

// ReadSnapshot reads a group's snapshot from its file. A file that is missing or damaged is a *DamageError.
func ReadSnapshot(files vfs.FS, dir string, group uint32, index, term uint64) (*consensus.Snapshot, error) {
	name := snapshotName(group, index, term)
	content, err := vfs.ReadFile(files, filepath.Join(dir, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &DamageError{File: name, Reason: "the file is missing, though the log names it"}
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	head, data, err := parseSnapshot(content)
	if err != nil {
		return nil, &DamageError{File: name, Reason: err.Error()}
	}
	if head.Group != group || head.Index != index || head.Term != term {
		return nil, &DamageError{File: name, Reason: "the content belongs to another snapshot"}
	}
	return &consensus.Snapshot{Index: head.Index, Term: head.Term, Members: head.Members, Data: data}, nil
}

func parseSnapshot(content []byte) (*snapshotHead, []byte, error) {
	const front = len(snapshotMagic) + 4
	if len(content) < front+checksumSize || string(content[:len(snapshotMagic)]) != snapshotMagic {
		return nil, nil, errors.New("it is not a snapshot of a known version")
	}
	body := content[:len(content)-checksumSize]
	if binary.LittleEndian.Uint32(content[len(body):]) != crc32.Checksum(body, castagnoli) {
		return nil, nil, errors.New("its sum is wrong")
	}
	length := uint64(binary.LittleEndian.Uint32(body[len(snapshotMagic):]))
	if length > uint64(len(body)-front) {
		return nil, nil, errors.New("its head is too long")
	}
	head := &snapshotHead{}
	encoded := body[front : front+int(length)]
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(head); err != nil {
		return nil, nil, errors.Wrap(err, "its head")
	}
	return head, body[front+int(length):], nil
}

// recordSnapshot records a group's newest snapshot, and which file is not needed any more.
func (l *Log) recordSnapshot(n *frameInfo) {
	state := l.groupState(n.group)
	if n.index == state.snapshotIndex {
		return
	}
	if n.index < state.snapshotIndex {
		l.obsolete = append(l.obsolete, snapshotName(n.group, n.index, n.term))
		return
	}
	if state.hasSnapshot() {
		l.obsolete = append(l.obsolete, snapshotName(n.group, state.snapshotIndex, state.snapshotTerm))
	}
	state.snapshotIndex, state.snapshotTerm = n.index, n.term
}

// removeSnapshots removes the files of snapshots that newer ones have replaced. It returns their number.
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

func isSnapshotFile(name string) bool { return strings.HasPrefix(name, snapshotPrefix) }
