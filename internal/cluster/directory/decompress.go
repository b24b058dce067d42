package directory

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// maxConfigurationBytes bounds the size of a configuration after decompression.
const maxConfigurationBytes = 64 << 20

// decompress replaces a compressed configuration in a response by the plain one.
func decompress(response *protocol.WatchResponse) error {
	if !response.Compressed {
		return nil
	}
	reader := flate.NewReader(bytes.NewReader(response.Configuration))
	plain, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress the configuration")
	}
	if len(plain) > maxConfigurationBytes {
		return errors.Errorf("the configuration has more than %d bytes", maxConfigurationBytes)
	}
	response.Configuration, response.Compressed = plain, false
	return nil
}
