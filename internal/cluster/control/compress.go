package control

import (
	"bytes"
	"compress/flate"
)

// leastCompressed is from how many bytes on a configuration is compressed for its followers.
const leastCompressed = 32 << 10

// compressor keeps what it made last: many followers are sent the same.
type compressor struct {
	plain  []byte
	packed []byte
}

// pack returns data compressed, or false where that is not worth while. data must not be changed afterwards.
func (c *compressor) pack(data []byte) ([]byte, bool) {
	if len(data) < leastCompressed {
		return nil, false
	}
	if len(c.plain) == len(data) && &c.plain[0] == &data[0] {
		return c.packed, true
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, false
	}
	if _, err := writer.Write(data); err != nil {
		return nil, false
	}
	if err := writer.Close(); err != nil {
		return nil, false
	}
	c.plain, c.packed = data, packed.Bytes()
	return c.packed, true
}
