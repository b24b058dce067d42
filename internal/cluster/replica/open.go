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

// disk is what openDisk returns.
type disk struct {
	lock     io.Closer
	identity *wal.Identity
	log      *wal.Log
	groups   map[GroupID]*wal.Group
}

// openDisk reads the disk, or writes a new identity to an empty one. A disk that is damaged counts as lost if there
// are other processes to join: what is on it is moved aside.
func openDisk(options *Options) (*disk, error) {
	if err := options.FileSystem.MkdirAll(options.Dir); err != nil {
		return nil, errors.Wrapf(err, "make folder %s", options.Dir)
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

func openLog(options *Options, identity *wal.Identity) (*disk, error) {
	segmentBytes := min(max(options.DiskBytes/segmentDivisor, minSegmentBytes), maxSegmentBytes)
	opened, groups, err := wal.Open(options.FileSystem, options.Dir, wal.Options{SegmentBytes: segmentBytes})
	if err != nil {
		return nil, err
	}
	return &disk{identity: identity, log: opened, groups: groups}, nil
}

// newDisk writes an identity to a disk without one. A log without an identity belongs to nobody and is moved aside.
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

// replaceDisk moves aside what is on the disk, and starts as a new member.
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

func writeIdentity(options *Options, identity *wal.Identity) (*disk, error) {
	if err := wal.WriteIdentity(options.FileSystem, options.Dir, identity); err != nil {
		return nil, err
	}
	return openLog(options, identity)
}

// firstIdentity returns the identity of an initial member at the very first start, else a random one.
func firstIdentity(options *Options) (*wal.Identity, error) {
	if !slices.Contains(options.Bootstrap, options.Self.Address) {
		return newIdentity(options)
	}
	addresses := slices.Clone(options.Bootstrap)
	slices.Sort(addresses)
	first := make([]consensus.Member, 0, len(addresses))
	for _, address := range slices.Compact(addresses) {
		first = append(first, consensus.Member{ID: bootstrapID(address), Address: address})
	}
	return &wal.Identity{ID: bootstrapID(options.Self.Address), First: first}, nil
}

// bootstrapID returns an initial member's identity: all initial members compute the same for each other.
func bootstrapID(address string) consensus.MemberID {
	return consensus.MemberID(max(xxhash.Sum64String(address), 1))
}

// newIdentity returns the identity of a process that is not an initial member.
func newIdentity(options *Options) (*wal.Identity, error) {
	id, err := options.newMemberID()
	if err != nil {
		return nil, err
	}
	return &wal.Identity{ID: id}, nil
}

// randomMemberID returns a random identity, not one of a seeded generator: an identity must never be used twice.
func randomMemberID() (consensus.MemberID, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return consensus.None, errors.Wrap(err, "draw an identity")
	}
	return max(consensus.MemberID(binary.LittleEndian.Uint64(random[:])), 1), nil
}

// othersExist reports whether there are other processes to join.
func othersExist(options *Options) bool {
	for _, address := range slices.Concat(options.Peers, options.Bootstrap) {
		if address != options.Self.Address {
			return true
		}
	}
	return false
}

// restored returns what a group's node starts from.
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

// Open opens the disk and starts all groups from it. It locks Options.Dir. Nothing is sent or applied before Run,
// which must be called to close the disk again. Damage to synced data is a *wal.DamageError if there is no other
// process to join.
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
