// Package inspect reads the folder of a control process that does not run: who it is, what its groups hold, and what is
// damaged. It changes nothing in the folder.
package inspect

import (
	"io"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/administration/identity"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica/wal"
	"ospreypond/internal/store/vfs"
)

// Folder is what a folder holds.
type Folder struct {
	Dir      string      `json:"dir"`
	Identity identity.ID `json:"identity"` // 0: none, the folder is nobody's
	First    []Member    `json:"first"`    // the first members of all groups, if the process was one of them
	Files    []File      `json:"files"`
	Groups   []Group     `json:"groups"`
	Faults   []Fault     `json:"faults"`
	Verified bool        `json:"verified"`
}

// File is one file.
type File struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// Member is a member of a group.
type Member struct {
	ID      identity.ID `json:"id"`
	Node    string      `json:"node"`
	Zone    string      `json:"zone"`
	Address string      `json:"address"`
	Learner bool        `json:"learner"`
}

// Group is what the folder holds of one shard.
type Group struct {
	Shard         uint32      `json:"shard"`
	Term          uint64      `json:"term"`
	Vote          identity.ID `json:"vote"`          // whom this member voted for in the term; 0: nobody
	Commit        uint64      `json:"commit"`        // as last written; it may be higher by now
	SnapshotIndex uint64      `json:"snapshotIndex"` // 0: none
	SnapshotTerm  uint64      `json:"snapshotTerm"`
	SnapshotBytes int         `json:"snapshotBytes"`
	Entries       int         `json:"entries"` // that follow the snapshot
	First         uint64      `json:"first"`
	Last          uint64      `json:"last"`
	EntryBytes    int64       `json:"entryBytes"`
	Members       []Member    `json:"members"`
	Contents      string      `json:"holds"` // what the state machine has after all entries; only if verified
}

// Fault is something that is not as it was written.
type Fault struct {
	File   string `json:"file"`   // empty: it is not one file's
	Offset int64  `json:"offset"` // bytes
	Reason string `json:"reason"`
}

// Read reads a folder. With verify, every snapshot is read, and the state machines carry out all entries. The
// error is for a folder that cannot be read at all; what is wrong inside stands in Faults.
func Read(dir string, verify bool) (*Folder, error) {
	files := readOnly{vfs.OS{}}
	unlock, err := takeLock(dir)
	if err != nil {
		return nil, err
	}
	defer unlock()
	folder := &Folder{Dir: dir, Verified: verify, First: []Member{}, Files: []File{}, Groups: []Group{}, Faults: []Fault{}}
	if err := folder.readFiles(files); err != nil {
		return nil, err
	}
	if err := folder.readIdentity(files); err != nil {
		return nil, err
	}
	groups, err := folder.readLog(files)
	if err != nil {
		return nil, err
	}
	if verify {
		folder.verifySnapshots(files)
		folder.verifyGroups(groups)
	}
	return folder, nil
}

const lockName = "lock"

// takeLock makes sure that no process runs on the folder.
func takeLock(dir string) (unlock func(), err error) {
	name := filepath.Join(dir, lockName)
	there, err := vfs.Exists(vfs.OS{}, name)
	if err != nil || !there {
		return func() {}, err
	}
	lock, err := vfs.OS{}.Lock(name)
	if errors.Is(err, vfs.ErrLocked) {
		return nil, errors.Errorf("a process runs on %s; stop it first, or read a copy", dir)
	}
	if err != nil {
		return nil, err
	}
	return func() { _ = lock.Close() }, nil
}

func (f *Folder) readFiles(files vfs.FS) error {
	names, err := files.List(f.Dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		size, err := sizeOf(files, filepath.Join(f.Dir, name))
		if err != nil {
			return err
		}
		f.Files = append(f.Files, File{Name: name, Bytes: size})
	}
	return nil
}

func sizeOf(files vfs.FS, path string) (int64, error) {
	file, err := files.Open(path)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	return file.Size()
}

// fault takes note of damage; other errors are returned.
func (f *Folder) fault(err error) error {
	var damage *wal.DamageError
	if !errors.As(err, &damage) {
		return err
	}
	found := Fault{File: damage.File, Offset: damage.Offset, Reason: damage.Reason}
	for _, known := range f.Faults {
		if known == found {
			return nil
		}
	}
	f.Faults = append(f.Faults, found)
	return nil
}

func (f *Folder) readIdentity(files vfs.FS) error {
	found, err := wal.ReadIdentity(files, f.Dir)
	if err != nil {
		return f.fault(err)
	}
	if found == nil {
		f.Faults = append(f.Faults, Fault{Reason: "there is no identity: no control process has run here, or its start was cut off"})
		return nil
	}
	f.Identity = identity.ID(found.ID)
	f.First = membersOf(found.First)
	return nil
}

func membersOf(members []consensus.Member) []Member {
	list := []Member{}
	for _, member := range members {
		list = append(list, Member{
			ID: identity.ID(member.ID), Node: member.Node, Zone: member.Zone, Address: member.Address, Learner: member.Learner,
		})
	}
	return list
}

// readLog reads segments and the snapshots that they name.
func (f *Folder) readLog(files vfs.FS) (map[uint32]*wal.Group, error) {
	log, groups, err := wal.Open(files, f.Dir, wal.Options{})
	if err != nil {
		return nil, f.fault(err)
	}
	log.Close()
	for _, id := range sortedIDs(groups) {
		f.Groups = append(f.Groups, f.groupOf(id, groups[id]))
	}
	return groups, nil
}

func (f *Folder) groupOf(id uint32, held *wal.Group) Group {
	group := Group{
		Shard:   id,
		Term:    held.HardState.Term,
		Vote:    identity.ID(held.HardState.Vote),
		Commit:  held.HardState.Commit,
		Entries: len(held.Entries),
		Members: f.First,
	}
	if held.Snapshot != nil {
		group.SnapshotIndex, group.SnapshotTerm = held.Snapshot.Index, held.Snapshot.Term
		group.SnapshotBytes = len(held.Snapshot.Data)
		group.Members = membersOf(held.Snapshot.Members)
	}
	for i := range held.Entries {
		entry := &held.Entries[i]
		group.EntryBytes += int64(len(entry.Data))
		if entry.Kind == consensus.EntryMembership {
			f.takeMembers(&group, entry)
		}
	}
	if len(held.Entries) > 0 {
		group.First, group.Last = held.Entries[0].Index, held.Entries[len(held.Entries)-1].Index
	}
	return group
}

func (f *Folder) takeMembers(group *Group, entry *consensus.Entry) {
	members, err := consensus.DecodeMembers(entry.Data)
	if err != nil {
		f.entryFault(group.Shard, entry, err)
		return
	}
	group.Members = membersOf(members)
}

// readOnly is a file system on which nothing can be changed.
type readOnly struct{ vfs.FS }

var errReadOnly = errors.New("the folder is only read")

// Create refuses.
func (readOnly) Create(string) (vfs.File, error) { return nil, errReadOnly }

// OpenRW refuses.
func (readOnly) OpenRW(string) (vfs.File, error) { return nil, errReadOnly }

// Rename refuses.
func (readOnly) Rename(string, string) error { return errReadOnly }

// Remove refuses.
func (readOnly) Remove(string) error { return errReadOnly }

// MkdirAll makes nothing; a folder that is missing is found so when it is listed.
func (readOnly) MkdirAll(string) error { return nil }

// SyncDir does nothing.
func (readOnly) SyncDir(string) error { return nil }

// Lock refuses.
func (readOnly) Lock(string) (io.Closer, error) { return nil, errReadOnly }

func isSnapshot(name string) bool {
	return strings.HasPrefix(name, "snapshot-") && strings.HasSuffix(name, ".state")
}
