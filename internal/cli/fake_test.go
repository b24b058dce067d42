package cli

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/configuration"
	"ospreypond/internal/cluster/jobs"
	"ospreypond/internal/cluster/protocol"
)

// fakeSystem is an administrator that returns the values of its fields and records the calls.
type fakeSystem struct {
	err       error  // result of every call
	version   uint64 // of the newest configuration
	body      string // the newest configuration
	state     string // of every job
	jobs      []administration.Job
	reports   []administration.Report
	digests   []administration.ShardDigests
	runners   []administration.Runner
	remaining int // result of Drain: shards still owned
	backup    *archive.Archive

	addresses []string // to which the command connected
	calls     []string // names of the calls, with their main arguments
	changes   []configurationChange
	submitted *protocol.JobSpec // the last submitted job
	closed    bool
}

// configurationChange has the arguments of a call of Configure.
type configurationChange struct {
	kind string
	base uint64
	body string
}

func (f *fakeSystem) record(parts ...string) { f.calls = append(f.calls, strings.Join(parts, " ")) }

func (f *fakeSystem) ReadConfiguration(context.Context) (uint64, []byte, error) {
	f.record("read")
	return f.version, []byte(f.body), f.err
}

func (f *fakeSystem) Configure(_ context.Context, kind string, base uint64, body []byte) (uint64, error) {
	f.record("configure")
	f.changes = append(f.changes, configurationChange{kind, base, string(body)})
	return 9, f.err
}

func (f *fakeSystem) Submit(_ context.Context, queue, id string, job *protocol.JobSpec) error {
	f.record("submit", queue, id)
	f.submitted = job
	return f.err
}

func (f *fakeSystem) Status(_ context.Context, id string) (string, error) {
	f.record("status", id)
	return f.state, f.err
}

func (f *fakeSystem) Cancel(_ context.Context, id string) error {
	f.record("cancel", id)
	return f.err
}

func (f *fakeSystem) Jobs(_ context.Context, queue string) ([]administration.Job, error) {
	f.record("jobs", queue)
	return f.jobs, f.err
}

func (f *fakeSystem) Reports(context.Context) ([]administration.Report, error) {
	f.record("reports")
	return f.reports, f.err
}

func (f *fakeSystem) Digests(context.Context) ([]administration.ShardDigests, error) {
	f.record("digests")
	return f.digests, f.err
}

func (f *fakeSystem) Runners(context.Context) ([]administration.Runner, error) {
	f.record("runners")
	return f.runners, f.err
}

func (f *fakeSystem) Drain(_ context.Context, node string) (int, error) {
	f.record("drain", node)
	return f.remaining, f.err
}

func (f *fakeSystem) Backup(context.Context) (*archive.Archive, error) {
	f.record("backup")
	return f.backup, f.err
}

func (f *fakeSystem) Close() { f.closed = true }

// outcome is the exit status and output of a command.
type outcome struct {
	status   int
	out, err string
}

// runCommand runs a command line, split at spaces, against a fake system. Addresses without a colon are invalid.
func runCommand(system *fakeSystem, input, commandLine string) outcome {
	var out, err bytes.Buffer
	std := Streams{In: strings.NewReader(input), Out: &out, Err: &err}
	dial := func(addresses []string) (administrator, error) {
		for _, address := range addresses {
			if !strings.Contains(address, ":") {
				return nil, errors.New("not an address")
			}
		}
		system.addresses = addresses
		return system, nil
	}
	noVariables := func(string) string { return "" }
	return outcome{mainWith(strings.Fields(commandLine), std, noVariables, dial), out.String(), err.String()}
}

// writeTestFile writes a file that is removed after the test, and returns its path.
func writeTestFile(name, content string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
	return path
}

// newBackup returns a backup of an empty system.
func newBackup() *archive.Archive {
	backup := &archive.Archive{}
	for id := uint32(1); id <= protocol.JobShards; id++ {
		data, err := jobs.New(jobs.Options{}).Snapshot()
		Expect(err).NotTo(HaveOccurred())
		backup.Shards = append(backup.Shards, archive.Shard{ID: id, Index: 3, Term: 2, Data: data})
	}
	data, err := configuration.NewState().Snapshot()
	Expect(err).NotTo(HaveOccurred())
	backup.Shards = append(backup.Shards, archive.Shard{ID: uint32(protocol.ConfigurationShard), Index: 4, Term: 2, Data: data})
	return backup
}

// newReports returns the reports of the control processes "a" and "b"; the third, "c", does not answer. "b" owns shard 0,
// the configuration. Shard 1 has no owner.
func newReports() []administration.Report {
	members := []administration.MemberReport{
		{Member: protocol.Member{ID: 1, Node: "a", Zone: "z1", Address: "10.0.0.1:7380"}},
		{Member: protocol.Member{ID: 2, Node: "b", Zone: "z2", Address: "10.0.0.2:7380"}},
		{Member: protocol.Member{ID: 3, Node: "c", Zone: "z3", Address: "10.0.0.3:7380"}, Learner: true},
	}
	owned := []administration.MemberReport{members[0], members[1], members[2]}
	owned[0].Entries, owned[2].Entries = 2, 40
	return []administration.Report{
		{Node: "a", Zone: "z1", Address: "10.0.0.1:7380", Identity: 1, UptimeMs: 61_000, LogBytes: 5000, MemoryBytes: 20_000_000,
			Groups: []administration.GroupReport{
				{Shard: 0, Term: 4, Leader: 2, Commit: 38, Applied: 38, Last: 38, Members: members},
				{Shard: 1, Term: 2, Commit: 7, Applied: 7, Last: 7, Members: members},
			}},
		{Node: "b", Zone: "z2", Address: "10.0.0.2:7380", Identity: 2, UptimeMs: 5_000, Draining: true,
			Groups: []administration.GroupReport{
				{Shard: 0, Term: 4, Leader: 2, Owner: true, Commit: 40, Applied: 40, Last: 40, Members: owned,
					StateBytes: 1200, LogBytes: 300, ConfigurationVersion: 12},
				{Shard: 1, Term: 2, Commit: 5, Applied: 5, Last: 7, Members: members},
			}},
	}
}

// newStateDir creates the folder of a stopped control process with an empty state, and returns its path.
func newStateDir() string {
	dir := filepath.Join(GinkgoT().TempDir(), "data")
	Expect(newBackup().Restore(dir, archive.Process{Node: "a", Zone: "z", Address: "10.0.0.1:7380"})).To(Succeed())
	return dir
}
