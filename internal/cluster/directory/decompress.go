package directory

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/protocol"
)

// maxConfigurationBytes limits the size of a configuration after decompression, in bytes, so that a small response can't
// exhaust the memory.
const maxConfigurationBytes = 64 << 20

// decompress replaces the configuration of a response by the uncompressed one, if it is compressed.
func decompress(response *protocol.WatchResponse) error {
	if !response.Compressed {
		return nil
	}
	reader := flate.NewReader(bytes.NewReader(response.Configuration))
	plain, err := io.ReadAll(io.LimitReader(reader, maxConfigurationBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress the configuration in the response to a watch")
	}
	if len(plain) > maxConfigurationBytes {
		return errors.Errorf("the configuration in the response to a watch has more than %d bytes after decompression",
			maxConfigurationBytes)
	}
	response.Configuration, response.Compressed = plain, false
	return nil
}
