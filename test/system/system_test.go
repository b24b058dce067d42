// Package system tests a whole system as processes, as `localcluster` runs it.
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
	startPatience = 60 * time.Second // on a machine that is busy with all other tests
	patience      = 40 * time.Second
	pollEvery     = 50 * time.Millisecond
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

// localSystem is a running `localcluster`.
type localSystem struct {
	dir     string
	network string
	session *gexec.Session
}

// startLocal starts one of the program under test.
func startLocal(dir string, flags ...string) *localSystem {
	GinkgoHelper()
	return startLocalProgram(program, dir, flags...)
}

// startLocalProgram starts one in a network of its own, and waits until it says that it is ready. Its processes run the file
// that is at the path when they start.
func startLocalProgram(program, dir string, flags ...string) *localSystem {
	GinkgoHelper()
	s := &localSystem{dir: dir, network: fmt.Sprintf("127.%d.%d", 80+rand.IntN(100), rand.IntN(250))}
	arguments := append([]string{"--program", program, "--dir", dir, "--network", s.network}, flags...)
	session, err := gexec.Start(exec.CommandContext(context.Background(), localProgram, arguments...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	s.session = session
	DeferCleanup(s.kill)
	Eventually(session, startPatience).Should(gbytes.Say("Ctrl-C ends all"), s.logs)
	return s
}

// kill ends the system if the test did not; its processes end with it.
func (s *localSystem) kill() {
	if s.session.ExitCode() < 0 {
		s.session.Terminate().Wait(patience)
	}
}

// interrupt ends the system as Ctrl-C does.
func (s *localSystem) interrupt() {
	GinkgoHelper()
	pids := s.pids()
	s.session.Interrupt()
	Eventually(s.session, patience).Should(gexec.Exit(0))
	for name, pid := range pids {
		Expect(syscall.Kill(pid, 0)).To(Equal(syscall.ESRCH), "%s goes on", name)
	}
}

// logs are the ends of all logs, for failures.
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

// pids returns the processes as they were started first.
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

// command runs a command on the system; words are parted by spaces.
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

// runProgram runs a command that needs no running system, and returns all that it says.
func runProgram(arguments ...string) (string, error) {
	out, err := exec.CommandContext(context.Background(), program, arguments...).CombinedOutput()
	return string(out), err
}

// succeed runs a command, that may be given again, until it works.
func (s *localSystem) succeed(input, line string) (out string) {
	GinkgoHelper()
	Eventually(func() (err error) {
		out, err = s.command(input, line)
		return err
	}, patience, pollEvery).Should(Succeed(), s.logs)
	return out
}

// ask sends a client's request to a frontend, and returns the status and the body.
func (s *localSystem) ask(frontend int, method, path, body string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), method, fmt.Sprintf("http://%s.%d:8149%s", s.network, 20+frontend, path), strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "demo.local"
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
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
		status, answer := s.ask(frontend, http.MethodPost, path, body)
		g.Expect(status).To(Equal(http.StatusOK), answer)
	}, patience, pollEvery).Should(Succeed(), s.logs)
}

// becomes waits for a job's state.
func (s *localSystem) becomes(frontend int, path, state string) {
	GinkgoHelper()
	Eventually(func() string {
		_, answer := s.ask(frontend, http.MethodGet, path, "")
		return answer
	}, patience, pollEvery).Should(MatchJSON(fmt.Sprintf(`{"state":%q}`, state)), s.logs)
}

// ownerOf returns the process that owns the shard of jobs in which something happened.
func (s *localSystem) ownerOf() string {
	GinkgoHelper()
	var shards []struct {
		Owner    string
		Counters *struct{ Taken int }
	}
	Expect(json.Unmarshal([]byte(s.succeed("", "shards -o json")), &shards)).To(Succeed()) // fails while one has no owner
	for _, shard := range shards {
		if shard.Counters != nil && shard.Counters.Taken > 0 {
			return shard.Owner
		}
	}
	Fail("no shard has taken a job")
	return ""
}

const (
	firstJob  = "/jobs/00000000000000a1"
	movedJob  = "/more/00000000000000a2"
	afterKill = "/jobs/00000000000000a3"
	lastJob   = "/jobs/00000000000000a4"
)

var _ = Describe("a local system", func() {
	It("does jobs, takes a configuration, outlives a control process, and is restored from a backup", func() {
		s := startLocal(filepath.Join(GinkgoT().TempDir(), "system"))

		By("doing a job, handed in and asked for at two frontends")
		s.submitJob(1, firstJob, "sleep 100ms")
		s.becomes(2, firstJob, "completed")

		By("taking a configuration")
		added := `{"version":7,"upsert":{"routes":[{"name":"more","host":"demo.local","pathPrefix":"/more/","kind":"non_idempotent",` +
			`"timeoutMs":3000,"targetLatencyMs":2000,"priority":1,"service":"demo","maxAttempts":3,"extension":2}]}}`
		Expect(s.succeed(added, "config diff -")).To(ContainSubstring("+ routes more"))
		Expect(s.succeed(added, "config apply - --base 1")).To(Equal("version 7 is in force, built on 1\n"))
		s.submitJob(1, movedJob, "sleep 100ms")
		s.becomes(1, movedJob, "completed")

		By("going on while the owner of the jobs is killed")
		owner := s.ownerOf()
		Expect(syscall.Kill(s.pids()[owner], syscall.SIGKILL)).To(Succeed())
		s.submitJob(2, afterKill, "sleep 100ms")
		s.becomes(1, afterKill, "completed")
		s.becomes(2, firstJob, "completed")
		Eventually(s.session.Out, patience).Should(gbytes.Say(owner + " ended: signal: killed; it is started again"))
		s.succeed("", "members") // fails while one is silent

		By("holding a job that lasts, until it is cancelled")
		s.submitJob(1, lastJob, "last")
		s.becomes(1, lastJob, "running")
		Expect(s.succeed("", "jobs list --queue demo.local/jobs")).To(ContainSubstring("00000000000000a4"))
		Expect(s.succeed("", "runners")).To(ContainSubstring("ready"))
		Expect(s.succeed("", "jobs cancel 00000000000000a4")).To(Equal("cancelled\n"))

		By("giving a backup, and ending in order")
		backup := filepath.Join(GinkgoT().TempDir(), "x.backup")
		Expect(s.succeed("", "backup "+backup)).To(ContainSubstring("5 shards"))
		s.interrupt()
		for _, control := range []string{"control-1", "control-2", "control-3"} {
			out, err := runProgram("state", "verify", filepath.Join(s.dir, control, "data"))
			Expect(err).NotTo(HaveOccurred(), out)
			Expect(out).To(HaveSuffix("no faults\n"))
		}

		By("going on from the backup in new processes")
		again := startLocal(filepath.Join(GinkgoT().TempDir(), "again"), "--restore", backup)
		again.becomes(1, firstJob, "completed")
		again.becomes(2, lastJob, "cancelled")
		again.submitJob(1, "/more/00000000000000a5", "sleep 100ms")
		again.becomes(2, "/more/00000000000000a5", "completed")
		Eventually(func() string { return again.succeed("", "members") }, patience, pollEvery).Should(And(
			MatchRegexp("control-1 .* voter "), MatchRegexp("control-2 .* voter "), MatchRegexp("control-3 .* voter ")))
		again.interrupt()
	})
})
