package localcluster

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/cluster/administration/document"
	"ospreypond/internal/cluster/boot"
)

// freeNetwork returns a random loopback network in which no program listens at the machines' addresses.
func freeNetwork() string {
	GinkgoHelper()
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		machines, err := newMachines("", network)
		Expect(err).NotTo(HaveOccurred())
		if checkAddressesFree(GinkgoT().Context(), machines) == nil {
			return network
		}
	}
	Fail("no loopback network is free")
	return ""
}

var _ = Describe("the machines of a local system", func() {
	It("have valid settings files with the keys that their roles need", func() {
		dir := GinkgoT().TempDir()
		machines, err := newMachines(dir, "127.9.9")
		Expect(err).NotTo(HaveOccurred())
		Expect(machines).To(HaveLen(7))
		for _, m := range machines {
			Expect(m.writeSettings(machines, true)).To(Succeed())
			settings, err := boot.Load(m.settingsPath())
			Expect(err).NotTo(HaveOccurred())
			Expect(settings.NodeName).To(Equal(m.name))
			Expect(settings.Seeds).To(HaveLen(3)) // the control processes
			Expect(settings.Bootstrap).To(BeTrue())
			Expect(settings.DataDir != "").To(Equal(m.role == boot.RoleControl))
			Expect(settings.Service != "").To(Equal(m.role == boot.RoleAgent))
			Expect(settings.InternalAddress()).To(Equal(m.ip + ":7380"))
		}
	})

	DescribeTable("are rejected if the network is not a loopback network given by three numbers", func(network string) {
		_, err := newMachines("x", network)
		Expect(err).To(MatchError(ContainSubstring("is not of the form 127.N.N")))
	},
		Entry(nil, "10.0.0"), Entry(nil, "127.0"), Entry(nil, "127.0.0.1"), Entry(nil, ""), Entry(nil, "127.0.300"), Entry(nil, "::1"),
	)

	It("count as new until a control process has data, and then keep their network and take no backup", func() {
		dir := GinkgoT().TempDir()
		network := freeNetwork()
		s := &system{options: Options{Dir: dir, Network: network, Program: os.Args[0]}}
		Expect(s.checkOptions()).To(Succeed())
		Expect(s.prepare(GinkgoT().Context())).To(Succeed())
		Expect(s.isNew()).To(BeTrue())
		Expect(os.MkdirAll(filepath.Join(dir, "control-2", "data"), 0o700)).To(Succeed())
		Expect(s.isNew()).To(BeTrue())
		Expect(os.WriteFile(filepath.Join(dir, "control-2", "data", "identity"), nil, 0o600)).To(Succeed())
		Expect(s.isNew()).To(BeFalse())
		s.backup = &archive.Archive{}
		Expect(s.prepare(GinkgoT().Context())).To(MatchError(ContainSubstring("already contains a system")))
		s.options.Network = "127.9.7"
		Expect(s.checkOptions()).To(Succeed())
		Expect(s.prepare(GinkgoT().Context())).To(MatchError(ContainSubstring("contains a system with control-1 at " + network + ".11; use its --network")))
	})

	It("are rejected if the folder's path names a file", func() {
		file := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(file, nil, 0o600)).To(Succeed())
		s := &system{options: Options{Dir: file, Network: "127.9.9", Program: os.Args[0]}}
		Expect(s.checkOptions()).To(MatchError(ContainSubstring(file + " is not a folder")))
	})

	It("have a folder in which only one system runs at a time", func() {
		s := &system{options: Options{Dir: GinkgoT().TempDir()}}
		lock, err := s.lock()
		Expect(err).NotTo(HaveOccurred())
		_, err = s.lock()
		Expect(err).To(MatchError(ContainSubstring("a local system already runs in " + s.options.Dir)))
		Expect(lock.Close()).To(Succeed())
	})

	It("start with a valid first configuration", func() {
		Expect(document.Check([]byte(firstConfiguration), nil)).To(Succeed())
	})
})
