package system

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// expectWithdrawn expects that both frontends reject a submission of the job as cancelled, and don't know the job.
func (s *localSystem) expectWithdrawn(path string) {
	GinkgoHelper()
	for frontend := 1; frontend <= 2; frontend++ {
		Eventually(func(g Gomega) {
			status, answer := s.request(frontend, http.MethodPost, path, `{"spec":"sleep 100ms","steps":`+shortSteps+`}`)
			g.Expect(status).To(Equal(http.StatusGone), answer)
			g.Expect(answer).To(ContainSubstring("the job was cancelled before it was accepted"))
			status, answer = s.request(frontend, http.MethodGet, path, "")
			g.Expect(status).To(Equal(http.StatusGone), answer)
		}, waitTimeout, pollInterval).Should(Succeed(), s.logs)
	}
}

// Guards against a job that runs although its cancel was answered with 410: its submission waits in the socket of a frontend
// that stands still, while its client leaves and cancels the job at another frontend.
var _ = Describe("a job whose cancel was answered with 410 before it was accepted", func() {
	It("never runs, also after all control processes were killed", func() {
		const clients, patience = 8, 300 * time.Millisecond
		path := func(i int) string { return fmt.Sprintf("/jobs/00000000000000e%d", i) }
		s := startLocal(filepath.Join(GinkgoT().TempDir(), "system"))
		frozen := s.pids()["frontend-1"]

		By("submitting jobs at a frontend that stands still, and cancelling them at the other one")
		Expect(syscall.Kill(frozen, syscall.SIGSTOP)).To(Succeed())
		DeferCleanup(func() { _ = syscall.Kill(frozen, syscall.SIGCONT) })
		var group sync.WaitGroup
		statuses := make([]int, clients)
		for i := range clients {
			group.Go(func() {
				s.requestWithin(patience, 1, http.MethodPost, path(i), `{"spec":"sleep 100ms","steps":`+shortSteps+`}`)
				deadline := time.Now().Add(waitTimeout)
				for statuses[i] != http.StatusOK && statuses[i] != http.StatusGone && time.Now().Before(deadline) {
					statuses[i], _ = s.request(2, http.MethodDelete, path(i), "")
				}
			})
		}
		group.Wait()
		for i, status := range statuses {
			Expect(status).To(Equal(http.StatusGone), "job %d", i)
		}
		Expect(syscall.Kill(frozen, syscall.SIGCONT)).To(Succeed())
		for i := range clients {
			s.expectWithdrawn(path(i))
		}

		By("killing all control processes and submitting the jobs again")
		for _, name := range []string{"control-1", "control-2", "control-3"} {
			Expect(syscall.Kill(s.pids()[name], syscall.SIGKILL)).To(Succeed())
		}
		for i := range clients {
			s.expectWithdrawn(path(i))
		}
		Expect(s.startedTasks()).To(Equal(0), s.logs)
		s.submitJob(1, firstJob, "sleep 100ms")
		s.waitForState(2, firstJob, "completed")
	})
})
