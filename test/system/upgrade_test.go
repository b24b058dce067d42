package system

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
)

// oldProgram is what an upgrade begins with. The frames and files of the version that the fixtures are of (see package
// fixturetest) stand for it in CI; by hand the program itself can be given:
//
//	go test ./test/system -ginkgo.focus upgrade -old-program FILE
var oldProgram = flag.String("old-program", "", "program of an earlier version, to upgrade from; else the present one")

// upgradedProcesses are the processes in the order in which they are replaced, as docs/operations.md says.
var upgradedProcesses = []string{"control-1", "control-2", "control-3", "agent-1", "agent-2", "frontend-1", "frontend-2"}

const (
	beforeUpgrade = "/jobs/00000000000000b1"
	overUpgrade   = "/jobs/00000000000000b2"
	cancelledJob  = "/jobs/00000000000000b3"
	lastingJob    = "/jobs/00000000000000b4"
)

// shortSteps and lastingSteps are the steps of the jobs: tasks with an end and a gang after them; tasks without an end.
const (
	shortSteps = `[{"count":3,"cpu":500,"memoryLimitMb":64},` +
		`{"count":2,"cpu":100,"gang":true,"checkpoints":true,"dependsOn":[0]}]`
	lastingSteps = `[{"count":2,"cpu":500,"memoryLimitMb":64,"longRunning":true}]`

	shortTasks   = 5
	lastingTasks = 2
)

// install puts a program at a path in one step, as a package manager does: processes that run it go on with the old one.
func install(program, path string) {
	GinkgoHelper()
	content, err := os.ReadFile(program)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(path+".new", content, 0o700)).To(Succeed())
	Expect(os.Rename(path+".new", path)).To(Succeed())
}

// replace ends a process in order and waits until it serves again, by then with the program that is installed now.
func (s *localSystem) replace(name string) {
	GinkgoHelper()
	Expect(syscall.Kill(s.pids()[name], syscall.SIGTERM)).To(Succeed())
	Eventually(s.session.Out, patience).Should(gbytes.Say(name + " ended: .*; it is started again"))
	if strings.HasPrefix(name, "control") {
		Eventually(func() string { return s.succeed("", "members") }, patience, pollEvery).Should(And(
			MatchRegexp("control-1 .* voter "), MatchRegexp("control-2 .* voter "), MatchRegexp("control-3 .* voter ")))
	}
}

// startedTasks returns how many starts of tasks all shards have committed.
func (s *localSystem) startedTasks() int {
	GinkgoHelper()
	var shards []struct{ Counters *struct{ Started int } }
	started := 0
	Eventually(func() error {
		shards, started = nil, 0
		return json.Unmarshal([]byte(s.succeed("", "shards -o json")), &shards)
	}, patience, pollEvery).Should(Succeed(), s.logs)
	for _, shard := range shards {
		if shard.Counters != nil {
			started += shard.Counters.Started
		}
	}
	return started
}

var _ = Describe("an upgrade, process by process", func() {
	It("loses no job and starts no task twice while old and new processes run together", func() {
		dir := GinkgoT().TempDir()
		installed := filepath.Join(dir, "ospreypond")
		old := *oldProgram
		if old == "" {
			old = program
		}
		install(old, installed)
		s := startLocalProgram(installed, filepath.Join(dir, "system"))

		s.submit(1, beforeUpgrade, "sleep 100ms", shortSteps)
		s.becomes(2, beforeUpgrade, "completed")
		s.submit(1, overUpgrade, "sleep 12s", shortSteps)
		s.submit(2, cancelledJob, "last", lastingSteps)
		s.submit(2, lastingJob, "last", lastingSteps)
		for _, job := range []string{overUpgrade, cancelledJob, lastingJob} {
			s.becomes(1, job, "running")
		}
		s.succeed("", "jobs cancel "+filepath.Base(cancelledJob))
		tasks := 2*shortTasks + 2*lastingTasks

		install(program, installed)
		for i, name := range upgradedProcesses {
			By("replacing " + name)
			s.replace(name)
			job := fmt.Sprintf("/jobs/00000000000000c%d", i)
			s.submit(1+i%2, job, "sleep 100ms", shortSteps)
			s.becomes(2-i%2, job, "completed")
			s.becomes(1+i%2, beforeUpgrade, "completed")
			s.becomes(2-i%2, cancelledJob, "cancelled")
			s.becomes(1+i%2, lastingJob, "running")
			tasks += shortTasks
		}

		s.becomes(1, overUpgrade, "completed")
		s.becomes(2, lastingJob, "running")
		Expect(s.startedTasks()).To(Equal(tasks), s.logs)
		status, answer := s.ask(1, http.MethodDelete, lastingJob, "")
		Expect(status).To(Equal(http.StatusOK), answer)
		s.becomes(2, lastingJob, "cancelled")
		s.interrupt()
		for _, control := range []string{"control-1", "control-2", "control-3"} {
			Expect(filepath.Join(s.dir, control, "data")).To(BeADirectory())
			out, err := runProgram("state", "verify", filepath.Join(s.dir, control, "data"))
			Expect(err).NotTo(HaveOccurred(), out)
			Expect(out).To(HaveSuffix("no faults\n"))
		}
	})
})
