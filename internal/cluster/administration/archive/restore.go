package archive

import (
	"crypto/rand"
	"encoding/binary"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica/wal"
	"ospreypond/internal/store/vfs"
)

// termStep is the difference between the terms of a restored cluster and those in its backup. An owner's term is its
// fencing token, and runners reject a token below the highest one that they have seen. The old cluster may have had
// elections after the backup: runners obey the restored cluster unless there were more than termStep elections.
const termStep = 1 << 20

// segmentBytes is larger than a restored log, which has no entries, so that the log has a single segment.
const segmentBytes = 1 << 20

// Process is the control process that a backup is restored for.
type Process struct {
	Node    string
	Zone    string
	Address string // internal
}

// Restore writes the backup into the data folder of a control process. The folder must be empty or missing, and no process
// may run on it. The process is then the only member of all groups; processes that start with empty folders and have it as
// a seed join it. An interrupted restore leaves a folder without an identity, which no control process takes for its own.
func (a *Archive) Restore(dir string, process Process) error {
	if err := a.Check(); err != nil {
		return err
	}
	if err := checkEmpty(dir); err != nil {
		return err
	}
	id, err := newMemberID()
	if err != nil {
		return err
	}
	files := vfs.OS{}
	if err := files.MkdirAll(dir); err != nil {
		return err
	}
	member := consensus.Member{ID: id, Node: process.Node, Zone: process.Zone, Address: process.Address}
	if err := a.writeLog(files, dir, member); err != nil {
		return err
	}
	// The identity is written last. A log without an identity belongs to no process, so an interrupted restore can't be taken
	// for a complete one.
	if err := wal.WriteIdentity(files, dir, &wal.Identity{ID: id}); err != nil {
		return err
	}
	return files.SyncDir(filepath.Dir(filepath.Clean(dir)))
}

// writeLog writes a log in which each group has its snapshot, no entries, and one member. Index and term of a snapshot
// are at least 1, since 0 means that there is no snapshot.
func (a *Archive) writeLog(files vfs.FS, dir string, member consensus.Member) error {
	log, _, err := wal.Open(files, dir, wal.Options{SegmentBytes: segmentBytes})
	if err != nil {
		return err
	}
	defer log.Close()
	batch := &wal.Batch{}
	for i := range a.Shards {
		shard := &a.Shards[i]
		snapshot := &consensus.Snapshot{
			Index:   max(shard.Index, 1),
			Term:    max(shard.Term, 1),
			Members: []consensus.Member{member},
			Data:    shard.Data,
		}
		if err := wal.WriteSnapshot(files, dir, shard.ID, snapshot); err != nil {
			return err
		}
		batch.Install(shard.ID, snapshot.Index, snapshot.Term)
		batch.HardState(shard.ID, consensus.HardState{Term: snapshot.Term + termStep, Commit: snapshot.Index})
	}
	return log.Append(batch)
}

// Check returns an error unless the backup has each shard exactly once, and this version of the program can decode all of
// their states.
func (a *Archive) Check() error {
	seen := map[uint32]bool{}
	for i := range a.Shards {
		shard := &a.Shards[i]
		if seen[shard.ID] {
			return errors.Errorf("shard %d appears twice", shard.ID)
		}
		seen[shard.ID] = true
		if err := shard.check(); err != nil {
			return errors.Wrapf(err, "shard %d", shard.ID)
		}
	}
	for id := protocol.ConfigurationShard; id <= protocol.JobShards; id++ {
		if !seen[uint32(id)] {
			return errors.Errorf("shard %d is missing", id)
		}
	}
	return nil
}

// check returns an error unless the shard exists and its state machine can decode the state.
func (s *Shard) check() error {
	switch {
	case s.ID == uint32(protocol.ConfigurationShard):
		return configuration.NewState().Restore(s.Data)
	case s.ID <= protocol.JobShards:
		return jobs.New(jobs.Options{}).Restore(s.Data)
	default:
		return errors.New("there is no such shard")
	}
}

// checkEmpty returns an error if a folder has any entry.
func checkEmpty(dir string) error {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if len(entries) > 0 {
		return errors.Errorf("folder %s is not empty: it has %s", dir, entries[0].Name())
	}
	return nil
}

// newMemberID returns a random identity, which is never 0.
func newMemberID() (consensus.MemberID, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, errors.Wrap(err, "read random bytes for a member ID")
	}
	return consensus.MemberID(max(binary.LittleEndian.Uint64(random[:]), 1)), nil
}
