package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"ospreypond/internal/cluster/administration"
	"ospreypond/internal/cluster/protocol"
)

// jobIDPattern matches the ids of jobs.
var jobIDPattern = regexp.MustCompile("^[0-9a-fA-F]{16}$")

// jobReport is the JSON output of the commands for one job. 'jobs submit' leaves out the state.
type jobReport struct {
	ID    string `json:"id"`
	State string `json:"state,omitempty"`
}

// checkJobID returns a usage error unless id has the form of a job's id.
func checkJobID(id string) error {
	if !jobIDPattern.MatchString(id) {
		return usageError{fmt.Errorf("%q is not a job's id, which has 16 hex digits", id)}
	}
	return nil
}

// newJobID returns a random id for a job.
func newJobID() (string, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(random[:]), nil
}

func (s *clusterCommands) newJobsSubmit() *cobra.Command {
	var queue, id string
	c := &cobra.Command{Use: "submit FILE", Short: "Submit a job", Args: exactArgs("FILE"),
		Long: "Submit a job (- for standard input): JSON with \"spec\" and \"steps\", as clients send it. The queue is named by the\n" +
			"host and the path prefix of its route. Without --id a random one is used; it is printed. Submitting the same id\n" +
			"again is safe: it stays one job.",
		Example: "  echo '{\"spec\":\"sleep 2s\",\"steps\":[{\"count\":3,\"cpu\":500,\"memoryLimitMb\":64}]}' |\n" +
			"    ospreypond jobs submit - --queue demo.local/jobs/ --control 127.77.0.11:7380"}
	s.onSystem(c, func(ctx context.Context, flags *clusterFlags, system administrator, args []string) error {
		if queue == "" {
			return usageError{fmt.Errorf("--queue is missing")}
		}
		if id == "" {
			var err error
			if id, err = newJobID(); err != nil {
				return err
			}
		}
		if err := checkJobID(id); err != nil {
			return usageError{fmt.Errorf("--id: %w", err)}
		}
		job, err := s.readJob(args[0])
		if err != nil {
			return err
		}
		if err := system.Submit(ctx, queue, id, job); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		return flags.print(jobReport{ID: id}, func(w io.Writer) { writef(w, "%s\n", id) })
	})
	c.Flags().StringVar(&queue, "queue", "", "the queue's `HOST/PREFIX`")
	c.Flags().StringVar(&id, "id", "", "the job's `id`, 16 hex digits; default: a random one")
	return c
}

// readJob reads a job from a file, or from standard input. It checks only that it is JSON
// with steps; the system checks the rest.
func (s *clusterCommands) readJob(name string) (*protocol.JobSpec, error) {
	body, err := s.readInput(name)
	if err != nil {
		return nil, err
	}
	job := &protocol.JobSpec{}
	if err := json.Unmarshal(body, job); err != nil {
		return nil, fmt.Errorf("%s is not a job: %w", name, err)
	}
	if len(job.Steps) == 0 {
		return nil, fmt.Errorf("%s is not a job: steps is missing or empty", name)
	}
	return job, nil
}

func (s *clusterCommands) newJobsStatus() *cobra.Command {
	return s.onSystem(&cobra.Command{Use: "status ID", Short: "Print a job's state", Args: exactArgs("ID"),
		Long:    "Print a job's state: queued, running, completed, failed or cancelled.",
		Example: "  ospreypond jobs status 5c0e7a21d94b36f8 --control 127.77.0.11:7380"},
		func(ctx context.Context, flags *clusterFlags, system administrator, args []string) error {
			if err := checkJobID(args[0]); err != nil {
				return err
			}
			state, err := system.Status(ctx, args[0])
			if err != nil {
				return err
			}
			return flags.print(jobReport{ID: args[0], State: state}, func(w io.Writer) { writef(w, "%s\n", state) })
		})
}

func (s *clusterCommands) newJobsCancel() *cobra.Command {
	return s.onSystem(&cobra.Command{Use: "cancel ID", Short: "Cancel a job", Args: exactArgs("ID"),
		Long:    "Cancel a job and stop its tasks. A job that has ended does not change.",
		Example: "  ospreypond jobs cancel 5c0e7a21d94b36f8 --control 127.77.0.11:7380"},
		func(ctx context.Context, flags *clusterFlags, system administrator, args []string) error {
			if err := checkJobID(args[0]); err != nil {
				return err
			}
			if err := system.Cancel(ctx, args[0]); err != nil {
				return err
			}
			state, err := system.Status(ctx, args[0])
			if err != nil {
				return err
			}
			return flags.print(jobReport{ID: args[0], State: state}, func(w io.Writer) { writef(w, "%s\n", state) })
		})
}

func (s *clusterCommands) newJobsList() *cobra.Command {
	var queue string
	c := &cobra.Command{Use: "list", Short: "List the jobs whose state is retained", Args: exactArgs(),
		Long: "List the jobs that have not ended, and those that ended a short time ago. TASKS counts the tasks of the repetitions\n" +
			"under way: done/running/total.",
		Example: "  ospreypond jobs list --queue demo.local/jobs/ --control 127.77.0.11:7380\n" +
			"  ospreypond jobs list -o json | jq '.[] | select(.state==\"failed\")'"}
	s.onSystem(c, func(ctx context.Context, flags *clusterFlags, system administrator, _ []string) error {
		jobs, err := system.Jobs(ctx, queue)
		if err != nil {
			return err
		}
		return flags.print(jobViews(jobs), func(w io.Writer) { printTable(w, jobRows(jobs)) })
	})
	c.Flags().StringVar(&queue, "queue", "", "list only jobs of the queue `HOST/PREFIX`")
	return c
}

// jobView is a job in the JSON output of 'jobs list'.
type jobView struct {
	ID       string     `json:"id"`
	Queue    string     `json:"queue"`
	Service  string     `json:"service"`
	State    string     `json:"state"`
	Accepted time.Time  `json:"accepted"`
	Ended    *time.Time `json:"ended,omitempty"`
	Done     int        `json:"done"`    // tasks that are done, of the repetitions in progress
	Running  int        `json:"running"` // tasks that are running
	Tasks    int        `json:"tasks"`   // all tasks of these repetitions
}

func jobViews(jobs []administration.Job) []jobView {
	views := make([]jobView, 0, len(jobs))
	for _, job := range jobs {
		view := jobView{ID: job.ID, Queue: job.Queue, Service: job.Service, State: job.State,
			Accepted: time.UnixMilli(job.AcceptedMs).UTC(), Done: job.Done, Running: job.Running, Tasks: job.Tasks}
		if job.EndedMs > 0 {
			ended := time.UnixMilli(job.EndedMs).UTC()
			view.Ended = &ended
		}
		views = append(views, view)
	}
	return views
}

func jobRows(jobs []administration.Job) [][]string {
	rows := [][]string{{"ID", "QUEUE", "SERVICE", "STATE", "ACCEPTED", "TASKS"}}
	for _, job := range jobs {
		tasks := "-"
		if job.Tasks > 0 {
			tasks = strconv.Itoa(job.Done) + "/" + strconv.Itoa(job.Running) + "/" + strconv.Itoa(job.Tasks)
		}
		accepted := time.UnixMilli(job.AcceptedMs).UTC().Format("2006-01-02T15:04:05Z")
		rows = append(rows, []string{job.ID, job.Queue, job.Service, job.State, accepted, tasks})
	}
	return rows
}
