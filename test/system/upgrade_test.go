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

// oldProgram is the path of the program that the upgrade starts from. CI leaves it empty: the upgrade is then from the
// current program to itself, and the fixtures of package fixturetest stand for the frames and files of an earlier version.
// To upgrade from the program of an earlier version:
//
//	go test ./test/system -ginkgo.focus upgrade -old-program FILE
var oldProgram = flag.String("old-program", "", "path of the program of an earlier version to upgrade from; the present program if empty")

// upgradedProcesses are the names of the processes in the order in which the test replaces them. It replaces one process at
// a time, as docs/operations.md requires it of operators for control processes.
var upgradedProcesses = []string{"control-1", "control-2", "control-3", "agent-1", "agent-2", "frontend-1", "frontend-2"}

const (
	beforeUpgradeJob = "/jobs/00000000000000b1"
	duringUpgradeJob = "/jobs/00000000000000b2"
	cancelledJob     = "/jobs/00000000000000b3"
	endlessJob       = "/jobs/00000000000000b4"
)

// shortSteps are the steps of a job that completes. The job has shortTasks tasks; the last two are a gang that depends on
// the first three. endlessSteps are the steps of a job with endlessTasks tasks that runs until it is cancelled.
const (
	shortSteps = `[{"count":3,"cpu":500,"memoryLimitMb":64},` +
		`{"count":2,"cpu":100,"gang":true,"checkpoints":true,"dependsOn":[0]}]`
	endlessSteps = `[{"count":2,"cpu":500,"memoryLimitMb":64,"longRunning":true}]`

	shortTasks   = 5
	endlessTasks = 2
)

// install copies a program to a path by an atomic rename, as a package manager does. Processes that already run the file at
// the path keep the old one until they are started again.
func install(program, path string) {
	GinkgoHelper()
	content, err := os.ReadFile(program)
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(path+".new", content, 0o700)).To(Succeed())
	Expect(os.Rename(path+".new", path)).To(Succeed())
}

// replace sends SIGTERM to a process and waits until `localcluster` has started it again from the program that is installed
// now. After the restart of a control process it also waits until `members` shows all three as voters.
func (s *localSystem) replace(name string) {
	GinkgoHelper()
	Expect(syscall.Kill(s.pids()[name], syscall.SIGTERM)).To(Succeed())
	Eventually(s.session.Out, waitTimeout).Should(gbytes.Say(name + " ended: .*; it is started again"))
	if strings.HasPrefix(name, "control") {
		Eventually(func() string { return s.mustRun("", "members") }, waitTimeout, pollInterval).Should(And(
			MatchRegexp("control-1 .* voter "), MatchRegexp("control-2 .* voter "), MatchRegexp("control-3 .* voter ")))
	}
}

// startedTasks returns the number of task starts that all shards together have committed.
func (s *localSystem) startedTasks() int {
	GinkgoHelper()
	var shards []struct{ Counters *struct{ Started int } }
	started := 0
	Eventually(func() error {
		shards, started = nil, 0
		return json.Unmarshal([]byte(s.mustRun("", "shards -o json")), &shards)
	}, waitTimeout, pollInterval).Should(Succeed(), s.logs)
	for _, shard := range shards {
		if shard.Counters != nil {
			started += shard.Counters.Started
		}
	}
	return started
}

// cancelUnknown cancels a job that was never submitted. No frontend accepts the job after that, and the replicas of the
// shards stay equal. The cancel is a client's, or the operator's command of the new program: a frontend and an owner that
// are both of the old program record nothing, while one of the new program is enough. Only a process of the old program may
// ask the client to submit again.
func (s *localSystem) cancelUnknown(id string, byOperator bool) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		if byOperator {
			_, err := s.command("", "jobs cancel "+id)
			g.Expect(err).To(MatchError(ContainSubstring("gone")))
			return
		}
		status, answer := s.request(1, http.MethodDelete, "/jobs/"+id, "")
		g.Expect(status).To(Equal(http.StatusGone), answer)
	}, waitTimeout, pollInterval).Should(Succeed(), s.logs)
	for frontend := range 2 {
		status, answer := s.request(frontend+1, http.MethodPost, "/jobs/"+id, `{"spec":"sleep 100ms","steps":`+shortSteps+`}`)
		permitted := []int{http.StatusGone}
		if *oldProgram != "" {
			permitted = append(permitted, http.StatusServiceUnavailable)
		}
		Expect(status).To(BeElementOf(permitted), answer)
	}
	s.mustRun("", "shards --digests") // it fails while the digests of a shard differ
}

var _ = Describe("an upgrade that replaces one process after another", func() {
	It("loses no job, starts no task twice and accepts no cancelled job while old and new processes run together", func() {
		dir := GinkgoT().TempDir()
		installed := filepath.Join(dir, "ospreypond")
		old := *oldProgram
		if old == "" {
			old = program
		}
		install(old, installed)
		s := startLocalProgram(installed, filepath.Join(dir, "system"))

		s.submit(1, beforeUpgradeJob, "sleep 100ms", shortSteps)
		s.waitForState(2, beforeUpgradeJob, "completed")
		s.submit(1, duringUpgradeJob, "sleep 12s", shortSteps)
		s.submit(2, cancelledJob, "last", endlessSteps)
		s.submit(2, endlessJob, "last", endlessSteps)
		for _, job := range []string{duringUpgradeJob, cancelledJob, endlessJob} {
			s.waitForState(1, job, "running")
		}
		s.mustRun("", "jobs cancel "+filepath.Base(cancelledJob))
		tasks := 2*shortTasks + 2*endlessTasks

		install(program, installed)
		for i, name := range upgradedProcesses {
			By("replacing " + name)
			s.replace(name)
			job := fmt.Sprintf("/jobs/00000000000000c%d", i)
			s.submit(1+i%2, job, "sleep 100ms", shortSteps)
			s.waitForState(2-i%2, job, "completed")
			s.waitForState(1+i%2, beforeUpgradeJob, "completed")
			s.waitForState(2-i%2, cancelledJob, "cancelled")
			s.waitForState(1+i%2, endlessJob, "running")
			tasks += shortTasks
			s.cancelUnknown(fmt.Sprintf("00000000000000d%d", i), name == "control-1" || name == "control-2")
		}
		for i := range upgradedProcesses {
			s.expectWithdrawn(fmt.Sprintf("/jobs/00000000000000d%d", i))
		}

		s.waitForState(1, duringUpgradeJob, "completed")
		s.waitForState(2, endlessJob, "running")
		Expect(s.startedTasks()).To(Equal(tasks), s.logs)
		status, answer := s.request(1, http.MethodDelete, endlessJob, "")
		Expect(status).To(Equal(http.StatusOK), answer)
		s.waitForState(2, endlessJob, "cancelled")
		s.interrupt()
		for _, control := range []string{"control-1", "control-2", "control-3"} {
			Expect(filepath.Join(s.dir, control, "data")).To(BeADirectory())
			out, err := runProgram("state", "verify", filepath.Join(s.dir, control, "data"))
			Expect(err).NotTo(HaveOccurred(), out)
			Expect(out).To(HaveSuffix("no faults\n"))
		}
	})
})
