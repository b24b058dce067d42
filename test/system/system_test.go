// Package system tests a complete cluster: `localcluster` starts every control process, agent and frontend as a separate
// operating system process, and the specs act on the processes as clients and operators do.
package system

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"
)

func TestSystem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "system")
}

const (
	startTimeout = 60 * time.Second // for the start of a cluster, on a machine that runs all other tests at the same time
	waitTimeout  = 40 * time.Second // for every other condition
	pollInterval = 50 * time.Millisecond
)

var program, localProgram string

var _ = BeforeSuite(func() {
	var err error
	program, err = gexec.Build("ospreypond/cmd/ospreypond", "-race")
	Expect(err).NotTo(HaveOccurred())
	localProgram, err = gexec.Build("ospreypond/cmd/localcluster", "-race")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

// localSystem is a running `localcluster`. Its addresses lie in network, the first three numbers of an IPv4 loopback
// address.
type localSystem struct {
	dir     string
	network string
	session *gexec.Session
}

// startLocal starts a localSystem that runs the program under test.
func startLocal(dir string, flags ...string) *localSystem {
	GinkgoHelper()
	return startLocalProgram(program, dir, flags...)
}

// startLocalProgram starts a localSystem at random loopback addresses and waits until it prints that it is ready. Each of
// its processes runs the file that is at the path program when that process starts, so a test can replace the file in
// between.
func startLocalProgram(program, dir string, flags ...string) *localSystem {
	GinkgoHelper()
	s := &localSystem{dir: dir, network: fmt.Sprintf("127.%d.%d", 80+rand.IntN(100), rand.IntN(250))}
	arguments := append([]string{"--program", program, "--dir", dir, "--network", s.network}, flags...)
	session, err := gexec.Start(exec.CommandContext(context.Background(), localProgram, arguments...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	s.session = session
	DeferCleanup(s.kill)
	Eventually(session, startTimeout).Should(gbytes.Say("Ctrl-C ends all"), s.logs)
	return s
}

// kill terminates `localcluster` and with it its processes, unless the test has already ended it.
func (s *localSystem) kill() {
	if s.session.ExitCode() < 0 {
		s.session.Terminate().Wait(waitTimeout)
	}
}

// interrupt sends SIGINT to `localcluster`, as Ctrl-C does. It expects exit code 0 and that none of the processes that were
// started first still runs.
func (s *localSystem) interrupt() {
	GinkgoHelper()
	pids := s.pids()
	s.session.Interrupt()
	Eventually(s.session, waitTimeout).Should(gexec.Exit(0))
	for name, pid := range pids {
		Expect(syscall.Kill(pid, 0)).To(Equal(syscall.ESRCH), "process %s (pid %d) still runs after the interrupt", name, pid)
	}
}

// logs returns the last 2000 bytes of each process's log, for failure messages.
func (s *localSystem) logs() string {
	var text strings.Builder
	paths, _ := filepath.Glob(filepath.Join(s.dir, "*", "log"))
	for _, path := range paths {
		content, _ := os.ReadFile(path)
		fmt.Fprintf(&text, "%s:\n%s\n", path, content[max(0, len(content)-2000):])
	}
	return text.String()
}

var processLine = regexp.MustCompile(`(?m)^(\S+) .*pid (\d+)`)

// pids returns the process id of each process by its name. A process that was started again keeps the id of its first start,
// because `localcluster` prints ids only then.
func (s *localSystem) pids() map[string]int {
	pids := map[string]int{}
	for _, match := range processLine.FindAllStringSubmatch(string(s.session.Out.Contents()), -1) {
		pids[match[1]], _ = strconv.Atoi(match[2])
	}
	return pids
}

func (s *localSystem) controls() string {
	return fmt.Sprintf("%[1]s.11:7380,%[1]s.12:7380,%[1]s.13:7380", s.network)
}

// command runs the program with the words of line as arguments, and input as standard input, on the control processes of s.
func (s *localSystem) command(input, line string) (string, error) {
	command := exec.CommandContext(context.Background(), program, append(strings.Fields(line), "--control", s.controls(), "--timeout", "10s")...)
	command.Stdin = strings.NewReader(input)
	var out, faults bytes.Buffer
	command.Stdout, command.Stderr = &out, &faults
	err := command.Run()
	if err != nil {
		err = fmt.Errorf("%s: %w: %s", line, err, faults.String())
	}
	return out.String(), err
}

// runProgram runs a command that needs no running cluster, and returns its standard output and standard error together.
func runProgram(arguments ...string) (string, error) {
	out, err := exec.CommandContext(context.Background(), program, arguments...).CombinedOutput()
	return string(out), err
}

// mustRun repeats a command until it exits with 0, and returns its output. The command must be safe to repeat.
func (s *localSystem) mustRun(input, line string) (out string) {
	GinkgoHelper()
	Eventually(func() (err error) {
		out, err = s.command(input, line)
		return err
	}, waitTimeout, pollInterval).Should(Succeed(), s.logs)
	return out
}

// request sends a client's HTTP request to a frontend (1 or 2), and returns the status and the body. Without a complete
// response it returns status 0 and the text of the error.
func (s *localSystem) request(frontend int, method, path, body string) (int, string) {
	return s.requestWithin(5*time.Second, frontend, method, path, body)
}

// requestWithin sends a request as request does. The client closes its connection if there is no response within the
// timeout.
func (s *localSystem) requestWithin(timeout time.Duration, frontend int, method, path, body string) (int, string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return s.requestBy(client, timeout, frontend, method, path, body)
}

// requestBy sends a request as requestWithin does, by a client that may have open connections.
func (s *localSystem) requestBy(client *http.Client, timeout time.Duration, frontend int, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s.%d:8149%s", s.network, 20+frontend, path), strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "demo.local"
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	answer, err := io.ReadAll(response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// submitJob submits a job of two steps until it is accepted.
func (s *localSystem) submitJob(frontend int, path, spec string) {
	GinkgoHelper()
	s.submit(frontend, path, spec, `[{"count":3,"cpu":500,"memoryLimitMb":64},{"count":1,"cpu":100,"dependsOn":[0]}]`)
}

// submit submits a job with these steps until it is accepted.
func (s *localSystem) submit(frontend int, path, spec, steps string) {
	GinkgoHelper()
	body := fmt.Sprintf(`{"spec":%q,"steps":%s}`, spec, steps)
	Eventually(func(g Gomega) {
		status, answer := s.request(frontend, http.MethodPost, path, body)
		g.Expect(status).To(Equal(http.StatusOK), answer)
	}, waitTimeout, pollInterval).Should(Succeed(), s.logs)
}

// waitForState waits until a frontend reports this state for the job at path.
func (s *localSystem) waitForState(frontend int, path, state string) {
	GinkgoHelper()
	Eventually(func() string {
		_, answer := s.request(frontend, http.MethodGet, path, "")
		return answer
	}, waitTimeout, pollInterval).Should(MatchJSON(fmt.Sprintf(`{"state":%q}`, state)), s.logs)
}

// shardOwner returns the control process that owns the first shard that has accepted a job.
func (s *localSystem) shardOwner() string {
	GinkgoHelper()
	var shards []struct {
		Owner    string
		Counters *struct{ Taken int }
	}
	// The command fails while a shard has no owner.
	Expect(json.Unmarshal([]byte(s.mustRun("", "shards -o json")), &shards)).To(Succeed())
	for _, shard := range shards {
		if shard.Counters != nil && shard.Counters.Taken > 0 {
			return shard.Owner
		}
	}
	Fail("no shard counts an accepted job")
	return ""
}

const (
	firstJob        = "/jobs/00000000000000a1"
	addedRouteJob   = "/more/00000000000000a2"
	afterKillJob    = "/jobs/00000000000000a3"
	beforeBackupJob = "/jobs/00000000000000a4"
)

var _ = Describe("a local system", func() {
	It("runs jobs, applies a configuration, survives the kill of a control process, and is restored from a backup", func() {
		s := startLocal(filepath.Join(GinkgoT().TempDir(), "system"))

		By("running a job that is submitted at one frontend and queried at the other")
		s.submitJob(1, firstJob, "sleep 100ms")
		s.waitForState(2, firstJob, "completed")

		By("applying a configuration that adds a route")
		added := `{"version":7,"upsert":{"routes":[{"name":"more","host":"demo.local","pathPrefix":"/more/","kind":"non_idempotent",` +
			`"timeoutMs":3000,"targetLatencyMs":2000,"priority":1,"service":"demo","maxAttempts":3,"extension":2}]}}`
		Expect(s.mustRun(added, "config diff -")).To(ContainSubstring("+ routes more"))
		Expect(s.mustRun(added, "config apply - --base 1")).To(Equal("version 7 is in force, built on 1\n"))
		s.submitJob(1, addedRouteJob, "sleep 100ms")
		s.waitForState(1, addedRouteJob, "completed")

		By("accepting and running jobs after the owner of the first job's shard was killed")
		owner := s.shardOwner()
		Expect(syscall.Kill(s.pids()[owner], syscall.SIGKILL)).To(Succeed())
		s.submitJob(2, afterKillJob, "sleep 100ms")
		s.waitForState(1, afterKillJob, "completed")
		s.waitForState(2, firstJob, "completed")
		Eventually(s.session.Out, waitTimeout).Should(gbytes.Say(owner + " ended: signal: killed; it is started again"))
		s.mustRun("", "members") // the command fails while a control process does not respond

		By("running a job without an end until it is cancelled")
		s.submitJob(1, beforeBackupJob, "last")
		s.waitForState(1, beforeBackupJob, "running")
		Expect(s.mustRun("", "jobs list --queue demo.local/jobs")).To(ContainSubstring("00000000000000a4"))
		Expect(s.mustRun("", "runners")).To(ContainSubstring("ready"))
		Expect(s.mustRun("", "jobs cancel 00000000000000a4")).To(Equal("cancelled\n"))

		By("writing a backup, and exiting with 0 and intact data on an interrupt")
		backup := filepath.Join(GinkgoT().TempDir(), "x.backup")
		Expect(s.mustRun("", "backup "+backup)).To(ContainSubstring("5 shards"))
		s.interrupt()
		for _, control := range []string{"control-1", "control-2", "control-3"} {
			out, err := runProgram("state", "verify", filepath.Join(s.dir, control, "data"))
			Expect(err).NotTo(HaveOccurred(), out)
			Expect(out).To(HaveSuffix("no faults\n"))
		}

		By("restoring the backup into new processes")
		restored := startLocal(filepath.Join(GinkgoT().TempDir(), "again"), "--restore", backup)
		restored.waitForState(1, firstJob, "completed")
		restored.waitForState(2, beforeBackupJob, "cancelled")
		restored.submitJob(1, "/more/00000000000000a5", "sleep 100ms")
		restored.waitForState(2, "/more/00000000000000a5", "completed")
		Eventually(func() string { return restored.mustRun("", "members") }, waitTimeout, pollInterval).Should(And(
			MatchRegexp("control-1 .* voter "), MatchRegexp("control-2 .* voter "), MatchRegexp("control-3 .* voter ")))
		restored.interrupt()
	})
})
