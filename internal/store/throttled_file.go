package store

import (
	"fmt"

	"ospreypond/internal/store/vfs"
)

// throttledFile writes a file sequentially, in chunks of about chunkBytes, at a limited rate. It syncs after every
// bytesPerSync bytes: one large sync at the end would delay commits, as their syncs would wait behind it in the disk's
// queue.
type throttledFile struct {
	throttle func(n int) error // waits until n more bytes may be written; nil: no limit
	f        vfs.File
	name     string // for errors
	buf      []byte // not written yet
	off      int64  // at which buf will be written
	unsynced int    // bytes written since the last sync
}

const (
	chunkBytes   = 128 << 10 // size from which buffered bytes are written
	bytesPerSync = 1 << 20   // bytes written between two syncs
)

// Write buffers bytes, and writes the buffer to the file once it has chunkBytes or more.
func (p *throttledFile) Write(b []byte) (int, error) {
	p.buf = append(p.buf, b...)
	if len(p.buf) >= chunkBytes {
		return len(b), p.flush()
	}
	return len(b), nil
}

// flush writes the buffered bytes, and syncs if bytesPerSync bytes were written since the last sync.
func (p *throttledFile) flush() error {
	if len(p.buf) == 0 {
		return nil
	}
	if p.throttle != nil {
		if err := p.throttle(len(p.buf)); err != nil {
			return err
		}
	}
	if _, err := p.f.WriteAt(p.buf, p.off); err != nil {
		return fmt.Errorf("store: writing %s at offset %d: %w", p.name, p.off, err)
	}
	p.off += int64(len(p.buf))
	if p.unsynced += len(p.buf); p.unsynced >= bytesPerSync {
		p.unsynced = 0
		if err := p.f.Sync(); err != nil {
			return fmt.Errorf("store: syncing %s: %w", p.name, err)
		}
	}
	p.buf = p.buf[:0]
	return nil
}
