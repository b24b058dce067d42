package inspect

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica/wal"
	"ospreypond/internal/store/vfs"
)

func sortedIDs(groups map[uint32]*wal.Group) []uint32 { return slices.Sorted(maps.Keys(groups)) }

// verifySnapshots reads every snapshot in the folder, those too that the log does not need any more.
func (f *Folder) verifySnapshots(files vfs.FS) {
	for _, file := range f.Files {
		if !isSnapshot(file.Name) {
			continue
		}
		var group uint32
		var index, term uint64
		if _, err := fmt.Sscanf(file.Name, "snapshot-%08x-%016x-%016x.state", &group, &index, &term); err != nil {
			f.Faults = append(f.Faults, Fault{File: file.Name, Reason: "its name is not a snapshot's"})
			continue
		}
		if _, err := wal.ReadSnapshot(files, f.Dir, group, index, term); err != nil {
			if other := f.fault(err); other != nil {
				f.Faults = append(f.Faults, Fault{File: file.Name, Reason: other.Error()})
			}
		}
	}
}

func (f *Folder) entryFault(shard uint32, entry *consensus.Entry, err error) {
	reason := fmt.Sprintf("shard %d, entry %d of term %d: %v", shard, entry.Index, entry.Term, err)
	f.Faults = append(f.Faults, Fault{Reason: reason})
}

// machine is a state machine that what is held is tried on.
type machine interface {
	Restore(data []byte) error
	// carryOut applies an entry; one that cannot be decoded is a fault, an order that is refused is none.
	carryOut(entry *consensus.Entry) error
	holds() string
}

func machineOf(shard uint32) (machine, error) {
	switch {
	case shard == uint32(protocol.ConfigurationShard):
		return &configurationMachine{configuration.NewState()}, nil
	case shard <= protocol.JobShards:
		return &jobsMachine{jobs.New(jobs.Options{})}, nil
	default:
		return nil, errors.Errorf("shard %d is none of this program's", shard)
	}
}

// verifyGroups has the state machines take the snapshots and carry out all entries after them. Which of the newest ones
// are committed is not on one disk alone.
func (f *Folder) verifyGroups(groups map[uint32]*wal.Group) {
	for i := range f.Groups {
		f.verifyGroup(&f.Groups[i], groups[f.Groups[i].Shard])
	}
}

func (f *Folder) verifyGroup(group *Group, held *wal.Group) {
	tried, err := machineOf(group.Shard)
	if err != nil {
		f.Faults = append(f.Faults, Fault{Reason: err.Error()})
		return
	}
	if held.Snapshot != nil {
		if err := tried.Restore(held.Snapshot.Data); err != nil {
			reason := fmt.Sprintf("shard %d: the snapshot at %d cannot be restored: %v", group.Shard, group.SnapshotIndex, err)
			f.Faults = append(f.Faults, Fault{Reason: reason})
			return
		}
	}
	for i := range held.Entries {
		entry := &held.Entries[i]
		if entry.Kind != consensus.EntryCommand {
			continue
		}
		if err := tried.carryOut(entry); err != nil {
			f.entryFault(group.Shard, entry, err)
		}
	}
	group.Contents = tried.holds()
}

type configurationMachine struct{ *configuration.State }

func (m *configurationMachine) carryOut(entry *consensus.Entry) error {
	command, err := configuration.DecodeCommand(entry.Data)
	if err != nil {
		return err
	}
	m.Execute(command)
	return nil
}

func (m *configurationMachine) holds() string {
	document := m.Document()
	routes, services := 0, 0
	for range document.Routes() {
		routes++
	}
	for range document.Services() {
		services++
	}
	return fmt.Sprintf("configuration %d: %d routes, %d services", document.Version(), routes, services)
}

type jobsMachine struct{ *jobs.State }

func (m *jobsMachine) carryOut(entry *consensus.Entry) error {
	command, err := jobs.Decode(entry.Data)
	if err != nil {
		return err
	}
	m.Apply(command)
	return nil
}

func (m *jobsMachine) holds() string {
	c := m.Counters()
	return fmt.Sprintf("%d jobs (%d tasks held, %d running), %d ended ones kept, %d runners", c.Jobs, c.Pending, c.Running, c.Retained, c.Runners)
}
