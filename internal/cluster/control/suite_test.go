package control

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the *testing.T that specs pass to package synctest to start a bubble.
var suite *testing.T

func TestControl(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}
