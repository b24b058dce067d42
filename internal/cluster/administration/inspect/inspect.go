// Package inspect reads the data folder of a control process that is not running: the identity, the log and the snapshots
// of its groups. It lists damage and data that it can't decode. It doesn't modify the folder, but locks the lock file if
// there is one.
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

// Folder is the content of a data folder. It and the types of its fields are printed as JSON.
type Folder struct {
	Dir      string      `json:"dir"`
	Identity identity.ID `json:"identity"` // 0: there is none, so the folder belongs to no process
	First    []Member    `json:"first"`    // initial members of all groups, if the process was an initial member
	Files    []File      `json:"files"`
	Groups   []Group     `json:"groups"`
	Faults   []Fault     `json:"faults"`
	Verified bool        `json:"verified"` // all snapshots were read and all entries applied
}

// File is a file of the folder.
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

// Group is the state of one shard's replica group in the folder.
type Group struct {
	Shard         uint32      `json:"shard"`
	Term          uint64      `json:"term"`
	Vote          identity.ID `json:"vote"`          // member that this process voted for in the term; 0: none
	Commit        uint64      `json:"commit"`        // newest commit index on disk; later entries may be committed, too
	SnapshotIndex uint64      `json:"snapshotIndex"` // index of the newest entry in the snapshot; 0: there is no snapshot
	SnapshotTerm  uint64      `json:"snapshotTerm"`  // term of that entry
	SnapshotBytes int         `json:"snapshotBytes"` // size of the state machine's data in the snapshot
	Entries       int         `json:"entries"`       // number of entries after the snapshot
	First         uint64      `json:"first"`         // index of the first of these entries; 0: there are none
	Last          uint64      `json:"last"`          // index of the last of these entries; 0: there are none
	EntryBytes    int64       `json:"entryBytes"`    // size of the data of these entries
	Members       []Member    `json:"members"`       // after the newest membership entry, committed or not
	Contents      string      `json:"holds"`         // summary of the state machine after all entries; empty unless verified
}

// Fault is damage, or data that this version of the program can't read.
type Fault struct {
	File   string `json:"file"`   // base name; empty if the fault is not in a certain file
	Offset int64  `json:"offset"` // in the file, in bytes; at or before the damage
	Reason string `json:"reason"` // for operators
}

// Read reads a folder. If verify is true, it also reads every snapshot and applies all entries to the state machines. Read
// fails if the folder can't be read, or if a process runs on it. Damage in the files is no error, but listed in
// Folder.Faults.
func Read(dir string, verify bool) (*Folder, error) {
	files := readOnly{vfs.OS{}}
	unlock, err := lockFolder(dir)
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

// lockFolder locks the folder in the same way as a running control process, and fails if one runs on it. If there is no
// lock file, no process has run on the folder: lockFolder neither creates nor locks the file.
func lockFolder(dir string) (unlock func(), err error) {
	name := filepath.Join(dir, lockName)
	exists, err := vfs.Exists(vfs.OS{}, name)
	if err != nil || !exists {
		return func() {}, err
	}
	lock, err := vfs.OS{}.Lock(name)
	if errors.Is(err, vfs.ErrLocked) {
		return nil, errors.Errorf("a process runs on %s; stop it first, or read a copy of the folder", dir)
	}
	if err != nil {
		return nil, err
	}
	return func() { _ = lock.Close() }, nil
}

// readFiles lists the files of the folder with their sizes.
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

// sizeOf returns the size of a file in bytes.
func sizeOf(files vfs.FS, path string) (int64, error) {
	file, err := files.Open(path)
	if err != nil {
		return 0, err
	}
	size, err := file.Size()
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return size, err
}

// addDamage adds a fault if err is a *wal.DamageError, unless the same fault is already listed. It returns any other
// error.
func (f *Folder) addDamage(err error) error {
	var damage *wal.DamageError
	if !errors.As(err, &damage) {
		return err
	}
	fault := Fault{File: damage.File, Offset: damage.Offset, Reason: damage.Reason}
	for _, known := range f.Faults {
		if known == fault {
			return nil
		}
	}
	f.Faults = append(f.Faults, fault)
	return nil
}

// readIdentity reads the identity. If there is none, it adds a fault.
func (f *Folder) readIdentity(files vfs.FS) error {
	found, err := wal.ReadIdentity(files, f.Dir)
	if err != nil {
		return f.addDamage(err)
	}
	if found == nil {
		f.Faults = append(f.Faults, Fault{Reason: "there is no identity: no control process has run here, or its start was interrupted"})
		return nil
	}
	f.Identity = identity.ID(found.ID)
	f.First = membersOf(found.First)
	return nil
}

// membersOf returns members in their printed form.
func membersOf(members []consensus.Member) []Member {
	list := []Member{}
	for _, member := range members {
		list = append(list, Member{
			ID: identity.ID(member.ID), Node: member.Node, Zone: member.Zone, Address: member.Address, Learner: member.Learner,
		})
	}
	return list
}

// readLog reads the log's segments and the snapshots to which they refer. If they are damaged, it adds a fault and returns
// neither groups nor an error.
func (f *Folder) readLog(files vfs.FS) (map[uint32]*wal.Group, error) {
	log, groups, err := wal.Open(files, f.Dir, wal.Options{})
	if err != nil {
		return nil, f.addDamage(err)
	}
	log.Close()
	for _, id := range sortedIDs(groups) {
		f.Groups = append(f.Groups, f.newGroup(id, groups[id]))
	}
	return groups, nil
}

// newGroup returns the printed form of a group. Its members come from the newest membership entry. If the log has no such
// entry, they come from the snapshot; if there is no snapshot either, they are the initial members.
func (f *Folder) newGroup(id uint32, read *wal.Group) Group {
	group := Group{
		Shard:   id,
		Term:    read.HardState.Term,
		Vote:    identity.ID(read.HardState.Vote),
		Commit:  read.HardState.Commit,
		Entries: len(read.Entries),
		Members: f.First,
	}
	if read.Snapshot != nil {
		group.SnapshotIndex, group.SnapshotTerm = read.Snapshot.Index, read.Snapshot.Term
		group.SnapshotBytes = len(read.Snapshot.Data)
		group.Members = membersOf(read.Snapshot.Members)
	}
	for i := range read.Entries {
		entry := &read.Entries[i]
		group.EntryBytes += int64(len(entry.Data))
		if entry.Kind == consensus.EntryMembership {
			f.applyMembership(&group, entry)
		}
	}
	if len(read.Entries) > 0 {
		group.First, group.Last = read.Entries[0].Index, read.Entries[len(read.Entries)-1].Index
	}
	return group
}

// applyMembership sets the group's members from a membership entry, or adds a fault if the entry can't be decoded.
func (f *Folder) applyMembership(group *Group, entry *consensus.Entry) {
	members, err := consensus.DecodeMembers(entry.Data)
	if err != nil {
		f.addEntryFault(group.Shard, entry, err)
		return
	}
	group.Members = membersOf(members)
}

// readOnly is a file system that can't be modified: wal.Open removes files that a crash left behind, and must not do so
// here.
type readOnly struct{ vfs.FS }

var errReadOnly = errors.New("the folder is opened for reading only")

// Create returns errReadOnly.
func (readOnly) Create(string) (vfs.File, error) { return nil, errReadOnly }

// OpenRW returns errReadOnly.
func (readOnly) OpenRW(string) (vfs.File, error) { return nil, errReadOnly }

// Rename returns errReadOnly.
func (readOnly) Rename(string, string) error { return errReadOnly }

// Remove returns errReadOnly.
func (readOnly) Remove(string) error { return errReadOnly }

// MkdirAll does nothing: if the folder is missing, listing its files fails.
func (readOnly) MkdirAll(string) error { return nil }

// SyncDir does nothing, since the folder is never modified.
func (readOnly) SyncDir(string) error { return nil }

// Lock returns errReadOnly; lockFolder doesn't use it.
func (readOnly) Lock(string) (io.Closer, error) { return nil, errReadOnly }

// isSnapshot reports whether a file of that name should be a snapshot.
func isSnapshot(name string) bool {
	return strings.HasPrefix(name, "snapshot-") && strings.HasSuffix(name, ".state")
}
