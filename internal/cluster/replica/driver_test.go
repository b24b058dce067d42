package replica

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs/vfstest"
)

// nowhere loses all that is sent.
type nowhere struct{}

func (nowhere) Send(string, *Envelope) {}

// driven is an engine of one member under a driver, whose disk work is done on request.
type driven struct {
	driver      *Driver
	recorder    *recorder
	clock       *clockwork.FakeClock
	pendingWork map[DiskWork][]func()
	woken       int
}

func drive(files *vfstest.Mem) *driven {
	d := &driven{recorder: &recorder{}, clock: clockwork.NewFakeClock(), pendingWork: map[DiskWork][]func(){}}
	driver, err := OpenDriver(Options{
		FileSystem: files,
		Dir:        "data",
		Groups:     map[GroupID]StateMachine{0: d.recorder},
		Self:       consensus.Member{Node: "core", Address: "core"},
		Bootstrap:  []string{"core"},
		Sender:     nowhere{},
		Clock:      d.clock,
	}, DriverOptions{
		Disk: func(kind DiskWork, work func()) { d.pendingWork[kind] = append(d.pendingWork[kind], work) },
		Wake: func() { d.woken++ },
	})
	Expect(err).NotTo(HaveOccurred())
	d.driver = driver
	return d
}

// step takes a step, and lets the time pass until the next one is due.
func (d *driven) step() {
	GinkgoHelper()
	untilNext, err := d.driver.Step()
	Expect(err).NotTo(HaveOccurred())
	Expect(untilNext).To(BeNumerically(">", 0))
	d.clock.Advance(untilNext)
}

// execute does the pending work for the disk.
func (d *driven) execute(kind DiskWork) int {
	works := d.pendingWork[kind]
	d.pendingWork[kind] = nil
	for _, work := range works {
		work()
	}
	return len(works)
}

func (d *driven) lead() {
	GinkgoHelper()
	for turns := 0; d.recorder.leading == 0; turns++ {
		Expect(turns).To(BeNumerically("<", 1000))
		d.step()
		d.execute(DiskAppend)
	}
}

// propose proposes a line and returns whether it is done.
func (d *driven) propose(line string) *bool {
	done := false
	d.driver.Engine().Do(func() {
		d.driver.Engine().Propose(0, []byte(line), func(_ any, err error) {
			Expect(err).NotTo(HaveOccurred())
			done = true
		})
	})
	return &done
}

var _ = Describe("A driver", func() {
	It("commits nothing before its caller has done the work for the disk", func() {
		d := drive(&vfstest.Mem{})
		d.lead()
		d.step()
		d.execute(DiskAppend)
		woken := d.woken
		done := d.propose("line")
		Expect(d.woken).To(Equal(woken + 1))
		for range 20 {
			d.step()
		}
		Expect(*done).To(BeFalse())
		Expect(d.execute(DiskAppend)).To(Equal(1))
		d.step()
		Expect(*done).To(BeTrue())
	})

	It("writes a snapshot on request", func() {
		files := &vfstest.Mem{}
		d := drive(files)
		d.lead()
		done := d.propose("line")
		for !*done {
			d.step()
			d.execute(DiskAppend)
		}
		begun := []bool{}
		d.driver.Engine().Do(func() {
			begun = append(begun, d.driver.Snapshot(0), d.driver.Snapshot(0))
		})
		d.step()
		Expect(begun).To(Equal([]bool{true, false}), "one at a time")
		Expect(d.execute(DiskSnapshot)).To(Equal(1))
		for range 5 {
			d.step()
			d.execute(DiskAppend)
		}
		overview, _ := d.driver.Engine().Overview(0)
		Expect(overview.SnapshotIndex).To(Equal(overview.Applied))
		files.EndProcess()
		next := drive(files)
		Expect(next.recorder.Lines).To(Equal([]string{"line"}), "the next process starts from it")
	})

	It("takes the identity for an empty disk from its caller", func() {
		const identity = 77
		driver, err := OpenDriver(Options{
			FileSystem: &vfstest.Mem{}, Dir: "data", Groups: map[GroupID]StateMachine{0: &recorder{}},
			Self: consensus.Member{Address: "core"}, Sender: nowhere{}, Clock: clockwork.NewFakeClock(),
		}, DriverOptions{
			Disk:         func(DiskWork, func()) {},
			Wake:         func() {},
			DrawIdentity: func() (consensus.MemberID, error) { return identity, nil },
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(driver.Engine().Self().ID).To(BeEquivalentTo(identity))
		untilNext, err := driver.Step()
		Expect(err).NotTo(HaveOccurred())
		Expect(untilNext).To(BeNumerically("<=", time.Second))
	})
})
