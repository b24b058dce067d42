package control

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test in which specs start the bubbles of package synctest, which needs a *testing.T.
var suite *testing.T

func TestControl(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}
