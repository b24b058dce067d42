package archive_test

import (
	. "github.com/onsi/ginkgo/v2"

	"ospreypond/internal/cluster/administration/archive"
	"ospreypond/internal/fixturetest"
)

var _ = Describe("data that the program wrote when the fixtures were made", func() {
	It("is read as a backup", func() {
		fixturetest.Check(GinkgoTB(), "archive", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				written := &archive.Archive{}
				fixturetest.Fill(written)
				data, err := written.Encode()
				return written, data, err
			},
			Decode: func(data []byte) (any, error) { return archive.Decode(data) },
		})
	})

	It("is read as a backup that can be restored", func() {
		fixturetest.Check(GinkgoTB(), "sample", fixturetest.Codec{
			Encode: func() (any, []byte, error) {
				data, err := sample().Encode()
				return sample(), data, err
			},
			Decode: func(data []byte) (any, error) {
				read, err := archive.Decode(data)
				if err != nil {
					return nil, err
				}
				return read, read.Check()
			},
		})
	})
})
