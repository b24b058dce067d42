package administration_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdministration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "administration")
}
