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

// freeNetwork returns a network of loopback in which nobody listens at the machines' addresses.
func freeNetwork() string {
	GinkgoHelper()
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))
		machines, err := machinesOf("", network)
		Expect(err).NotTo(HaveOccurred())
		if checkFree(machines) == nil {
			return network
		}
	}
	Fail("no network of loopback is free")
	return ""
}

var _ = Describe("the machines", func() {
	It("have settings files that their roles take", func() {
		dir := GinkgoT().TempDir()
		machines, err := machinesOf(dir, "127.9.9")
		Expect(err).NotTo(HaveOccurred())
		Expect(machines).To(HaveLen(7))
		for _, m := range machines {
			Expect(m.writeSettings(machines, true)).To(Succeed())
			settings, err := boot.Load(m.settingsPath())
			Expect(err).NotTo(HaveOccurred())
			Expect(settings.NodeName).To(Equal(m.name))
			Expect(settings.Seeds).To(HaveLen(3))
			Expect(settings.Bootstrap).To(BeTrue())
			Expect(settings.DataDir != "").To(Equal(m.role == "control"))
			Expect(settings.Service != "").To(Equal(m.role == "agent"))
			Expect(settings.InternalAddress()).To(Equal(m.ip + ":7380"))
		}
	})

	DescribeTable("are on loopback only", func(network string) {
		_, err := machinesOf("x", network)
		Expect(err).To(MatchError(ContainSubstring("is not of the form 127.N.N")))
	},
		Entry(nil, "10.0.0"), Entry(nil, "127.0"), Entry(nil, "127.0.0.1"), Entry(nil, ""), Entry(nil, "127.0.300"), Entry(nil, "::1"),
	)

	It("start for the first time only while no control process has left anything", func() {
		dir := GinkgoT().TempDir()
		network := freeNetwork()
		s := &System{options: Options{Dir: dir, Network: network, Program: os.Args[0]}}
		Expect(s.checkOptions()).To(Succeed())
		Expect(s.prepare()).To(Succeed())
		Expect(s.isFirst()).To(BeTrue())
		Expect(os.MkdirAll(filepath.Join(dir, "control-2", "data"), 0o700)).To(Succeed())
		Expect(s.isFirst()).To(BeTrue())
		Expect(os.WriteFile(filepath.Join(dir, "control-2", "data", "identity"), nil, 0o600)).To(Succeed())
		Expect(s.isFirst()).To(BeFalse())
		s.backup = &archive.Archive{}
		Expect(s.prepare()).To(MatchError(ContainSubstring("holds a system already")))
		s.options.Network = "127.9.7"
		Expect(s.checkOptions()).To(Succeed())
		Expect(s.prepare()).To(MatchError(ContainSubstring("holds a system with control-1 at " + network + ".11; use its --network")))
	})

	It("are refused with a file in the folder's place", func() {
		file := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(file, nil, 0o600)).To(Succeed())
		s := &System{options: Options{Dir: file, Network: "127.9.9", Program: os.Args[0]}}
		Expect(s.checkOptions()).To(MatchError(ContainSubstring(file + " is not a folder")))
	})

	It("belong to one system at a time", func() {
		s := &System{options: Options{Dir: GinkgoT().TempDir()}}
		lock, err := s.lock()
		Expect(err).NotTo(HaveOccurred())
		_, err = s.lock()
		Expect(err).To(MatchError(ContainSubstring("a local system runs in " + s.options.Dir)))
		Expect(lock.Close()).To(Succeed())
	})

	It("begin with a configuration that is good", func() {
		Expect(document.Check([]byte(demonstration), nil)).To(Succeed())
	})
})
