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

// disk is what opening the disk gives.
type disk struct {
	lock     io.Closer
	identity *wal.Identity
	log      *wal.Log
	groups   map[GroupID]*wal.Group
}

// openDisk reads what the disk holds, or makes a new identity on an empty one. A disk that is damaged counts as lost: it
// is moved aside if there are others to join.
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
	segmentBytes := min(max(options.DiskBytes/segmentShare, minSegmentBytes), maxSegmentBytes)
	opened, groups, err := wal.Open(options.FileSystem, options.Dir, wal.Options{SegmentBytes: segmentBytes})
	if err != nil {
		return nil, err
	}
	return &disk{identity: identity, log: opened, groups: groups}, nil
}

// newDisk draws an identity. A log without an identity is nobody's.
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

// replaceDisk moves what is there aside and joins as a new member.
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

// firstIdentity is that of a first member at the very first start, else a random one.
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

// bootstrapID is a first member's identity: all first members work out the same for each other.
func bootstrapID(address string) consensus.MemberID {
	return consensus.MemberID(max(xxhash.Sum64String(address), 1))
}

// newIdentity is that of a process that is no first member.
func newIdentity(options *Options) (*wal.Identity, error) {
	id, err := options.draw()
	if err != nil {
		return nil, err
	}
	return &wal.Identity{ID: id}, nil
}

// drawID draws from the system's randomness alone: an identity must never come twice.
func drawID() (consensus.MemberID, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return consensus.None, errors.Wrap(err, "draw an identity")
	}
	return max(consensus.MemberID(binary.LittleEndian.Uint64(random[:])), 1), nil
}

// othersExist tells whether there is anybody to join.
func othersExist(options *Options) bool {
	for _, address := range slices.Concat(options.Peers, options.Bootstrap) {
		if address != options.Self.Address {
			return true
		}
	}
	return false
}

// restored is what a group starts from.
func (d *disk) restored(id GroupID) consensus.Restored {
	held := d.groups[id]
	if held == nil {
		held = &wal.Group{}
	}
	restored := consensus.Restored{HardState: held.HardState, Entries: held.Entries}
	switch {
	case held.Snapshot != nil:
		snapshot := *held.Snapshot
		snapshot.Data = nil
		restored.Snapshot = &snapshot
	case len(d.identity.First) > 0:
		restored.Snapshot = &consensus.Snapshot{Members: d.identity.First}
	}
	return restored
}

// Open opens the disk and starts all groups from it. Nothing moves before Run.
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
	e.writer.begin()
	return e, nil
}
