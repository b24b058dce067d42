package replica

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs/vfstest"
)

// discardSender is a Sender that loses all envelopes.
type discardSender struct{}

func (discardSender) Send(string, *Envelope) {}

// driven is an engine of one member under a Driver. The test decides when the work for the disk is done.
type driven struct {
	driver      *Driver
	recorder    *recorder
	clock       *clockwork.FakeClock
	pendingWork map[DiskWork][]func() // work for the disk that is not done yet
	woken       int                   // number of calls of Wake
}

// drive opens an engine on a disk.
func drive(files *vfstest.Mem) *driven {
	d := &driven{recorder: &recorder{}, clock: clockwork.NewFakeClock(), pendingWork: map[DiskWork][]func(){}}
	driver, err := OpenDriver(Options{
		FileSystem: files,
		Dir:        "data",
		Groups:     map[GroupID]StateMachine{0: d.recorder},
		Self:       consensus.Member{Node: "core", Address: "core"},
		Bootstrap:  []string{"core"},
		Sender:     discardSender{},
		Clock:      d.clock,
	}, DriverOptions{
		Disk: func(kind DiskWork, work func()) { d.pendingWork[kind] = append(d.pendingWork[kind], work) },
		Wake: func() { d.woken++ },
	})
	Expect(err).NotTo(HaveOccurred())
	d.driver = driver
	return d
}

// step runs a step, and advances the time to the next one.
func (d *driven) step() {
	GinkgoHelper()
	untilNext, err := d.driver.Step()
	Expect(err).NotTo(HaveOccurred())
	Expect(untilNext).To(BeNumerically(">", 0))
	d.clock.Advance(untilNext)
}

// execute does the pending work of a kind, and returns how many pieces there were.
func (d *driven) execute(kind DiskWork) int {
	works := d.pendingWork[kind]
	d.pendingWork[kind] = nil
	for _, work := range works {
		work()
	}
	return len(works)
}

// lead runs steps until the engine leads its group.
func (d *driven) lead() {
	GinkgoHelper()
	for steps := 0; d.recorder.leading == 0; steps++ {
		Expect(steps).To(BeNumerically("<", 1000))
		d.step()
		d.execute(DiskAppend)
	}
}

// propose proposes a line. The result is set to true once the line is applied.
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
	It("does not commit a command before its caller has done the work for the disk", func() {
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

	It("writes a snapshot on request, from which the next process starts", func() {
		files := &vfstest.Mem{}
		d := drive(files)
		d.lead()
		done := d.propose("line")
		for !*done {
			d.step()
			d.execute(DiskAppend)
		}
		started := []bool{}
		d.driver.Engine().Do(func() {
			started = append(started, d.driver.Snapshot(0), d.driver.Snapshot(0))
		})
		d.step()
		Expect(started).To(Equal([]bool{true, false}), "one snapshot at a time")
		Expect(d.execute(DiskSnapshot)).To(Equal(1))
		for range 5 {
			d.step()
			d.execute(DiskAppend)
		}
		overview, _ := d.driver.Engine().Overview(0)
		Expect(overview.SnapshotIndex).To(Equal(overview.Applied))
		files.EndProcess()
		next := drive(files)
		Expect(next.recorder.Lines).To(Equal([]string{"line"}), "the next process has the snapshot's state")
	})

	It("uses the ID that its caller draws for an empty disk", func() {
		const identity = 77
		driver, err := OpenDriver(Options{
			FileSystem: &vfstest.Mem{}, Dir: "data", Groups: map[GroupID]StateMachine{0: &recorder{}},
			Self: consensus.Member{Address: "core"}, Sender: discardSender{}, Clock: clockwork.NewFakeClock(),
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
