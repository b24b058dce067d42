package boot_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBoot(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Settings of a process")
}
