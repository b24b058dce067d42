package local

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/administration/document"
	"ospreypond/internal/boot"
)

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
		s := &System{options: Options{Dir: dir, Network: "127.9.8"}}
		Expect(s.prepare()).To(Succeed())
		Expect(s.isFirst()).To(BeTrue())
		Expect(os.MkdirAll(filepath.Join(dir, "control-2", "data"), 0o700)).To(Succeed())
		Expect(s.isFirst()).To(BeTrue())
		Expect(os.WriteFile(filepath.Join(dir, "control-2", "data", "identity"), nil, 0o600)).To(Succeed())
		Expect(s.isFirst()).To(BeFalse())
		s.options.Restore = "any"
		Expect(s.prepare()).To(MatchError(ContainSubstring("holds a system already")))
		s.options.Network = "127.9.7"
		Expect(s.prepare()).To(MatchError(ContainSubstring("holds a system with control-1 at 127.9.8.11; use its --network")))
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
