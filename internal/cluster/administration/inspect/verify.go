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

// sortedIDs returns the IDs of the groups in ascending order.
func sortedIDs(groups map[uint32]*wal.Group) []uint32 { return slices.Sorted(maps.Keys(groups)) }

// verifySnapshots reads every snapshot in the folder, including snapshots that the log no longer refers to.
func (f *Folder) verifySnapshots(files vfs.FS) {
	for _, file := range f.Files {
		if !isSnapshot(file.Name) {
			continue
		}
		var group uint32
		var index, term uint64
		if _, err := fmt.Sscanf(file.Name, "snapshot-%08x-%016x-%016x.state", &group, &index, &term); err != nil {
			f.Faults = append(f.Faults, Fault{File: file.Name, Reason: "its name is not snapshot-SHARD-INDEX-TERM.state, with hexadecimal numbers of 8, 16 and 16 digits"})
			continue
		}
		if _, err := wal.ReadSnapshot(files, f.Dir, group, index, term); err != nil {
			if other := f.addDamage(err); other != nil {
				f.Faults = append(f.Faults, Fault{File: file.Name, Reason: other.Error()})
			}
		}
	}
}

// addEntryFault adds a fault for a log entry that can't be decoded.
func (f *Folder) addEntryFault(shard uint32, entry *consensus.Entry, err error) {
	reason := fmt.Sprintf("shard %d, entry %d of term %d: %v", shard, entry.Index, entry.Term, err)
	f.Faults = append(f.Faults, Fault{Reason: reason})
}

// stateMachine is a state machine to which the snapshot and the entries of a group are applied.
type stateMachine interface {
	Restore(data []byte) error
	// apply applies a command entry. It fails if the entry can't be decoded. A command that the state machine rejects is no
	// error.
	apply(entry *consensus.Entry) error
	// summary returns the number of items in the state, as text for operators.
	summary() string
}

// newStateMachine returns an empty state machine of a shard.
func newStateMachine(shard uint32) (stateMachine, error) {
	switch {
	case shard == uint32(protocol.ConfigurationShard):
		return &configurationMachine{configuration.NewState()}, nil
	case shard <= protocol.JobShards:
		return &jobsMachine{jobs.New(jobs.Options{})}, nil
	default:
		return nil, errors.Errorf("shard %d is unknown to this program", shard)
	}
}

// verifyGroups verifies every group of the log.
func (f *Folder) verifyGroups(groups map[uint32]*wal.Group) {
	for i := range f.Groups {
		f.verifyGroup(&f.Groups[i], groups[f.Groups[i].Shard])
	}
}

// verifyGroup restores a group's state machine from the snapshot and applies all entries after it, committed or not: one
// folder doesn't show which of the newest entries a quorum has. Entries that can't be decoded become faults.
func (f *Folder) verifyGroup(group *Group, read *wal.Group) {
	machine, err := newStateMachine(group.Shard)
	if err != nil {
		f.Faults = append(f.Faults, Fault{Reason: err.Error()})
		return
	}
	if read.Snapshot != nil {
		if err := machine.Restore(read.Snapshot.Data); err != nil {
			reason := fmt.Sprintf("shard %d: the snapshot at index %d cannot be restored: %v", group.Shard, group.SnapshotIndex, err)
			f.Faults = append(f.Faults, Fault{Reason: reason})
			return
		}
	}
	for i := range read.Entries {
		entry := &read.Entries[i]
		if entry.Kind != consensus.EntryCommand {
			continue
		}
		if err := machine.apply(entry); err != nil {
			f.addEntryFault(group.Shard, entry, err)
		}
	}
	group.Contents = machine.summary()
}

// configurationMachine is the stateMachine of the configuration shard.
type configurationMachine struct{ *configuration.State }

func (m *configurationMachine) apply(entry *consensus.Entry) error {
	command, err := configuration.DecodeCommand(entry.Data)
	if err != nil {
		return err
	}
	m.Execute(command)
	return nil
}

func (m *configurationMachine) summary() string {
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

// jobsMachine is the stateMachine of a shard of jobs.
type jobsMachine struct{ *jobs.State }

func (m *jobsMachine) apply(entry *consensus.Entry) error {
	command, err := jobs.Decode(entry.Data)
	if err != nil {
		return err
	}
	m.Apply(command)
	return nil
}

func (m *jobsMachine) summary() string {
	c := m.Counters()
	return fmt.Sprintf("%d jobs (%d tasks pending, %d running), %d ended ones retained, %d runners", c.Jobs, c.Pending, c.Running, c.Retained, c.Runners)
}
