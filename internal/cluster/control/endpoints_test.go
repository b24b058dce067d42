package control

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/protocol"
	"ospreypond/internal/cluster/replica"
	"ospreypond/internal/store/vfs/vfstest"
)

// unreachable is a Remote that reaches no other process.
type unreachable struct{}

func (unreachable) Do(_ context.Context, _ string, _, _ any) error {
	return failure.New(failure.Unavailable, "no process at this address")
}

// drivenControl is a Control without goroutines that is the only member of its groups. The test drives its engine.
type drivenControl struct {
	control  *Control
	driver   *replica.Driver
	clock    *clockwork.FakeClock
	diskWork []func() // disk work that the engine has requested and that was not run yet
}

func newDrivenControl() *drivenControl {
	GinkgoHelper()
	d := &drivenControl{clock: clockwork.NewFakeClock()}
	control, err := New(Options{
		Self:       consensus.Member{Node: "n", Zone: "z", Address: "here"},
		Bootstrap:  []string{"here"},
		FileSystem: &vfstest.Mem{},
		Dir:        "data",
		Bounds:     boot.DefaultBounds(),
		Sender:     discarded{},
		Remote:     unreachable{},
		Clock:      d.clock,
		Logger:     log.NewNopLogger(),
		Open: func(options replica.Options) (*replica.Engine, error) {
			driver, err := replica.OpenDriver(options, replica.DriverOptions{
				Disk: func(_ replica.DiskWork, work func()) { d.diskWork = append(d.diskWork, work) },
				Wake: func() {},
			})
			if err != nil {
				return nil, err
			}
			d.driver = driver
			return driver.Engine(), nil
		},
	})
	Expect(err).NotTo(HaveOccurred())
	d.control = control
	return d
}

// until steps the engine, runs its disk work and advances the clock until the condition holds. It fails after 1000 steps.
func (d *drivenControl) until(condition func() bool) {
	GinkgoHelper()
	for steps := 0; !condition(); steps++ {
		Expect(steps).To(BeNumerically("<", 1000))
		wait, err := d.driver.Step()
		Expect(err).NotTo(HaveOccurred())
		diskWork := d.diskWork
		d.diskWork = nil
		for _, work := range diskWork {
			work()
		}
		d.clock.Advance(wait)
	}
}

var _ = Describe("A Control that is driven by its caller", func() {
	It("serves a request by the endpoint of its type", func() {
		d := newDrivenControl()
		d.control.Start()
		d.until(func() bool { return d.control.configuration.leading })
		var response any
		d.control.Handle("test", replaceRequest(3), func(got any, err error) {
			Expect(err).NotTo(HaveOccurred())
			response = got
		})
		d.until(func() bool { return response != nil })
		Expect(response).To(Equal(&protocol.ConfigureResponse{Version: 3}))
	})

	It("replies to a rejected request with an error and without a response", func() {
		d := newDrivenControl()
		rejected := false
		d.control.Handle("test", &protocol.StatusRequest{Shard: 1, ID: "job"}, func(got any, err error) {
			Expect(got).To(BeNil())
			Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
			rejected = true
		})
		d.until(func() bool { return rejected })
	})

	It("rejects a request of a type that no endpoint serves", func() {
		d := newDrivenControl()
		rejected := false
		d.control.Handle("test", &protocol.StatusResponse{}, func(_ any, err error) {
			Expect(failure.KindOf(err)).To(Equal(failure.Invalid))
			rejected = true
		})
		Expect(rejected).To(BeTrue())
	})

	It("stops waiting for its decommissioning after a timeout if the engine is stuck", func() {
		d := newDrivenControl()
		left := make(chan struct{})
		d.control.Decommission(func() { close(left) })
		Consistently(left, 20*time.Millisecond).ShouldNot(BeClosed())
		d.clock.Advance(d.control.decommissionTimeout() + decommissionMargin)
		Eventually(left).Should(BeClosed())
	})

	It("calls done only once if the decommissioning ends before the timeout", func() {
		d := newDrivenControl()
		left := make(chan struct{}, 2)
		d.control.Decommission(func() { left <- struct{}{} })
		d.until(func() bool { return len(left) > 0 })
		d.clock.Advance(2 * (d.control.decommissionTimeout() + decommissionMargin))
		Consistently(left, 20*time.Millisecond).Should(HaveLen(1))
	})
})

var _ = Describe("The ticker", func() {
	It("ticks when it is due, and minTickInterval after wake", func() {
		clock := clockwork.NewFakeClock()
		startedAt := clock.Now()
		ticks := make(chan time.Duration, 10)
		t := newTicker(clock, func(f func()) { f() }, func() time.Duration {
			ticks <- clock.Since(startedAt)
			return 100 * time.Millisecond
		})
		next := func(after time.Duration) {
			GinkgoHelper()
			Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			clock.Advance(after)
			Eventually(ticks).Should(Receive())
		}
		t.wake()
		next(minTickInterval)
		next(100 * time.Millisecond)
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		t.wake()
		next(minTickInterval)
		t.wake()
		t.wake()
		next(minTickInterval)
		Expect(clock.Since(startedAt)).To(Equal(100*time.Millisecond + 3*minTickInterval))
	})
})
