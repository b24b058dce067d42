package control

import (
	"bytes"
	"compress/flate"
)

// minCompressedBytes is the smallest size of a configuration that is compressed for followers.
const minCompressedBytes = 32 << 10

// compressor compresses configurations and keeps its last result, because many followers get the same bytes. It is not safe
// for concurrent use.
type compressor struct {
	plain      []byte // last argument of compress that was compressed
	compressed []byte // plain, compressed
}

// compress returns data compressed with DEFLATE (RFC 1951). It returns false if data is smaller than minCompressedBytes or
// can't be compressed. The caller must not change data afterwards: the next call recognizes the same data by its address.
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
