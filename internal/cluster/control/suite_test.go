package control

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that bubbles are made in.
var suite *testing.T

func TestControl(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}
