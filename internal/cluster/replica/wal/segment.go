package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"github.com/pkg/errors"

	"ospreypond/internal/store/vfs"
)

// A segment starts with a header: the magic, with the version of the format as its last byte; the segment's number; the
// valid length of the previous segment in bytes; and the CRC-32C of these. Batches follow the header.
const (
	segmentMagic      = "OPLOG\x00\x00\x01"
	segmentHeaderSize = 8 + 8 + 8 + 4 // in bytes
	segmentPattern    = "log-%016x.segment"
)

func segmentName(number uint64) string { return fmt.Sprintf(segmentPattern, number) }

// parseSegmentName returns the segment's number from a file name, or false if the file is not a segment.
func parseSegmentName(name string) (uint64, bool) {
	var number uint64
	if _, err := fmt.Sscanf(name, segmentPattern, &number); err != nil {
		return 0, false
	}
	return number, segmentName(number) == name
}

// segmentHeader encodes the header of a segment. previousEnd is the valid length of the previous segment in bytes.
func segmentHeader(number uint64, previousEnd int64) []byte {
	header := make([]byte, 0, segmentHeaderSize)
	header = append(header, segmentMagic...)
	header = binary.LittleEndian.AppendUint64(header, number)
	header = binary.LittleEndian.AppendUint64(header, uint64(previousEnd))
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// parseSegmentHeader returns the valid length of the previous segment in bytes. It returns false if data does not start
// with a complete header of the segment with this number.
func parseSegmentHeader(data []byte, number uint64) (previousEnd int64, ok bool) {
	if len(data) < segmentHeaderSize || string(data[:8]) != segmentMagic {
		return 0, false
	}
	header := data[:segmentHeaderSize]
	sum := crc32.Checksum(header[:segmentHeaderSize-4], castagnoli)
	if binary.LittleEndian.Uint32(header[segmentHeaderSize-4:]) != sum {
		return 0, false
	}
	if binary.LittleEndian.Uint64(header[8:]) != number {
		return 0, false
	}
	return int64(binary.LittleEndian.Uint64(header[16:])), true
}

// segment describes one segment file in memory.
type segment struct {
	number uint64
	size   int64 // valid length in bytes; the rest of the file is ignored
	// highest has for each group the highest index of its entries in this segment. It ignores entries that later entries
	// in this or another segment have replaced.
	highest map[uint32]uint64
}

func newSegment(number uint64, size int64) *segment {
	return &segment{number: number, size: size, highest: map[uint32]uint64{}}
}

// createSegment creates the file of a segment with its header and base batch, and syncs the file and then its folder.
func createSegment(files vfs.FS, dir string, number uint64, content []byte) (vfs.File, error) {
	name := filepath.Join(dir, segmentName(number))
	file, err := files.Create(name)
	if err != nil {
		return nil, errors.Wrap(err, "create segment")
	}
	if err := writeSynced(file, content, 0); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "segment %s", name)
	}
	if err := files.SyncDir(dir); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "sync folder %s", dir)
	}
	return file, nil
}

// writeSynced writes data at an offset and syncs the file.
func writeSynced(file vfs.File, data []byte, offset int64) error {
	if _, err := file.WriteAt(data, offset); err != nil {
		return errors.Wrap(err, "write")
	}
	return errors.Wrap(file.Sync(), "sync")
}
