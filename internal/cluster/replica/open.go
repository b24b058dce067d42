package replica

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"maps"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/replica/wal"
)

// disk is an open disk, as openDisk returns it.
type disk struct {
	lock     io.Closer // unlocks the folder
	identity *wal.Identity
	log      *wal.Log
	groups   map[GroupID]*wal.Group
}

// openDisk locks the folder and reads the disk, or writes a new identity to an empty disk. If the disk is damaged and there
// are other processes to join, openDisk moves its files to a subfolder, and the process starts as a new member. Without
// other processes the damage is an error, since the disk may have the only copy of the data.
func openDisk(options *Options) (*disk, error) {
	if err := options.FileSystem.MkdirAll(options.Dir); err != nil {
		return nil, errors.Wrapf(err, "create folder %s", options.Dir)
	}
	lock, err := options.FileSystem.Lock(filepath.Join(options.Dir, "lock"))
	if err != nil {
		return nil, errors.Wrapf(err, "folder %s", options.Dir)
	}
	opened, err := readDisk(options)
	var damage *wal.DamageError
	if errors.As(err, &damage) && othersExist(options) {
		_ = level.Error(options.Logger).Log("msg", "disk is damaged and counts as lost", "file", damage.File,
			"offset", damage.Offset, "reason", damage.Reason)
		opened, err = replaceDisk(options)
	}
	if err != nil {
		_ = lock.Close()
		return nil, err
	}
	opened.lock = lock
	return opened, nil
}

// readDisk reads the identity and the log, or writes a new identity if there is none.
func readDisk(options *Options) (*disk, error) {
	identity, err := wal.ReadIdentity(options.FileSystem, options.Dir)
	if err != nil {
		return nil, err
	}
	if identity == nil {
		return newDisk(options)
	}
	return openLog(options, identity)
}

// openLog opens the log of a process with this identity.
func openLog(options *Options, identity *wal.Identity) (*disk, error) {
	segmentBytes := min(max(options.DiskBytes/segmentDivisor, minSegmentBytes), maxSegmentBytes)
	opened, groups, err := wal.Open(options.FileSystem, options.Dir, wal.Options{SegmentBytes: segmentBytes})
	if err != nil {
		return nil, err
	}
	return &disk{identity: identity, log: opened, groups: groups}, nil
}

// newDisk writes an identity to a disk that has none. If the disk has other files, an earlier process has been a member
// with them under an identity that is now unknown. newDisk then moves these files to a subfolder, and the process starts as
// a new member.
func newDisk(options *Options) (*disk, error) {
	vacant, err := wal.Vacant(options.FileSystem, options.Dir)
	if err != nil {
		return nil, err
	}
	if !vacant {
		return replaceDisk(options)
	}
	identity, err := firstIdentity(options)
	if err != nil {
		return nil, err
	}
	return writeIdentity(options, identity)
}

// replaceDisk moves the files on the disk to a subfolder, and writes the identity of a new member.
func replaceDisk(options *Options) (*disk, error) {
	if err := wal.MoveAside(options.FileSystem, options.Dir); err != nil {
		return nil, err
	}
	identity, err := newIdentity(options)
	if err != nil {
		return nil, err
	}
	return writeIdentity(options, identity)
}

// writeIdentity writes an identity, and opens the log, which is empty.
func writeIdentity(options *Options, identity *wal.Identity) (*disk, error) {
	if err := wal.WriteIdentity(options.FileSystem, options.Dir, identity); err != nil {
		return nil, err
	}
	return openLog(options, identity)
}

// firstIdentity returns the identity for an empty disk. If Options.Bootstrap lists this process, it is an initial member's
// identity, which depends on the address; otherwise it is new and unique.
func firstIdentity(options *Options) (*wal.Identity, error) {
	if !slices.Contains(options.Bootstrap, options.Self.Address) {
		return newIdentity(options)
	}
	addresses := slices.Clone(options.Bootstrap)
	slices.Sort(addresses)
	initial := make([]consensus.Member, 0, len(addresses))
	for _, address := range slices.Compact(addresses) {
		initial = append(initial, consensus.Member{ID: bootstrapID(address), Address: address})
	}
	return &wal.Identity{ID: bootstrapID(options.Self.Address), First: initial}, nil
}

// bootstrapID returns the ID of an initial member. It depends on the address only, so that all initial members compute
// the same IDs. It is never consensus.None, which is 0.
func bootstrapID(address string) consensus.MemberID {
	return consensus.MemberID(max(xxhash.Sum64String(address), 1))
}

// newIdentity returns a unique identity, for a process that is not an initial member.
func newIdentity(options *Options) (*wal.Identity, error) {
	id, err := options.newMemberID()
	if err != nil {
		return nil, err
	}
	return &wal.Identity{ID: id}, nil
}

// randomMemberID returns a random ID. It does not use a seeded generator, since no ID may ever be used twice.
func randomMemberID() (consensus.MemberID, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return consensus.None, errors.Wrap(err, "read random bytes for a member ID")
	}
	return max(consensus.MemberID(binary.LittleEndian.Uint64(random[:])), 1), nil
}

// othersExist reports whether the options name another process, which this one could ask to join.
func othersExist(options *Options) bool {
	for _, address := range slices.Concat(options.Peers, options.Bootstrap) {
		if address != options.Self.Address {
			return true
		}
	}
	return false
}

// restored returns the state that a group's node starts from. A snapshot's data is left out, since addGroup restores the
// state machine from it. A group of an initial member that has no snapshot yet starts with the initial members.
func (d *disk) restored(id GroupID) consensus.Restored {
	stored := d.groups[id]
	if stored == nil {
		stored = &wal.Group{}
	}
	restored := consensus.Restored{HardState: stored.HardState, Entries: stored.Entries}
	switch {
	case stored.Snapshot != nil:
		snapshot := *stored.Snapshot
		snapshot.Data = nil
		restored.Snapshot = &snapshot
	case len(d.identity.First) > 0:
		restored.Snapshot = &consensus.Snapshot{Members: d.identity.First}
	}
	return restored
}

// Open locks Options.Dir, reads the disk, and starts all groups from it. The engine sends no envelopes and applies no
// entries before Run is called. Run must be called, since only it closes the disk again. Open returns a *wal.DamageError if
// synced data is damaged and there is no other process to join.
func Open(options Options) (*Engine, error) {
	options = options.withDefaults()
	opened, err := openDisk(&options)
	if err != nil {
		return nil, err
	}
	e := newEngine(options, opened)
	for _, id := range slices.Sorted(maps.Keys(options.Groups)) {
		if err := e.addGroup(id, options.Groups[id], opened); err != nil {
			opened.log.Close()
			_ = opened.lock.Close()
			return nil, err
		}
	}
	e.writer.queueFirstSync()
	return e, nil
}
