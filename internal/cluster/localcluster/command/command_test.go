package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cli"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command of localcluster")
}

// command runs a command line, split at spaces, and returns its exit status and output.
func command(commandLine string) (status int, out, err string) {
	var stdout, stderr bytes.Buffer
	status = Main(strings.Fields(commandLine), cli.Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	return status, stdout.String(), stderr.String()
}

var _ = DescribeTable("localcluster ends with the expected exit status and message, and creates no files, at",
	func(commandLine string, expected int, said string) {
		parent := GinkgoT().TempDir()
		// DIR stands for a folder that does not exist, PROGRAM for a file that can be run.
		placeholders := strings.NewReplacer("DIR", filepath.Join(parent, "system"), "PROGRAM", os.Args[0])
		status, _, err := command(placeholders.Replace(commandLine))
		Expect(status).To(Equal(expected), err)
		Expect(err).To(ContainSubstring(said))
		Expect(filepath.Glob(filepath.Join(parent, "*"))).To(BeEmpty())
	},
	Entry("a missing --dir", "", 2, "localcluster: --dir is missing\nSee 'localcluster --help'."),
	Entry("a superfluous argument", "now --dir DIR", 2, `unknown command "now"`),
	Entry("an unknown flag", "--dir DIR --why", 2, "unknown flag: --why"),
	Entry("a network that is not loopback", "--dir DIR --network 10.0.0", 1, `network "10.0.0" is not of the form 127.N.N`),
	Entry("a missing program", "--dir DIR --program DIR/none", 1, "the program of the processes: "),
	Entry("a missing backup", "--dir DIR --program PROGRAM --restore DIR/none", 1, "no such file or directory"),
)

var _ = It("prints help with examples", func() {
	status, out, _ := command("--help")
	Expect(status).To(BeZero())
	Expect(out).To(ContainSubstring("Examples:\n  localcluster --dir "))
})
