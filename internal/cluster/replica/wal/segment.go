package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"github.com/pkg/errors"

	"ospreypond/internal/store/vfs"
)

// The header of a segment: magic and version, its number, how much of the previous segment counts in bytes, CRC-32C. Batches
// follow.
const (
	segmentMagic      = "OPLOG\x00\x00\x01"
	segmentHeaderSize = 8 + 8 + 8 + 4
	segmentPattern    = "log-%016x.segment"
)

func segmentName(number uint64) string { return fmt.Sprintf(segmentPattern, number) }

func parseSegmentName(name string) (uint64, bool) {
	var number uint64
	if _, err := fmt.Sscanf(name, segmentPattern, &number); err != nil {
		return 0, false
	}
	return number, segmentName(number) == name
}

func segmentHeader(number uint64, previousEnd int64) []byte {
	header := make([]byte, 0, segmentHeaderSize)
	header = append(header, segmentMagic...)
	header = binary.LittleEndian.AppendUint64(header, number)
	header = binary.LittleEndian.AppendUint64(header, uint64(previousEnd))
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// parseSegmentHeader returns how much of the previous segment counts, in bytes, or false if the header is not that of
// segment number.
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

// segment is what the log keeps in memory of one of its files.
type segment struct {
	number  uint64
	size    int64             // in bytes, of what counts
	highest map[uint32]uint64 // by group, the highest index of its entries here that were not replaced
}

func newSegment(number uint64, size int64) *segment {
	return &segment{number: number, size: size, highest: map[uint32]uint64{}}
}

// createSegment creates a segment's file with the given content, and syncs it and its folder.
func createSegment(files vfs.FS, dir string, number uint64, first []byte) (vfs.File, error) {
	name := filepath.Join(dir, segmentName(number))
	file, err := files.Create(name)
	if err != nil {
		return nil, errors.Wrap(err, "create segment")
	}
	if err := writeSynced(file, first, 0); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "segment %s", name)
	}
	if err := files.SyncDir(dir); err != nil {
		_ = file.Close()
		return nil, errors.Wrapf(err, "sync folder %s", dir)
	}
	return file, nil
}

// writeSynced writes and syncs.
func writeSynced(file vfs.File, data []byte, offset int64) error {
	if _, err := file.WriteAt(data, offset); err != nil {
		return errors.Wrap(err, "write")
	}
	return errors.Wrap(file.Sync(), "sync")
}
