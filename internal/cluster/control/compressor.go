package control

import (
	"bytes"
	"compress/flate"
)

// minCompressedBytes is the size from which a configuration is compressed for its followers.
const minCompressedBytes = 32 << 10

// compressor remembers its last result, because many followers are sent the same bytes. It is not safe for concurrent
// use.
type compressor struct {
	plain      []byte
	compressed []byte
}

// compress returns data compressed with DEFLATE (RFC 1951), and false where data is too small to be worth it. The caller
// must not change data afterwards: the next call recognizes it by its address.
func (c *compressor) compress(data []byte) ([]byte, bool) {
	if len(data) < minCompressedBytes {
		return nil, false
	}
	if len(c.plain) == len(data) && &c.plain[0] == &data[0] {
		return c.compressed, true
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, false
	}
	if _, err := writer.Write(data); err != nil {
		return nil, false
	}
	if err := writer.Close(); err != nil {
		return nil, false
	}
	c.plain, c.compressed = data, buffer.Bytes()
	return c.compressed, true
}
