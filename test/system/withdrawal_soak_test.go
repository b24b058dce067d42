package system

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Flags of the soak. To play other seeds:
//
//	go test ./test/system -ginkgo.focus "a soak" -soak-seed 100 -soak-seeds 10
var (
	soakSeed  = flag.Uint64("soak-seed", 1, "first seed of the soak")
	soakSeeds = flag.Int("soak-seeds", 1, "number of seeds of the soak")
)

const (
	soakClients = 16
	soakLength  = 15 * time.Second
)

// soakedJob is what its client knows of a job.
type soakedJob struct {
	path      string
	accepted  bool // a submission was answered with 200
	gone      bool // a cancel was answered with 410
	cancelled bool // a cancel was answered with 200
}

// soakClient submits jobs, leaves some of them after a short time, and cancels those at the other frontend. It keeps its
// connections open.
type soakClient struct {
	system *localSystem
	http   *http.Client
	random *rand.Rand
	jobs   []*soakedJob
}

// run submits one job after the other until the end.
func (c *soakClient) run(end time.Time) {
	for time.Now().Before(end) {
		job := &soakedJob{path: fmt.Sprintf("/jobs/%016x", c.random.Uint64())}
		c.jobs = append(c.jobs, job)
		frontend := 1 + c.random.IntN(2)
		patience := time.Duration(10+c.random.IntN(600)) * time.Millisecond
		status, _ := c.system.requestBy(c.http, patience, frontend, http.MethodPost, job.path, c.body())
		job.accepted = status == http.StatusOK
		if !job.accepted || c.random.IntN(4) == 0 {
			c.cancel(job, 3-frontend)
		}
	}
}

func (c *soakClient) body() string {
	return fmt.Sprintf(`{"spec":"sleep %dms","steps":[{"count":1,"cpu":10,"memoryLimitMb":1}]}`, 1+c.random.IntN(300))
}

// cancel cancels a job until that is acknowledged, first at one frontend and then at both in turn.
func (c *soakClient) cancel(job *soakedJob, frontend int) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); frontend = 3 - frontend {
		status, _ := c.system.requestBy(c.http, 2*time.Second, frontend, http.MethodDelete, job.path, "")
		job.gone, job.cancelled = status == http.StatusGone, status == http.StatusOK
		if job.gone || job.cancelled {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// soak plays one seed and checks what each client was told against what the system shows after the disturbances.
func soak(seed uint64) {
	GinkgoHelper()
	s := startLocal(filepath.Join(GinkgoT().TempDir(), fmt.Sprint("system-", seed)))
	clients := make([]*soakClient, soakClients)
	end := time.Now().Add(soakLength)
	var group sync.WaitGroup
	for i := range clients {
		clients[i] = &soakClient{system: s, http: &http.Client{}, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		group.Go(func() { clients[i].run(end) })
	}
	newNemesis(s, seed).run(soakLength)
	group.Wait()

	counts := map[string]int{}
	for _, client := range clients {
		for _, job := range client.jobs {
			counts[s.checkSoaked(seed, job)]++
		}
	}
	GinkgoWriter.Println("seed", seed, counts)
	Expect(counts["gone"]).To(BeNumerically(">", 0), "seed %d: no cancel of an unknown job was answered", seed)
	s.interrupt()
}

// checkSoaked checks one job after the disturbances, and returns how it ended: a job that is gone is rejected and unknown,
// one that was accepted and not cancelled is completed, and one that was cancelled with 200 has ended.
func (s *localSystem) checkSoaked(seed uint64, job *soakedJob) string {
	GinkgoHelper()
	Expect(job.gone && job.accepted).To(BeFalse(), "seed %d: %s was accepted and is gone", seed, job.path)
	switch {
	case job.gone:
		s.expectWithdrawn(job.path)
		return "gone"
	case job.cancelled:
		Eventually(func() string {
			_, answer := s.request(1, http.MethodGet, job.path, "")
			return answer
		}, waitTimeout, pollInterval).Should(Or(MatchJSON(`{"state":"cancelled"}`), MatchJSON(`{"state":"completed"}`)), "seed %d: %s", seed, job.path)
		return "cancelled"
	case job.accepted:
		s.waitForState(2, job.path, "completed")
		return "completed"
	}
	Fail(fmt.Sprintf("seed %d: the cancel of %s was not acknowledged in %v", seed, job.path, waitTimeout))
	return ""
}

// Guards against a job that is accepted after its cancel was answered with 410, and against a job that is lost, while
// processes freeze and end in series.
var _ = Describe("a soak of clients that leave and cancel elsewhere", func() {
	It("shows each job as its client was told", func() {
		for i := range *soakSeeds {
			soak(*soakSeed + uint64(i))
		}
	})
})
