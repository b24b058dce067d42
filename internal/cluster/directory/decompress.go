package directory

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// mostConfigurationBytes bounds what an answer may come to when it is unpacked.
const mostConfigurationBytes = 64 << 20

// unpack puts the plain configuration in the place of a compressed one.
func unpack(answer *protocol.WatchResponse) error {
	if !answer.Compressed {
		return nil
	}
	reader := flate.NewReader(bytes.NewReader(answer.Configuration))
	plain, err := io.ReadAll(io.LimitReader(reader, mostConfigurationBytes+1))
	if err != nil {
		return errors.Wrap(err, "unpack the configuration")
	}
	if len(plain) > mostConfigurationBytes {
		return errors.Errorf("the configuration has more than %d bytes", mostConfigurationBytes)
	}
	answer.Configuration, answer.Compressed = plain, false
	return nil
}
