package relay

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suite *testing.T

func TestRelay(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "Relay")
}
