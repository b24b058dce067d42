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

var jobName = regexp.MustCompile("^[0-9a-fA-F]{16}$")

// jobReport is what a command on one job prints as JSON.
type jobReport struct {
	ID    string `json:"id"`
	State string `json:"state,omitempty"`
}

// checkJobName tells whether an argument can name a job.
func checkJobName(id string) error {
	if !jobName.MatchString(id) {
		return usageError{fmt.Errorf("%q is no job: it has 16 hex digits", id)}
	}
	return nil
}

func drawJobName() (string, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(random[:]), nil
}

func (s *systemCommands) newJobsSubmit() *cobra.Command {
	var queue, id string
	c := &cobra.Command{Use: "submit FILE", Short: "Hand a job in", Args: needs("FILE"),
		Long: "Hand a job in (- for the standard input): JSON with \"spec\" and \"steps\", as clients send it. The queue is named\n" +
			"by the host and the path prefix of its route. Without --id one is drawn and printed. Handing the same id in again\n" +
			"is safe: it stays one job.",
		Example: "  echo '{\"spec\":\"sleep 2s\",\"steps\":[{\"count\":3,\"cpu\":500,\"memoryLimitMb\":64}]}' |\n" +
			"    ospreypond jobs submit - --queue demo.local/jobs/ --control 127.77.0.11:7380"}
	s.connect(c, func(ctx context.Context, made *connection, system administrator, args []string) error {
		if queue == "" {
			return usageError{fmt.Errorf("--queue is missing")}
		}
		if id == "" {
			var err error
			if id, err = drawJobName(); err != nil {
				return err
			}
		}
		if err := checkJobName(id); err != nil {
			return usageError{fmt.Errorf("--id: %w", err)}
		}
		job, err := s.readJob(args[0])
		if err != nil {
			return err
		}
		if err := system.Submit(ctx, queue, id, job); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		return made.print(jobReport{ID: id}, func(w io.Writer) { fmt.Fprintln(w, id) })
	})
	c.Flags().StringVar(&queue, "queue", "", "the queue's `HOST/PREFIX`")
	c.Flags().StringVar(&id, "id", "", "the job's `name`, 16 hex digits")
	return c
}

func (s *systemCommands) readJob(name string) (*protocol.JobSpec, error) {
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

func (s *systemCommands) newJobsStatus() *cobra.Command {
	return s.connect(&cobra.Command{Use: "status ID", Short: "Print a job's state", Args: needs("ID"),
		Long:    "Print a job's state: queued, running, completed, failed or cancelled.",
		Example: "  ospreypond jobs status 5c0e7a21d94b36f8 --control 127.77.0.11:7380"},
		func(ctx context.Context, c *connection, system administrator, args []string) error {
			if err := checkJobName(args[0]); err != nil {
				return err
			}
			state, err := system.Status(ctx, args[0])
			if err != nil {
				return err
			}
			return c.print(jobReport{ID: args[0], State: state}, func(w io.Writer) { fmt.Fprintln(w, state) })
		})
}

func (s *systemCommands) newJobsCancel() *cobra.Command {
	return s.connect(&cobra.Command{Use: "cancel ID", Short: "Cancel a job", Args: needs("ID"),
		Long:    "Cancel a job. Its tasks are stopped; a job that has ended stays as it is.",
		Example: "  ospreypond jobs cancel 5c0e7a21d94b36f8 --control 127.77.0.11:7380"},
		func(ctx context.Context, c *connection, system administrator, args []string) error {
			if err := checkJobName(args[0]); err != nil {
				return err
			}
			if err := system.Cancel(ctx, args[0]); err != nil {
				return err
			}
			state, err := system.Status(ctx, args[0])
			if err != nil {
				return err
			}
			return c.print(jobReport{ID: args[0], State: state}, func(w io.Writer) { fmt.Fprintln(w, state) })
		})
}

func (s *systemCommands) newJobsList() *cobra.Command {
	var queue string
	c := &cobra.Command{Use: "list", Short: "List the jobs whose state is kept", Args: needs(),
		Long: "List the jobs that have not ended, and those that have ended a short time ago. TASKS counts those of the times\n" +
			"that are under way: done, running, all.",
		Example: "  ospreypond jobs list --queue demo.local/jobs/ --control 127.77.0.11:7380\n" +
			"  ospreypond jobs list -o json | jq '.[] | select(.state==\"failed\")'"}
	s.connect(c, func(ctx context.Context, made *connection, system administrator, _ []string) error {
		jobs, err := system.Jobs(ctx, queue)
		if err != nil {
			return err
		}
		return made.print(jobViews(jobs), func(w io.Writer) { table(w, jobRows(jobs)) })
	})
	c.Flags().StringVar(&queue, "queue", "", "only those of the queue `HOST/PREFIX`")
	return c
}

// jobView is a job in JSON.
type jobView struct {
	ID       string     `json:"id"`
	Queue    string     `json:"queue"`
	Service  string     `json:"service"`
	State    string     `json:"state"`
	Accepted time.Time  `json:"accepted"`
	Ended    *time.Time `json:"ended,omitempty"`
	Done     int        `json:"done"`
	Running  int        `json:"running"`
	Tasks    int        `json:"tasks"`
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
