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

// unreachable is a Remote that reaches nobody.
type unreachable struct{}

func (unreachable) Do(_ context.Context, _ string, _, _ any) error {
	return failure.New(failure.Unavailable, "nobody is there")
}

// driven is a control process without goroutines, the only member of its groups.
type driven struct {
	control *Control
	driver  *replica.Driver
	clock   *clockwork.FakeClock
	works   []func()
}

func newDriven() *driven {
	GinkgoHelper()
	d := &driven{clock: clockwork.NewFakeClock()}
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
				Disk: func(_ replica.DiskWork, work func()) { d.works = append(d.works, work) },
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

// until takes turns, and lets their time pass, until the condition holds.
func (d *driven) until(condition func() bool) {
	GinkgoHelper()
	for turns := 0; !condition(); turns++ {
		Expect(turns).To(BeNumerically("<", 1000))
		pause, err := d.driver.Step()
		Expect(err).NotTo(HaveOccurred())
		works := d.works
		d.works = nil
		for _, work := range works {
			work()
		}
		d.clock.Advance(pause)
	}
}

var _ = Describe("a control process without goroutines", func() {
	It("answers the requests that are served, by their types", func() {
		d := newDriven()
		d.control.Start()
		d.until(func() bool { return d.control.configuration.leading })
		var response any
		d.control.Handle("test", replacement(3), func(got any, err error) {
			Expect(err).NotTo(HaveOccurred())
			response = got
		})
		d.until(func() bool { return response != nil })
		Expect(response).To(Equal(&protocol.ConfigureResponse{Version: 3}))
	})

	It("answers a refusal with an error alone", func() {
		d := newDriven()
		refused := false
		d.control.Handle("test", &protocol.StatusRequest{Shard: 1, ID: "job"}, func(got any, err error) {
			Expect(got).To(BeNil())
			Expect(failure.KindOf(err)).To(Equal(failure.NotLeader))
			refused = true
		})
		d.until(func() bool { return refused })
	})

	It("refuses what nothing serves", func() {
		d := newDriven()
		refused := false
		d.control.Handle("test", &protocol.StatusResponse{}, func(_ any, err error) {
			Expect(failure.KindOf(err)).To(Equal(failure.Invalid))
			refused = true
		})
		Expect(refused).To(BeTrue())
	})

	It("ends its leaving after a while though the engine stands still", func() {
		d := newDriven()
		left := make(chan struct{})
		d.control.Decommission(func() { close(left) })
		Consistently(left, 20*time.Millisecond).ShouldNot(BeClosed())
		d.clock.Advance(d.control.leavePatience() + leaveMargin)
		Eventually(left).Should(BeClosed())
	})

	It("calls no done twice when its leaving is over", func() {
		d := newDriven()
		left := make(chan struct{}, 2)
		d.control.Decommission(func() { left <- struct{}{} })
		d.until(func() bool { return len(left) > 0 })
		d.clock.Advance(2 * (d.control.leavePatience() + leaveMargin))
		Consistently(left, 20*time.Millisecond).Should(HaveLen(1))
	})
})

var _ = Describe("the ticker", func() {
	It("ticks when it is due, or soon after it was woken", func() {
		clock := clockwork.NewFakeClock()
		began := clock.Now()
		ticks := make(chan time.Duration, 10)
		t := newTicker(clock, func(f func()) { f() }, func() time.Duration {
			ticks <- clock.Since(began)
			return 100 * time.Millisecond
		})
		next := func(after time.Duration) {
			GinkgoHelper()
			Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			clock.Advance(after)
			Eventually(ticks).Should(Receive())
		}
		t.wake()
		next(tickLeast)
		next(100 * time.Millisecond)
		Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		t.wake()
		next(tickLeast)
		t.wake()
		t.wake()
		next(tickLeast)
		Expect(clock.Since(began)).To(Equal(100*time.Millisecond + 3*tickLeast))
	})
})
