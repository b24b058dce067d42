package simulation

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/store/vfs"
)

// diskMachine is a machine with a disk, on which a process writes one file, the content of which is synced.
func diskMachine(seed uint64) *Machine {
	const sync = 9 * time.Millisecond
	m := NewMachine(NewWorld(seed), "core", "north", "core")
	m.Disk = NewDisk(sync)
	m.Boot()
	return m
}

const content = "a record that is longer than a few bytes"

// writeFile writes the file whole and syncs it.
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

// found is what the file holds; nothing if it is not there.
func found(m *Machine) string {
	data, err := vfs.ReadFile(m.Disk.Files(), "file")
	if err != nil {
		return ""
	}
	return string(data)
}

var _ = Describe("A simulated disk", func() {
	It("carries work out once its time has passed, in the life that asked for it", func() {
		m := diskMachine(1)
		done := 0
		m.Disk.Perform(m, 1, func() { done++ })
		m.World.Run(time.Millisecond)
		Expect(done).To(BeZero())
		m.World.Run(time.Second)
		Expect(done).To(Equal(1))
	})

	It("answers nothing while it is stalled", func() {
		m := diskMachine(1)
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

	It("refuses writes while it is full", func() {
		m := diskMachine(1)
		m.Disk.Full = true
		Expect(writeFile(m)).NotTo(Succeed())
		m.Disk.Full = false
		Expect(writeFile(m)).To(Succeed())
	})

	It("keeps what was synced when the power goes", func() {
		for seed := range uint64(20) {
			m := diskMachine(seed)
			Expect(writeFile(m)).To(Succeed())
			m.LosePower()
			Expect(found(m)).To(Equal(content))
		}
	})

	It("keeps any part of what was under way when the process is killed or the power goes", func() {
		for _, end := range []func(*Machine){(*Machine).Kill, (*Machine).LosePower} {
			outcomes := map[int]int{}
			for seed := range uint64(200) {
				m := diskMachine(seed)
				m.Disk.Perform(m, 1, func() { _ = writeFile(m) })
				end(m)
				left := found(m)
				outcomes[len(left)]++
			}
			Expect(outcomes).To(HaveKey(0))
			Expect(outcomes).To(HaveKey(len(content)))
			Expect(len(outcomes)).To(BeNumerically(">", 2), "some are torn: %v", outcomes)
		}
	})

	It("loses all that a killed process did not ask for, and no more", func() {
		m := diskMachine(3)
		Expect(writeFile(m)).To(Succeed())
		m.Disk.Perform(m, 1, func() { _ = m.Disk.Files().Remove("other") })
		m.Kill()
		Expect(found(m)).To(Equal(content))
	})

	It("is empty once it was wiped", func() {
		m := diskMachine(1)
		Expect(writeFile(m)).To(Succeed())
		m.LosePower()
		m.Wipe()
		Expect(found(m)).To(BeEmpty())
		Expect(m.Disk.Wipes()).To(Equal(1))
	})
})
