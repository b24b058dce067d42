package command

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cli"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command of the local system")
}

// command runs a line and returns its exit code and what it printed.
func command(line string) (status int, out, err string) {
	var stdout, stderr bytes.Buffer
	status = Main(strings.Fields(line), cli.Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return status, stdout.String(), stderr.String()
}

var _ = DescribeTable("faults end with an exit code of their kind",
	func(line string, expected int, said string) {
		status, _, err := command(line)
		Expect(status).To(Equal(expected), err)
		Expect(err).To(ContainSubstring(said))
	},
	Entry("no folder", "", 2, "ospreylocal: --dir is missing\nSee 'ospreylocal --help'."),
	Entry("an argument too many", "now --dir x", 2, `unknown command "now"`),
	Entry("an unknown flag", "--dir x --why", 2, "unknown flag: --why"),
	Entry("a network that is not loopback", "--dir /tmp/x --network 10.0.0", 1, `network "10.0.0" is not of the form 127.N.N`),
)

var _ = It("shows help with examples", func() {
	status, out, _ := command("--help")
	Expect(status).To(BeZero())
	Expect(out).To(ContainSubstring("Examples:\n  ospreylocal --dir "))
})
