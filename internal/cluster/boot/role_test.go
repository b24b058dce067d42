package boot_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/boot"
	"ospreypond/internal/cluster/failure"
)

var _ = DescribeTable("CheckRole names each missing setting that a role requires",
	func(role string, settings boot.Settings, faults ...string) {
		err := settings.CheckRole(role)
		if len(faults) == 0 {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(failure.KindOf(err)).To(Equal(failure.Invalid))
		for _, fault := range faults {
			Expect(err).To(MatchError(ContainSubstring(fault + ": is missing, required by the role " + role)))
		}
	},
	Entry("a complete control process", boot.RoleControl, boot.Settings{DataDir: "/d", Listen: map[string]string{"control": "a"}}),
	Entry("a control process without settings", boot.RoleControl, boot.Settings{}, "listen.control", "dataDir"),
	Entry("a complete frontend", boot.RoleFrontend, boot.Settings{Listen: map[string]string{"frontend": "a", "readiness": "b"}}),
	Entry("a frontend without settings", boot.RoleFrontend, boot.Settings{}, "listen.frontend", "listen.readiness"),
	Entry("a complete agent", boot.RoleAgent, boot.Settings{Listen: map[string]string{"control": "a"}}),
	Entry("an agent without settings", boot.RoleAgent, boot.Settings{}, "listen.control"),
)
