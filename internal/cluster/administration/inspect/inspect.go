// Package inspect reads the data folder of a control process that is not running: its identity, the logs and snapshots of its
// groups, and what of them is damaged. It changes nothing in the folder, except that it takes the lock file if there is one.
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

// Folder is the content of a data folder. It is printed as JSON; so are the types in it.
type Folder struct {
	Dir      string      `json:"dir"`
	Identity identity.ID `json:"identity"` // 0: none, the folder belongs to no process
	First    []Member    `json:"first"`    // the first members of all groups, if the process was one of them
	Files    []File      `json:"files"`
	Groups   []Group     `json:"groups"`
	Faults   []Fault     `json:"faults"`
	Verified bool        `json:"verified"`
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

// Group is the member's part of one shard's replicated log.
type Group struct {
	Shard         uint32      `json:"shard"`
	Term          uint64      `json:"term"`
	Vote          identity.ID `json:"vote"`          // the member that this one voted for in the term; 0: none
	Commit        uint64      `json:"commit"`        // as last written; more may be committed
	SnapshotIndex uint64      `json:"snapshotIndex"` // 0: none
	SnapshotTerm  uint64      `json:"snapshotTerm"`
	SnapshotBytes int         `json:"snapshotBytes"`
	Entries       int         `json:"entries"` // entries that follow the snapshot
	First         uint64      `json:"first"`
	Last          uint64      `json:"last"`
	EntryBytes    int64       `json:"entryBytes"`
	Members       []Member    `json:"members"`
	Contents      string      `json:"holds"` // a summary of the state machine after all entries; empty unless verified
}

// Fault is damage, or data that this version of the program can't read.
type Fault struct {
	File   string `json:"file"`   // empty if it is not in one file
	Offset int64  `json:"offset"` // bytes
	Reason string `json:"reason"`
}

// Read reads a folder. If verify is true, it reads every snapshot and applies all entries to the state machines. It returns
// an error if the folder can't be read at all, or if a process runs on it; what is wrong inside is in Faults.
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

// lockFolder locks the folder as a running control process does, and fails if one runs. A folder without a lock file was
// never run on, and stays without.
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

// readFiles lists the files.
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
	size, err := file.Size()
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return size, err
}

// addDamage adds a fault for damage, each once, and returns all other errors.
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

// readIdentity reads the identity; a folder without one has a fault.
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

func membersOf(members []consensus.Member) []Member {
	list := []Member{}
	for _, member := range members {
		list = append(list, Member{
			ID: identity.ID(member.ID), Node: member.Node, Zone: member.Zone, Address: member.Address, Learner: member.Learner,
		})
	}
	return list
}

// readLog reads the segments and the snapshots that they refer to. Without an error the groups are nil if the log is damaged.
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

// applyMembership sets the members that a membership entry has.
func (f *Folder) applyMembership(group *Group, entry *consensus.Entry) {
	members, err := consensus.DecodeMembers(entry.Data)
	if err != nil {
		f.addEntryFault(group.Shard, entry, err)
		return
	}
	group.Members = membersOf(members)
}

// readOnly is a file system that can't be modified.
type readOnly struct{ vfs.FS }

var errReadOnly = errors.New("the folder is opened for reading only")

// Create fails.
func (readOnly) Create(string) (vfs.File, error) { return nil, errReadOnly }

// OpenRW fails.
func (readOnly) OpenRW(string) (vfs.File, error) { return nil, errReadOnly }

// Rename fails.
func (readOnly) Rename(string, string) error { return errReadOnly }

// Remove fails.
func (readOnly) Remove(string) error { return errReadOnly }

// MkdirAll does nothing; a missing folder makes the listing fail.
func (readOnly) MkdirAll(string) error { return nil }

// SyncDir does nothing.
func (readOnly) SyncDir(string) error { return nil }

// Lock fails.
func (readOnly) Lock(string) (io.Closer, error) { return nil, errReadOnly }

func isSnapshot(name string) bool {
	return strings.HasPrefix(name, "snapshot-") && strings.HasSuffix(name, ".state")
}
