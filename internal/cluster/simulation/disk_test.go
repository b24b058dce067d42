package simulation

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/store/vfs"
)

// newDiskMachine returns a control machine with a disk and a running process.
func newDiskMachine(seed uint64) *Machine {
	const sync = 9 * time.Millisecond
	m := NewMachine(NewWorld(seed), "core", "north", RoleControl)
	m.Disk = NewDisk(sync)
	m.Boot()
	return m
}

const content = "a record that is longer than a few bytes"

// writeFile creates the file with its complete content and syncs both the file and the directory.
func writeFile(m *Machine) error {
	file, err := m.Disk.Files().Create("file")
	if err != nil {
		return err
	}
	if _, err := file.WriteAt([]byte(content), 0); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return m.Disk.Files().SyncDir(".")
}

// readFile returns the file's content, or "" if there is no file.
func readFile(m *Machine) string {
	data, err := vfs.ReadFile(m.Disk.Files(), "file")
	if err != nil {
		return ""
	}
	return string(data)
}

var _ = Describe("A simulated disk", func() {
	It("performs work only once the time of its syncs has passed", func() {
		m := newDiskMachine(1)
		done := 0
		m.Disk.Perform(m, 1, func() { done++ })
		m.World.Run(time.Millisecond)
		Expect(done).To(BeZero())
		m.World.Run(time.Second)
		Expect(done).To(Equal(1))
	})

	It("completes no work while it is stalled, and all of it after the release", func() {
		m := newDiskMachine(1)
		done := 0
		m.Disk.Perform(m, 1, func() { done++ })
		m.Disk.Stalled = true
		m.Disk.Perform(m, 1, func() { done++ })
		m.World.Run(time.Second)
		Expect(done).To(BeZero())
		m.Disk.Release()
		m.World.Run(2 * time.Second)
		Expect(done).To(Equal(2))
	})

	It("fails writes only while it is full", func() {
		m := newDiskMachine(1)
		m.Disk.Full = true
		Expect(writeFile(m)).NotTo(Succeed())
		m.Disk.Full = false
		Expect(writeFile(m)).To(Succeed())
	})

	It("keeps synced writes at a loss of power", func() {
		for seed := range uint64(20) {
			m := newDiskMachine(seed)
			Expect(writeFile(m)).To(Succeed())
			m.LosePower()
			Expect(readFile(m)).To(Equal(content))
		}
	})

	It("keeps none, all or a part of the work in flight when the process is killed or the machine loses power", func() {
		for _, end := range []func(*Machine){(*Machine).Kill, (*Machine).LosePower} {
			outcomes := map[int]int{}
			for seed := range uint64(200) {
				m := newDiskMachine(seed)
				m.Disk.Perform(m, 1, func() { _ = writeFile(m) })
				end(m)
				outcomes[len(readFile(m))]++
			}
			Expect(outcomes).To(HaveKey(0))
			Expect(outcomes).To(HaveKey(len(content)))
			Expect(len(outcomes)).To(BeNumerically(">", 2), "some writes must be torn; number of seeds by file size in bytes: %v", outcomes)
		}
	})

	It("keeps completed writes when the process is killed with work in flight", func() {
		m := newDiskMachine(3)
		Expect(writeFile(m)).To(Succeed())
		m.Disk.Perform(m, 1, func() { _ = m.Disk.Files().Remove("other") })
		m.Kill()
		Expect(readFile(m)).To(Equal(content))
	})

	It("is empty after a wipe, and counts it", func() {
		m := newDiskMachine(1)
		Expect(writeFile(m)).To(Succeed())
		m.LosePower()
		m.Wipe()
		Expect(readFile(m)).To(BeEmpty())
		Expect(m.Disk.Wipes()).To(Equal(1))
	})
})
