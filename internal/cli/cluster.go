package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/protocol"
)

// administrator has the methods of administration.Client that the commands call, so that tests can replace the client.
type administrator interface {
	ReadConfiguration(ctx context.Context) (version uint64, body []byte, err error)
	Configure(ctx context.Context, kind string, base uint64, body []byte) (version uint64, err error)
	Submit(ctx context.Context, queue, id string, job *protocol.JobSpec) error
	Status(ctx context.Context, id string) (state string, err error)
	Cancel(ctx context.Context, id string) error
	Jobs(ctx context.Context, queue string) ([]administration.Job, error)
	Reports(ctx context.Context) ([]administration.Report, error)
	Digests(ctx context.Context) ([]administration.ShardDigests, error)
	Runners(ctx context.Context) ([]administration.Runner, error)
	Drain(ctx context.Context, node string) (remaining int, err error)
	Backup(ctx context.Context) (*archive.Archive, error)
	Close()
}

// dialer connects to a system. addresses are the internal addresses of its control processes.
type dialer func(addresses []string) (administrator, error)

func dialSystem(addresses []string) (administrator, error) { return administration.Dial(addresses) }

// clusterCommands has the methods that create the operators' commands for the cluster scheduler.
type clusterCommands struct {
	std    Streams
	getenv func(string) string
	dial   dialer
}

func newClusterCommands(std Streams, getenv func(string) string, dial dialer) []*cobra.Command {
	s := &clusterCommands{std: std, getenv: getenv, dial: dial}
	return []*cobra.Command{
		commandGroup("config", "Check, read and change the configuration of the cluster scheduler",
			s.newConfigCheck(), s.newConfigGet(), s.newConfigApply(), s.newConfigDiff()),
		commandGroup("jobs", "Submit, list and cancel jobs",
			s.newJobsSubmit(), s.newJobsStatus(), s.newJobsCancel(), s.newJobsList()),
		s.newMembers(), s.newShards(), s.newRunners(), s.newDrain(),
		s.newBackup(), s.newRestore(),
		commandGroup("state", "Inspect the folder of a stopped control process", s.newStateInspect(), s.newStateVerify()),
	}
}

// readInput reads a file, or standard input if the name is "-".
func (s *clusterCommands) readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(s.std.In)
	}
	return os.ReadFile(name)
}

// exactArgs returns a check that a command has exactly the named arguments.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) < len(names) {
			return fmt.Errorf("%s is missing", names[len(args)])
		}
		if len(args) > len(names) {
			return fmt.Errorf("%q is one argument too many", args[len(names)])
		}
		return nil
	}
}
