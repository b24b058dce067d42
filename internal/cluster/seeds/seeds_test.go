package seeds

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSeeds(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "seeds")
}

// fakeDirectory records the seeds that it receives. fresh is the result of Fresh.
type fakeDirectory struct {
	mutex    sync.Mutex
	fresh    bool
	received [][]string
}

func (d *fakeDirectory) Fresh(time.Duration) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.fresh
}

func (d *fakeDirectory) SetSeeds(addresses []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.received = append(d.received, addresses)
}

func (d *fakeDirectory) seeds() [][]string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return append([][]string{}, d.received...)
}

const settings = `{"nodeName":"n","role":"r","ip":"10.0.0.9","zone":"z","internalPorts":[7380,7395],"seeds":["SEED:8144"]}`

// write writes a settings file with the given seed and modification time.
func write(path, seed string, at time.Time) {
	Expect(os.WriteFile(path, []byte(strings.ReplaceAll(settings, "SEED", seed)), 0o600)).To(Succeed())
	Expect(os.Chtimes(path, at, at)).To(Succeed())
}

var _ = Describe("the seeds of a running process", func() {
	var (
		path      string
		clock     *clockwork.FakeClock
		directory *fakeDirectory
		hangups   chan os.Signal
	)
	first := time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

	BeforeEach(func() {
		path = filepath.Join(GinkgoT().TempDir(), "boot.json")
		write(path, "10.0.0.1", first)
		clock = clockwork.NewFakeClock()
		directory = &fakeDirectory{}
		hangups = make(chan os.Signal)
		follower := NewFollower(Options{Path: path, Seeds: []string{"10.0.0.1:7380"}, Directory: directory, Clock: clock,
			Logger: log.NewNopLogger()})
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			follower.Run(ctx, hangups)
			close(ended)
		}()
		DeferCleanup(func() {
			stop()
			Eventually(ended).Should(BeClosed())
		})
	})

	// waitForCheck waits until the follower waits for its ticker, and lets it check the file.
	waitForCheck := func() {
		waiting, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		Expect(clock.BlockUntilContext(waiting, 1)).To(Succeed())
		clock.Advance(checkInterval)
	}

	It("change at a SIGHUP, although processes answer", func() {
		directory.fresh = true
		write(path, "10.0.0.2", first.Add(time.Second))
		hangups <- syscall.SIGHUP
		Eventually(directory.seeds).Should(Equal([][]string{{"10.0.0.2:7380"}}))
	})

	It("change without a SIGHUP if the file was modified while no process answers", func() {
		write(path, "10.0.0.2", first.Add(time.Second))
		waitForCheck()
		Eventually(directory.seeds).Should(Equal([][]string{{"10.0.0.2:7380"}}))
	})

	DescribeTable("stay the same at a SIGHUP",
		func(change func()) {
			change()
			hangups <- syscall.SIGHUP
			hangups <- syscall.SIGHUP // the channel has no buffer: this is received after the first signal was handled
			Expect(directory.seeds()).To(BeEmpty())
		},
		Entry("if the file has the same seeds", func() {}),
		Entry("if the file is invalid", func() { Expect(os.WriteFile(path, []byte("{"), 0o600)).To(Succeed()) }),
		Entry("if the file does not exist", func() { Expect(os.Remove(path)).To(Succeed()) }),
	)

	It("stay the same without a SIGHUP while processes answer, although the file was modified", func() {
		directory.mutex.Lock()
		directory.fresh = true
		directory.mutex.Unlock()
		write(path, "10.0.0.3", first.Add(time.Minute))
		waitForCheck()
		Consistently(directory.seeds, 20*time.Millisecond).Should(BeEmpty())
	})
})
