package localcluster

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLocalCluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "localcluster")
}
