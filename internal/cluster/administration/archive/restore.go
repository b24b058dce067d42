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

// termStep is how far the terms of a restored system stand above those of the backup: runners obey no term below the
// highest that they have seen, and the old system may have gone on after the backup.
const termStep = 1 << 20

// segmentBytes is beyond what a restored log has.
const segmentBytes = 1 << 20

// Process is the control process that a backup is restored for.
type Process struct {
	Node    string
	Zone    string
	Address string // internal
}

// Restore writes the state into the folder of a control process, which must be empty or missing. The process is then
// the only member of all groups; others that start with empty folders and know it as a seed join it.
func (a *Archive) Restore(dir string, process Process) error {
	if err := a.Check(); err != nil {
		return err
	}
	if err := checkEmpty(dir); err != nil {
		return err
	}
	id, err := drawIdentity()
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
	// The identity comes last: a log without one is nobody's, so that a restore that was cut off is not taken for whole.
	if err := wal.WriteIdentity(files, dir, &wal.Identity{ID: id}); err != nil {
		return err
	}
	return files.SyncDir(filepath.Dir(filepath.Clean(dir)))
}

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

// Check tells whether the backup has every shard once, and whether this version of the program can read them.
func (a *Archive) Check() error {
	seen := map[uint32]bool{}
	for i := range a.Shards {
		shard := &a.Shards[i]
		if seen[shard.ID] {
			return errors.Errorf("shard %d comes twice", shard.ID)
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

func drawIdentity() (consensus.MemberID, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, errors.Wrap(err, "draw an identity")
	}
	return consensus.MemberID(max(binary.LittleEndian.Uint64(random[:]), 1)), nil
}
